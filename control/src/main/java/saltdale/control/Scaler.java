package saltdale.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * How many runners each service wants in each zone, and on which workers: from measured arrivals and running times. It
 * grows by what waits, and shrinks only after what was wanted has been less for as long as holding one costs a start.
 */
final class Scaler {
    /**
     * A worker machine as the platform tells; {@code room} is what is free after the starts that it may not show
     * yet.
     */
    static final class Worker {
        final String name;
        final String zone;
        final boolean ready;
        final double memory;
        double room;

        Worker(String name, String zone, boolean ready, double memory, double room) {
            this.name = name;
            this.zone = zone;
            this.ready = ready;
            this.memory = memory;
            this.room = room;
        }
    }

    record Start(String service, String worker, String zone) {}

    record Plan(List<Start> starts, List<Instance> stops) {}

    // Ratios, none of any deployment: see docs/platform.md.
    static final double OWN_ZONE = 0.35; // of a runner's slots busy: from here a zone has runners of its own
    static final double KEEPS_ZONE = 0.6; // of that: down to here it keeps them
    static final double SPREAD = 1.5; // spare slots at most, in square roots of the slots busy on average
    static final double SELDOM = 4.6; // as a logarithm: one call in a hundred waits longer than it may
    static final double HARMLESS = 2; // starts: so long a runner is held idle where a start makes no call late
    static final double HARMFUL = 4; // the same where it does
    static final double WARM_MEMORY = 0.1; // of all workers' memory that may be held warm before any call
    /** For so long after it has begun nothing is stopped: not all homes have been heard. */
    private final long quiet;

    private final long begunAt;

    /** By service and zone: counts that were wanted, each until its time. */
    private final Map<String, TreeMap<Integer, Long>> held = new HashMap<>();

    Scaler(long quiet, long begunAt) {
        this.quiet = quiet;
        this.begunAt = begunAt;
    }

