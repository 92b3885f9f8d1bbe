package saltdale.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.message.InstanceMessage.InstanceUpdates;
import saltdale.control.message.InstanceMessage.StartIntent;
import saltdale.control.message.InstanceMessage.StartIntents;

/**
 * Starts and stops instances through the platform, while this control node holds the duty to. A start is told to the
 * other control nodes before it is asked for, with its nonce, so that whoever takes over asks again for what may have
 * been begun and learns of it.
 */
final class InstanceLifecycle {
    private static final class Intent {
        final StartIntent start;
        long at; // when it was told or asked for
        boolean asked; // a call of ours is under way
        int tries;

        Intent(StartIntent start, long at) {
            this.start = start;
            this.at = at;
        }
    }

    private final Environment environment;
    private final ControlNode controlNode;
    private final Platform platform;
    private final ControlNodeSettings nodeSettings;
    private Scaler scaler;
    private final Map<String, Intent> intents = new LinkedHashMap<>(); // by nonce
    private final Map<String, Long> leaving =
            new LinkedHashMap<>(); // instances that are to get nothing new, and since when
    private final Deque<Long> duties = new ArrayDeque<>(); // calls of the last second
    private final InstanceListReader listReader;
    private final WorkerTable workers;
    private boolean looking;
    private long plannedAt = Long.MIN_VALUE / 2;
    private long fence = -1;
    private long nonces;
    private long toldAt = Long.MIN_VALUE / 2; // of what is under way

    InstanceLifecycle(
            Environment environment, ControlNode controlNode, Platform platform, ControlNodeSettings nodeSettings) {
        this.environment = environment;
        this.controlNode = controlNode;
        this.platform = platform;
        this.nodeSettings = nodeSettings;
        listReader = new InstanceListReader(environment, controlNode, platform, nodeSettings, this::requestPlan);
        workers = new WorkerTable(environment, platform, nodeSettings.heartbeatNanos());
    }

    void start() {
        listReader.read();
        turn();
    }

    /**
     * Tells the other control nodes again of what is under way and not in the list yet: messages get lost, and whoever
     * takes over must know of it.
     */
    private void tellUnderWay() {
        List<Instance> underWay = controlNode.instances().all().stream()
                .filter(instance -> instance.phase() == Instance.Phase.BOOTING || leaving.containsKey(instance.id()))
                .toList();
        List<StartIntent> starts =
                intents.values().stream().map(intent -> intent.start).toList();
        if (!underWay.isEmpty()) {
            controlNode.sendToControlNodes(new InstanceUpdates(underWay));
        }
        if (!starts.isEmpty()) {
            controlNode.sendToControlNodes(new StartIntents(starts, List.of()));
        }
    }

    // Starting and stopping.

    /**
     * Something was heard that may want a start at once. A plan costs what all services in use are, and reports come as
     * often as there are proxies: so plans keep a distance, whatever the size of the deployment.
     */
    void requestPlan() {
        if (!looking) {
            looking = true;
            environment.schedule(Math.max(0, plannedAt + planGap() - environment.now()), () -> {
                looking = false;
                act();
            });
        }
    }

    private long planGap() {
        return nodeSettings.heartbeatNanos() / 48;
    }

    private void turn() {
        act();
        environment.schedule(nodeSettings.heartbeatNanos() / 12, this::turn);
    }

    private void act() {
        if (!controlNode.holdsDuty()) {
            fence = -1;
            return;
        }
        long now = environment.now();
        if (fence != controlNode.fence()) { // newly won: what another had begun is asked for again, and so learnt
            fence = controlNode.fence();
            scaler = new Scaler(nodeSettings.heartbeatNanos() * 7 / 2, now);
            intents.values().forEach(i -> i.asked = false);
            workers.expire();
            controlNode.instances().all().stream()
                    .filter(r -> r.phase() == Instance.Phase.LEAVING && !listReader.isDrained(r.id()))
                    .forEach(r -> leaving.putIfAbsent(r.id(), now));
        }
        if (now - toldAt > nodeSettings.heartbeatNanos()) {
            toldAt = now;
            tellUnderWay();
        }
        listReader.forgetUnknown();
        leaving.keySet()
                .removeIf(id -> controlNode.instances().get(id) == null
                        || listReader.isDrained(id)
                        || controlNode.instances().get(id).phase() == Instance.Phase.GONE);
        intents.values().removeIf(i -> !i.asked && now - i.at > 20 * nodeSettings.heartbeatNanos());
        workers.refresh(now, controlNode.configuration() != null);
        for (Intent intent : List.copyOf(intents.values())) {
            if (!intent.asked
                    && (intent.tries == 0 || now - intent.at > nodeSettings.heartbeatNanos() / 4)
                    && mayCall(now)) {
                ask(intent, now);
            }
        }
        if (controlNode.configuration() != null && !workers.all().isEmpty()) {
            plan(now);
        }
        for (Map.Entry<String, Long> each : List.copyOf(leaving.entrySet())) {
            // Proxies have had the time to send nothing more there.
            if (now - each.getValue() > nodeSettings.heartbeatNanos() / 2 && mayCall(now)) {
                leaving.put(each.getKey(), now);
                stop(each.getKey());
            }
        }
    }

