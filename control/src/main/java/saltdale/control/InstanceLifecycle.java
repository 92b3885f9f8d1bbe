package saltdale.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.control.message.InstanceMessage.InstanceUpdates;
import saltdale.control.message.InstanceMessage.StartIntent;
import saltdale.control.message.InstanceMessage.StartIntents;

/**
 * A control node's dealings with the platform: every control node reads the list of runners; the holder of the
 * duty reads the
 * workers too, and starts and stops. A start is told to the other control nodes before it is asked for, with its nonce,
 * so that
 * whoever takes over asks again for what may have been begun and learns of it.
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
    private final Map<String, Long> leaving = new LinkedHashMap<>(); // runners we told to get nothing new, and when
    private final Set<String> drained = new HashSet<>(); // runners that the platform itself takes away
    private final Deque<Long> duties = new ArrayDeque<>(); // calls of the last second
    private List<Worker> workers = List.of();
    private final Map<String, Double> told = new HashMap<>(); // the platform's word on free memory
    private long workersAt = Long.MIN_VALUE / 2;
    private boolean lookAgain; // for workers, sooner than usual
    private boolean looking;
    private long plannedAt = Long.MIN_VALUE / 2;
    private long fence = -1;
    private long nonces;
    private int pages = 1;
    private boolean listing;
    private long pageAt = Long.MIN_VALUE / 2; // when the last page was asked for
    private int refused;
    private long toldAt = Long.MIN_VALUE / 2; // of what is under way

    InstanceLifecycle(
            Environment environment, ControlNode controlNode, Platform platform, ControlNodeSettings nodeSettings) {
        this.environment = environment;
        this.controlNode = controlNode;
        this.platform = platform;
        this.nodeSettings = nodeSettings;
    }

    void begin() {
        list();
        turn();
    }

    // The list of runners.

    private void list() {
        long now = environment.now();
        if (!listing && now - pageAt < pageGap()) {
            environment.after(pageAt + pageGap() - now, this::list); // a first page is a page too
            return;
        }
        // Guards against lists of many pages that overlap; one of which no answer ever came does not hold up the next.
        if (!listing || now - pageAt > 3 * nodeSettings.beat()) {
            listing = true;
            list(null, new ArrayList<>(), 1, now);
        }
        // All control nodes together stay under half of the platform's rate, whatever number of pages the list has.
        double atLeast =
                controlNode.voters() * (pages + 1) / (0.5 * nodeSettings.rates().listsPerSecond());
        environment.after(Math.max(nodeSettings.beat() / 2, (long) (atLeast * 1e9)), this::list);
    }

    private long pageGap() {
        return (long) (controlNode.voters() / (0.6 * nodeSettings.rates().listsPerSecond()) * 1e9);
    }

    private void list(String token, List<Instance> so, int page, long askedAt) {
        pageAt = environment.now();
        platform.runners(token, answer -> {
            listing = false;
            if (answer == null || answer.status() != 200 || answer.body() == null) {
                return;
            }
            try {
                Fields told = new Fields(answer.body());
                for (Fields each : told.objects("instances")) {
                    boolean ready = each.text("state").equals("ready");
                    if (!ready) {
                        drained.add(each.text("identifier"));
                    }
                    so.add(new Instance(
                            each.text("identifier"),
                            each.text("service"),
                            each.text("address"),
                            each.text("zone"),
                            each.text("worker_machine", ""),
                            ready ? Instance.Phase.READY : Instance.Phase.LEAVING,
                            slots(each)));
                }
                // The pages as they come: how many runners one holds the platform does not say.
                pages = Math.max(pages, page);
                if (told.has("next_page_token")) {
                    String next = told.text("next_page_token");
                    listing = true;
                    // Guards against bursts: pages follow one another no faster than all control nodes together may
                    // ask.
                    environment.after(pageGap(), () -> list(next, so, page + 1, askedAt));
                    return;
                }
            } catch (MalformedMessage e) {
                environment.note("the platform's list cannot be read: " + e.getMessage());
                return;
            }
            pages = page;
            List<Instance> news = controlNode.instances().listed(so, askedAt, environment.now());
            if (!news.isEmpty()) {
                tellOfEnds(news);
                controlNode.publish();
                look();
            }
        });
    }

    /**
     * Whoever sees first that an instance is to get nothing more tells the other control nodes, which may not reach the
     * platform themselves.
     */
    private void tellOfEnds(List<Instance> news) {
        List<Instance> ends = news.stream()
                .filter(instance -> instance.phase().compareTo(Instance.Phase.LEAVING) >= 0)
                .toList();
        if (!ends.isEmpty()) {
            controlNode.tellControlNodes(new InstanceUpdates(ends));
        }
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
            controlNode.tellControlNodes(new InstanceUpdates(underWay));
        }
        if (!starts.isEmpty()) {
            controlNode.tellControlNodes(new StartIntents(starts, List.of()));
        }
    }

    private static int slots(Fields runner) throws MalformedMessage {
        return (int) Math.max(1, runner.whole("concurrency_slots", 1));
    }

    // Starting and stopping.

    /**
     * Something was heard that may want a start at once. A plan costs what all services in use are, and reports come as
     * often as there are proxies: so plans keep a distance, whatever the size of the deployment.
     */
    void look() {
        if (!looking) {
            looking = true;
            environment.after(Math.max(0, plannedAt + planGap() - environment.now()), () -> {
                looking = false;
                act();
            });
        }
    }

    private long planGap() {
        return nodeSettings.beat() / 48;
    }

    private void turn() {
        act();
        environment.after(nodeSettings.beat() / 12, this::turn);
    }

    private void act() {
        if (!controlNode.holds()) {
            fence = -1;
            return;
        }
        long now = environment.now();
        if (fence != controlNode.fence()) { // newly won: what another had begun is asked for again, and so learnt
            fence = controlNode.fence();
            scaler = new Scaler(nodeSettings.beat() * 7 / 2, now);
            intents.values().forEach(i -> i.asked = false);
            workersAt = Long.MIN_VALUE / 2;
            controlNode.instances().all().stream()
                    .filter(r -> r.phase() == Instance.Phase.LEAVING && !drained.contains(r.id()))
                    .forEach(r -> leaving.putIfAbsent(r.id(), now));
        }
        if (now - toldAt > nodeSettings.beat()) {
            toldAt = now;
            tellUnderWay();
        }
        drained.removeIf(id -> controlNode.instances().get(id) == null);
        leaving.keySet()
                .removeIf(id -> controlNode.instances().get(id) == null
                        || drained.contains(id)
                        || controlNode.instances().get(id).phase() == Instance.Phase.GONE);
        intents.values().removeIf(i -> !i.asked && now - i.at > 20 * nodeSettings.beat());
        if (now - workersAt
                > (lookAgain
                        ? nodeSettings.beat() / 2
                        : (controlNode.configuration() == null ? 2 : 1) * nodeSettings.beat())) {
            workersAt = now;
            lookAgain = false;
            askForWorkers();
        }
        for (Intent intent : List.copyOf(intents.values())) {
            if (!intent.asked && (intent.tries == 0 || now - intent.at > nodeSettings.beat() / 4) && mayCall(now)) {
                ask(intent, now);
            }
        }
        if (controlNode.configuration() != null && !workers.isEmpty()) {
            plan(now);
        }
        for (Map.Entry<String, Long> each : List.copyOf(leaving.entrySet())) {
            // ServiceOwnership have had the time to send nothing more there.
            if (now - each.getValue() > nodeSettings.beat() / 2 && mayCall(now)) {
                leaving.put(each.getKey(), now);
                stop(each.getKey());
            }
        }
    }

    private boolean mayCall(long now) {
        while (!duties.isEmpty() && now - duties.peek() > 1_000_000_000L) {
            duties.poll();
        }
        boolean may = duties.size() < Math.max(1, nodeSettings.rates().dutiesPerSecond() * 0.8);
        if (may) {
            duties.add(now);
        }
        return may;
    }

    private void askForWorkers() {
        platform.workers(answer -> {
            if (answer == null || answer.status() != 200 || answer.body() == null) {
                return;
            }
            try {
                List<Worker> all = new ArrayList<>();
                for (Fields each : new Fields(answer.body()).objects("worker_machines")) {
                    double free = each.number("free_memory_mb");
                    all.add(new Worker(
                            each.text("name"),
                            each.text("zone"),
                            each.text("state").equals("ready"),
                            each.number("memory_mb"),
                            free));
                }
                workers = all;
                told.clear();
                all.forEach(worker -> told.put(worker.name, worker.freeMb));
            } catch (MalformedMessage e) {
                environment.note("the platform's workers cannot be read: " + e.getMessage());
            }
        });
    }

    /** What is free on each worker: the least of what the platform told and of what our own starts leave. */
    private void reckon() {
        Map<String, Double> used = new HashMap<>();
        for (Instance r : controlNode.instances().all()) {
            Configuration.Service service =
                    controlNode.configuration().services().get(r.service());
            if (r.phase() != Instance.Phase.GONE && service != null) {
                used.merge(r.worker(), (double) service.memoryMb(), Double::sum);
            }
        }
        intents.values().forEach(i -> used.merge(i.start.worker(), (double) i.start.memoryMb(), Double::sum));
        for (Worker worker : workers) {
            double room = worker.memoryMb - used.getOrDefault(worker.name, 0.0);
            worker.freeMb = refused > 0 ? Math.min(room, told.getOrDefault(worker.name, 0.0)) : room;
        }
    }

    private void plan(long now) {
        reckon();
        plannedAt = now;
        StartsUnderWay underWay = new StartsUnderWay();
        intents.values()
                .forEach(intent -> underWay.add(intent.start.service(), intent.start.zone(), intent.start.worker()));
        Scaler.Plan plan = scaler.plan(
                now,
                controlNode.configuration(),
                controlNode.demand().all(now),
                controlNode.instances(),
                workers,
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
            controlNode.tellControlNodes(new StartIntents(news, List.of()));
            for (Intent intent : List.copyOf(intents.values())) {
                if (!intent.asked && intent.tries == 0 && mayCall(now)) {
                    ask(intent, now);
                }
            }
        }
        if (!plan.starts().isEmpty() || !plan.stops().isEmpty()) {
            environment.note("starts "
                    + plan.starts().stream()
                            .map(s -> s.service() + "@" + s.zone())
                            .toList() + ", stops "
                    + plan.stops().stream()
                            .map(r -> r.service() + "@" + r.zone())
                            .toList());
        }
        for (Instance r : plan.stops()) {
            leaving.put(r.id(), now);
            controlNode.changed(List.of(r.at(Instance.Phase.LEAVING)), true);
        }
    }

    private void ask(Intent intent, long now) {
        intent.asked = true;
        intent.at = now;
        intent.tries++;
        long askedWith = fence;
        platform.begin(
                controlNode.name(),
                fence,
                intent.start.service(),
                intent.start.worker(),
                intent.start.nonce(),
                answer -> {
                    intent.asked = false;
                    intent.at = environment.now();
                    boolean holds = controlNode.holds() && controlNode.fence() == askedWith;
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
                        refused = 10;
                        lookAgain = true; // no room there after all
                        environment.note("start of " + intent.start.service() + " on " + intent.start.worker() + ": "
                                + answer.status());
                        return;
                    }
                    refused = Math.max(0, refused - 1);
                    try {
                        Fields body = new Fields(answer.body());
                        controlNode.changed(
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
                        environment.note("an answer to a start cannot be read: " + e.getMessage());
                    }
                });
    }

    private void over(Intent intent) {
        intents.remove(intent.start.nonce());
        controlNode.tellControlNodes(new StartIntents(List.of(), List.of(intent.start.nonce())));
    }

    private void stop(String id) {
        platform.stop(controlNode.name(), fence, id, answer -> {
            if (answer != null && (answer.status() == 200 || answer.status() == 404)) {
                leaving.remove(id);
            }
        });
    }

    /** Another control node's intents: those it has told of, and those that are over. */
    void told(StartIntents message) {
        for (StartIntent each : message.intents()) {
            intents.putIfAbsent(each.nonce(), new Intent(each, environment.now()));
        }
        message.ended().forEach(intents::remove);
    }
}