    Plan plan(
            long now,
            Configuration configuration,
            Map<String, List<Demand>> demand,
            InstanceTable runners,
            List<Worker> workers,
            Map<String, Integer> beginning) {
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>());
        double allMemory = workers.stream().mapToDouble(w -> w.memory).sum();
        double warm = 0;
        List<Configuration.Service> services = configuration.services().values().stream()
                .filter(Configuration.Service::isFunction)
                .sorted(Comparator.comparing(Configuration.Service::name))
                .toList();
        Map<String, Long> targets = targets(configuration);
        for (Configuration.Service service : services) {
            double target = targets.getOrDefault(service.name(), 1000L) / 1000.0;
            boolean slow = service.bootMs() / 1000.0 > target;
            // A start is paid for with memory while it lasts: idle runners are held for a few times that.
            long hold = (long) ((slow ? HARMFUL : HARMLESS) * service.bootMs() * 1e6);
            Map<String, Integer> wanted =
                    wanted(service, target, hold, demand.getOrDefault(service.name(), List.of()), runners);
            // What a start takes longer than callers bear is kept warm, within a part of all the memory.
            if (slow && warm + service.memoryMb() <= WARM_MEMORY * allMemory) {
                warm += service.memoryMb();
                if (wanted.values().stream().mapToInt(n -> n).sum() == 0) {
                    String zone = placeOfWarm(service, runners, workers);
                    if (zone != null) {
                        wanted.put(zone, 1);
                    }
                }
            }
            fit(now, service, hold, wanted, runners, workers, beginning, plan);
        }
        return plan;
    }

    /** The shortest target of the routes to each service. */
    private static Map<String, Long> targets(Configuration configuration) {
        Map<String, Long> targets = new HashMap<>();
        for (Configuration.Route route : configuration.routes().values()) {
            for (String service : route.services()) {
                targets.merge(service, route.targetMs(), Math::min);
            }
        }
        return targets;
    }

    private static String placeOfWarm(Configuration.Service service, InstanceTable runners, List<Worker> workers) {
        for (Instance r : runners.of(service.name())) {
            if (r.phase().compareTo(Instance.Phase.LEAVING) < 0) {
                return r.zone();
            }
        }
        return workers.stream()
                .filter(w -> w.ready && w.room >= service.memoryMb())
                .max(Comparator.comparingDouble(w -> w.room))
                .map(w -> w.zone)
                .orElse(null);
    }

    /** By zone, how many runners the calls want now. */
    Map<String, Integer> wanted(
            Configuration.Service service, double target, long hold, List<Demand> needs, InstanceTable runners) {
        Map<String, double[]> byZone = new TreeMap<>(); // average of slots busy, slots busy now, slots for what waits
        int slots = service.maxConcurrency();
        // One running time for all zones: a zone whose calls go elsewhere has seen none of its own.
        double seen = needs.stream()
                .filter(n -> n.run() > 0)
                .mapToDouble(n -> n.rate() + 0.01)
                .sum();
        double run = seen == 0
                ? target / 4
                : needs.stream().mapToDouble(n -> n.run() * (n.rate() + 0.01)).sum() / seen;
        // Slots that clear what waits in about the time that a start takes: more would come up when all is over.
        double clears = Math.max(service.bootMs() / 1000.0, run) / 2;
        if (!needs.isEmpty()) {
            runners.of(service.name()).stream()
                    .filter(r -> r.phase().compareTo(Instance.Phase.LEAVING) < 0)
                    .forEach(r -> byZone.put(r.zone(), new double[3]));
        }
        for (Demand need : needs) {
            double[] sum = byZone.computeIfAbsent(need.zone(), zone -> new double[3]);
            sum[0] += need.rate() * run;
            sum[1] += need.busy();
            sum[2] += need.waiting() * run / clears;
        }
        Set<String> have = runners.of(service.name()).stream()
                .filter(r -> r.phase().compareTo(Instance.Phase.LEAVING) < 0)
                .map(Instance::zone)
                .collect(Collectors.toSet());
        // Guards against runners that move to and fro: where there are some, the rest of the zones goes there.
        String main = byZone.keySet().stream()
                .max(Comparator.comparing((String zone) -> have.contains(zone))
                        .thenComparing(
                                zone -> byZone.get(zone)[0] + 0.01 * (byZone.get(zone)[1] + byZone.get(zone)[2])))
                .orElse(null);
        Map<String, Integer> wanted = new TreeMap<>();
        if (main == null) {
            return wanted;
        }
        double[] pooled = byZone.get(main).clone();
        for (Map.Entry<String, double[]> zone : byZone.entrySet()) {
            double[] its = zone.getValue();
            if (zone.getKey().equals(main)) {
                continue;
            } else if (its[0] >= OWN_ZONE * slots * (have.contains(zone.getKey()) ? KEEPS_ZONE : 1)) {
                wanted.put(zone.getKey(), count(its, slots, run, target));
            } else {
                for (int i = 0; i < pooled.length; i++) {
                    pooled[i] += its[i];
                }
            }
        }
        double rate = needs.stream().mapToDouble(Demand::rate).sum();
        // Between calls so rare that holding costs more than starting again, nothing is kept.
        if (rate * hold / 1e9 < 1) {
            pooled[0] = 0;
        }
        wanted.put(main, count(pooled, slots, run, target));
        return wanted;
    }

    /** Spare slots are few where calls may wait a while: the chance of a longer wait falls by e with each run of it. */
    private static int count(double[] need, int slots, double run, double target) {
        double average = need[0];
        double spare = Math.min(SPREAD * Math.sqrt(average), SELDOM * run / Math.max(run, target - run));
        double room = average < 0.05 ? Math.min(1, average) : average + spare;
        return (int) Math.ceil(Math.max(room + need[2], need[1]) / slots);
    }

    /** Starts what is missing and stops what has been too much for long enough. */
    private void fit(
            long now,
            Configuration.Service service,
            long hold,
            Map<String, Integer> wanted,
            InstanceTable runners,
            List<Worker> workers,
            Map<String, Integer> beginning,
            Plan plan) {
        Map<String, List<Instance>> have = new TreeMap<>();
        for (Instance r : runners.of(service.name())) {
            if (r.phase().compareTo(Instance.Phase.LEAVING) < 0) {
                have.computeIfAbsent(r.zone(), zone -> new ArrayList<>()).add(r);
            }
        }
        for (String zone : wanted.keySet()) {
            have.computeIfAbsent(zone, z -> new ArrayList<>());
        }
        int allWanted = wanted.values().stream().mapToInt(n -> n).sum();
        int all = have.values().stream().mapToInt(List::size).sum()
                + beginning.entrySet().stream()
                        .filter(b -> b.getKey().startsWith(service.name() + "@"))
                        .mapToInt(Map.Entry::getValue)
                        .sum();
        for (Map.Entry<String, List<Instance>> each : have.entrySet()) {
            String zone = each.getKey();
            int want = wanted.getOrDefault(zone, 0);
            TreeMap<Integer, Long> counts = held.computeIfAbsent(service.name() + "@" + zone, k -> new TreeMap<>());
            counts.put(want, now + hold);
            counts.values().removeIf(until -> until <= now);
            int keep = counts.lastKey();
            int are = each.getValue().size() + beginning.getOrDefault(service.name() + "@" + zone, 0);
            for (int i = are; i < want; i++) {
                Worker worker = place(service, zone, runners, workers, beginning, plan);
                // Where the zone has no room another's serves, but not more of those than are wanted in all.
                if (worker == null || !worker.zone.equals(zone) && all >= allWanted) {
                    break;
                }
                all++;
                worker.room -= service.memoryMb();
                plan.starts.add(new Start(service.name(), worker.name, worker.zone));
            }
            // Who has just won the duty has not heard all homes: for as long as it holds anything it stops nothing.
            if (are > keep && now - begunAt > quiet) {
                // The youngest first: those that are ready serve on.
                each.getValue().stream()
                        .sorted(Comparator.comparing((Instance r) -> r.phase())
                                .thenComparing(r -> -runners.since(r.id())))
                        .limit(are - keep)
                        .forEach(plan.stops::add);
            }
        }
    }

    /**
     * Where the fewest runners of the service are, then where the most room is: a lost worker takes few of one
     * service.
     */
    private static Worker place(
            Configuration.Service service,
            String zone,
            InstanceTable runners,
            List<Worker> workers,
            Map<String, Integer> beginning,
            Plan plan) {
        Map<String, Integer> there = new HashMap<>();
        runners.of(service.name()).stream()
                .filter(r -> r.phase().compareTo(Instance.Phase.LEAVING) < 0)
                .forEach(r -> there.merge(r.worker(), 1, Integer::sum));
        // What is on its way there counts as well.
        workers.forEach(
                w -> there.merge(w.name, beginning.getOrDefault(service.name() + "#" + w.name, 0), Integer::sum));
        plan.starts().stream()
                .filter(s -> s.service().equals(service.name()))
                .forEach(s -> there.merge(s.worker(), 1, Integer::sum));
        return workers.stream()
                .filter(w -> w.ready && w.room >= service.memoryMb())
                .min(Comparator.comparing((Worker w) -> !w.zone.equals(zone))
                        .thenComparing(w -> there.getOrDefault(w.name, 0))
                        .thenComparing(w -> -w.room))
                .orElse(null);
    }
}
