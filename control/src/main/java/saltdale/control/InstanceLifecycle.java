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
 * Starts and stops instances through the platform while this control node holds the duty. A start is announced to the
 * other control nodes with its nonce before it is requested, so that a new duty holder repeats the requests that may
 * have been made already and learns their results.
 */
final class InstanceLifecycle {
    /** A start that has been announced and whose result is not known yet. */
    private static final class PendingStart {
        final StartIntent intent;
        long updatedAt; // when it was announced, requested or answered
        boolean inFlight; // this control node waits for the platform's response
        int attempts;

        PendingStart(StartIntent intent, long updatedAt) {
            this.intent = intent;
            this.updatedAt = updatedAt;
        }
    }

    private final Environment environment;
    private final ControlNode controlNode;
    private final Platform platform;
    private final ControlNodeSettings nodeSettings;
    private Scaler scaler;
    private final Map<String, PendingStart> pendingStarts = new LinkedHashMap<>(); // by nonce
    /** The instances that must get no new requests, with the time since when. */
    private final Map<String, Long> leavingSince = new LinkedHashMap<>();

    private final Deque<Long> recentDutyCalls = new ArrayDeque<>(); // times of the calls in the last second
    private final InstanceListReader listReader;
    private final WorkerTable workers;
    private boolean planRequested;
    private long lastPlanAt = Long.MIN_VALUE / 2;
    private long fence = -1;
    private long nonceCount;
    private long lastAnnouncementAt = Long.MIN_VALUE / 2;

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
        runPeriodically();
    }

    /**
     * Repeats to the other control nodes the starts and stops that are pending and do not show in the platform's list
     * yet: messages can be lost, and a new duty holder must know of them.
     */
    private void announcePending() {
        List<Instance> changing = controlNode.instances().all().stream()
                .filter(instance ->
                        instance.phase() == Instance.Phase.BOOTING || leavingSince.containsKey(instance.id()))
                .toList();
        List<StartIntent> starts =
                pendingStarts.values().stream().map(start -> start.intent).toList();
        if (!changing.isEmpty()) {
            controlNode.sendToControlNodes(new InstanceUpdates(changing));
        }
        if (!starts.isEmpty()) {
            controlNode.sendToControlNodes(new StartIntents(starts, List.of()));
        }
    }

    // Starting and stopping.

    /**
     * Schedules a plan because of a change that may require a start. The cost of a plan grows with the services in use,
     * and the number of demand reports with the proxies. Plans therefore keep a minimum interval, which does not depend
     * on the size of the deployment.
     */
    void requestPlan() {
        if (!planRequested) {
            planRequested = true;
            environment.schedule(Math.max(0, lastPlanAt + minPlanIntervalNanos() - environment.now()), () -> {
                planRequested = false;
                reconcile();
            });
        }
    }

    private long minPlanIntervalNanos() {
        return nodeSettings.heartbeatNanos() / 48;
    }

    private void runPeriodically() {
        environment.schedule(nodeSettings.heartbeatNanos() / 12, this::runPeriodically); // even if this run fails
        reconcile();
    }

    private void reconcile() {
        if (!controlNode.holdsDuty()) {
            fence = -1;
            return;
        }
        long now = environment.now();
        // A new duty holder repeats the requests of the previous one, and so learns their results.
        if (fence != controlNode.fence()) {
            fence = controlNode.fence();
            scaler = new Scaler(nodeSettings.heartbeatNanos() * 7 / 2, now, environment::runGuarded);
            pendingStarts.values().forEach(start -> start.inFlight = false);
            workers.expire();
            controlNode.instances().all().stream()
                    .filter(r -> r.phase() == Instance.Phase.LEAVING && !listReader.isDraining(r.id()))
                    .forEach(r -> leavingSince.putIfAbsent(r.id(), now));
        }
        if (now - lastAnnouncementAt > nodeSettings.heartbeatNanos()) {
            lastAnnouncementAt = now;
            environment.runGuarded(this::announcePending);
        }
        listReader.forgetUnknown();
        leavingSince
                .keySet()
                .removeIf(id -> controlNode.instances().get(id) == null
                        || listReader.isDraining(id)
                        || controlNode.instances().get(id).phase() == Instance.Phase.GONE);
        pendingStarts
                .values()
                .removeIf(start -> !start.inFlight && now - start.updatedAt > 20 * nodeSettings.heartbeatNanos());
        environment.runGuarded(() -> workers.refresh(now, controlNode.configuration() != null));
        for (PendingStart start : List.copyOf(pendingStarts.values())) {
            if (!start.inFlight
                    && (start.attempts == 0 || now - start.updatedAt > nodeSettings.heartbeatNanos() / 4)
                    && tryAcquireDutyCall(now)) {
                environment.runGuarded(() -> requestStart(start, now));
            }
        }
        if (controlNode.configuration() != null && !workers.all().isEmpty()) {
            environment.runGuarded(() -> plan(now));
        }
        for (Map.Entry<String, Long> each : List.copyOf(leavingSince.entrySet())) {
            // By then the proxies have learned that the instance must get no more requests.
            if (now - each.getValue() > nodeSettings.heartbeatNanos() / 2 && tryAcquireDutyCall(now)) {
                leavingSince.put(each.getKey(), now);
                environment.runGuarded(() -> requestStop(each.getKey()));
            }
        }
    }

    /** Counts a call that starts or stops an instance if the rate limit allows one now. Returns whether it does. */
    private boolean tryAcquireDutyCall(long now) {
        while (!recentDutyCalls.isEmpty() && now - recentDutyCalls.peek() > 1_000_000_000L) {
            recentDutyCalls.poll();
        }
        boolean allowed =
                recentDutyCalls.size() < Math.max(1, nodeSettings.rates().dutyCallsPerSecond() * 0.8);
        if (allowed) {
            recentDutyCalls.add(now);
        }
        return allowed;
    }

    private void plan(long now) {
        workers.updateFreeMemory(
                controlNode.instances().all(),
                pendingStarts.values().stream().map(start -> start.intent).toList(),
                controlNode.configuration().services());
        lastPlanAt = now;
        PendingStarts pendingCounts = new PendingStarts();
        pendingStarts
                .values()
                .forEach(
                        start -> pendingCounts.add(start.intent.service(), start.intent.zone(), start.intent.worker()));
        Scaler.Plan plan = scaler.plan(
                now,
                controlNode.configuration(),
                controlNode.demand().byService(now),
                controlNode.instances(),
                workers.all(),
                pendingCounts);
        List<StartIntent> newIntents = new ArrayList<>();
        for (Scaler.Start planned : plan.starts()) {
            Configuration.Service service =
                    controlNode.configuration().services().get(planned.service());
            PendingStart start = new PendingStart(
                    new StartIntent(
                            fence + "-" + Long.toString(++nonceCount, 36),
                            planned.service(),
                            planned.worker(),
                            planned.zone(),
                            service.maxConcurrency(),
                            service.memoryMb()),
                    now);
            pendingStarts.put(start.intent.nonce(), start);
            newIntents.add(start.intent);
        }
        if (!newIntents.isEmpty()) {
            controlNode.sendToControlNodes(new StartIntents(newIntents, List.of()));
            for (PendingStart start : List.copyOf(pendingStarts.values())) {
                if (!start.inFlight && start.attempts == 0 && tryAcquireDutyCall(now)) {
                    requestStart(start, now);
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
        for (Instance instance : plan.stops()) {
            leavingSince.put(instance.id(), now);
            controlNode.mergeInstances(List.of(instance.withPhase(Instance.Phase.LEAVING)), true);
        }
    }

    private void requestStart(PendingStart start, long now) {
        start.inFlight = true;
        start.updatedAt = now;
        start.attempts++;
        long requestFence = fence;
        platform.startInstance(
                controlNode.name(),
                fence,
                start.intent.service(),
                start.intent.worker(),
                start.intent.nonce(),
                response -> {
                    start.inFlight = false;
                    start.updatedAt = environment.now();
                    boolean stillHolds = controlNode.holdsDuty() && controlNode.fence() == requestFence;
                    if (response == null || response.status() == 429 || response.status() >= 500) {
                        if (start.attempts > 8 && stillHolds) {
                            finish(start);
                        }
                        return; // the start may have been executed, so it is retried with the same nonce
                    } else if (response.status() != 200 && !stillHolds) {
                        return; // what the platform refuses to a former holder it may accept from the current one
                    }
                    finish(start);
                    if (response.status() != 200 || response.body() == null) {
                        workers.startRefused();
                        environment.log("platform refused to start " + start.intent.service() + " on "
                                + start.intent.worker() + ": " + response.status());
                        return;
                    }
                    workers.startAccepted();
                    try {
                        Fields body = new Fields(response.body());
                        controlNode.mergeInstances(
                                List.of(new Instance(
                                        body.text("identifier"),
                                        start.intent.service(),
                                        body.text("address"),
                                        start.intent.zone(),
                                        start.intent.worker(),
                                        Instance.Phase.BOOTING,
                                        start.intent.slots())),
                                true);
                    } catch (MalformedMessage e) {
                        environment.log("malformed response to a start: " + e.getMessage());
                    }
                });
    }

    private void finish(PendingStart start) {
        pendingStarts.remove(start.intent.nonce());
        controlNode.sendToControlNodes(new StartIntents(List.of(), List.of(start.intent.nonce())));
    }

    private void requestStop(String id) {
        platform.stopInstance(controlNode.name(), fence, id, response -> {
            if (response != null && (response.status() == 200 || response.status() == 404)) {
                leavingSince.remove(id);
            }
        });
    }

    /** Takes over the pending starts that another control node announces, and drops those that it reports as ended. */
    void applyStartIntents(StartIntents message) {
        for (StartIntent each : message.intents()) {
            pendingStarts.putIfAbsent(each.nonce(), new PendingStart(each, environment.now()));
        }
        message.ended().forEach(pendingStarts::remove);
    }
}