    private boolean mayCall(long now) {
        while (!duties.isEmpty() && now - duties.peek() > 1_000_000_000L) {
            duties.poll();
        }
        boolean may = duties.size() < Math.max(1, nodeSettings.rates().dutyCallsPerSecond() * 0.8);
        if (may) {
            duties.add(now);
        }
        return may;
    }

    private void plan(long now) {
        workers.reckon(
                controlNode.instances().all(),
                intents.values().stream().map(intent -> intent.start).toList(),
                controlNode.configuration().services());
        plannedAt = now;
        PendingStarts underWay = new PendingStarts();
        intents.values()
                .forEach(intent -> underWay.add(intent.start.service(), intent.start.zone(), intent.start.worker()));
        Scaler.Plan plan = scaler.plan(
                now,
                controlNode.configuration(),
                controlNode.demand().byService(now),
                controlNode.instances(),
                workers.all(),
                underWay);
        List<StartIntent> news = new ArrayList<>();
        for (Scaler.Start start : plan.starts()) {
            Configuration.Service service =
                    controlNode.configuration().services().get(start.service());
            Intent intent = new Intent(
                    new StartIntent(
                            fence + "-" + Long.toString(++nonces, 36),
                            start.service(),
                            start.worker(),
                            start.zone(),
                            service.maxConcurrency(),
                            service.memoryMb()),
                    now);
            intents.put(intent.start.nonce(), intent);
            news.add(intent.start);
        }
        if (!news.isEmpty()) {
            controlNode.sendToControlNodes(new StartIntents(news, List.of()));
            for (Intent intent : List.copyOf(intents.values())) {
                if (!intent.asked && intent.tries == 0 && mayCall(now)) {
                    ask(intent, now);
                }
            }
        }
        if (!plan.starts().isEmpty() || !plan.stops().isEmpty()) {
            environment.log("starts "
                    + plan.starts().stream()
                            .map(s -> s.service() + "@" + s.zone())
                            .toList() + ", stops "
                    + plan.stops().stream()
                            .map(r -> r.service() + "@" + r.zone())
                            .toList());
        }
        for (Instance r : plan.stops()) {
            leaving.put(r.id(), now);
            controlNode.mergeInstances(List.of(r.withPhase(Instance.Phase.LEAVING)), true);
        }
    }

    private void ask(Intent intent, long now) {
        intent.asked = true;
        intent.at = now;
        intent.tries++;
        long askedWith = fence;
        platform.startInstance(
                controlNode.name(),
                fence,
                intent.start.service(),
                intent.start.worker(),
                intent.start.nonce(),
                answer -> {
                    intent.asked = false;
                    intent.at = environment.now();
                    boolean holds = controlNode.holdsDuty() && controlNode.fence() == askedWith;
                    if (answer == null || answer.status() == 429 || answer.status() >= 500) {
                        if (intent.tries > 8 && holds) {
                            over(intent);
                        }
                        return; // it may have been done: asked again under the same nonce
                    } else if (answer.status() != 200 && !holds) {
                        return; // what is refused to a former holder may be done for the present one
                    }
                    over(intent);
                    if (answer.status() != 200 || answer.body() == null) {
                        workers.startRefused();
                        environment.log("start of " + intent.start.service() + " on " + intent.start.worker() + ": "
                                + answer.status());
                        return;
                    }
                    workers.startTaken();
                    try {
                        Fields body = new Fields(answer.body());
                        controlNode.mergeInstances(
                                List.of(new Instance(
                                        body.text("identifier"),
                                        intent.start.service(),
                                        body.text("address"),
                                        intent.start.zone(),
                                        intent.start.worker(),
                                        Instance.Phase.BOOTING,
                                        intent.start.slots())),
                                true);
                    } catch (MalformedMessage e) {
                        environment.log("an answer to a start cannot be read: " + e.getMessage());
                    }
                });
    }

    private void over(Intent intent) {
        intents.remove(intent.start.nonce());
        controlNode.sendToControlNodes(new StartIntents(List.of(), List.of(intent.start.nonce())));
    }

    private void stop(String id) {
        platform.stopInstance(controlNode.name(), fence, id, answer -> {
            if (answer != null && (answer.status() == 200 || answer.status() == 404)) {
                leaving.remove(id);
            }
        });
    }

    /** Another control node's intents: those it has told of, and those that are over. */
    void applyStartIntents(StartIntents message) {
        for (StartIntent each : message.intents()) {
            intents.putIfAbsent(each.nonce(), new Intent(each, environment.now()));
        }
        message.ended().forEach(intents::remove);
    }
}
