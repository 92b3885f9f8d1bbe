package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which instances to start, on which workers, and which to stop. It grows by what waits, and shrinks only after
 * what was wanted has been less for as long as holding an instance costs a start.
 */
final class Scaler {
    /** An instance to be started. */
    record Start(String service, String worker, String zone) {}

    /** What is to be done now. */
    record Plan(List<Start> starts, List<Instance> stops) {}

    private record ServiceZone(String service, String zone) {}

    /** What the scaler reads of a configuration; made once for each. */
    private static final class Functions {
        final Configuration configuration;
        final List<Configuration.Service> byName;
        final Map<String, Long> shortestTargetMs = new HashMap<>();

        Functions(Configuration configuration) {
            this.configuration = configuration;
            byName = configuration.services().values().stream()
                    .filter(Configuration.Service::isFunction)
                    .sorted(Comparator.comparing(Configuration.Service::name))
                    .toList();
            for (Configuration.Route route : configuration.routes().values()) {
                for (String service : route.services()) {
                    shortestTargetMs.merge(service, route.targetMs(), Math::min);
                }
            }
        }

        double targetSeconds(Configuration.Service service) {
            return shortestTargetMs.getOrDefault(service.name(), DEFAULT_TARGET_MS) / 1000.0;
        }
    }

    // Ratios, none of any deployment: see docs/platform.md.
    /** Starts: so long an instance is held idle where a start makes no request late. */
    private static final double HARMLESS = 2;
    /** The same where it does. */
    private static final double HARMFUL = 4;
    /** Of all workers' memory that may be held warm before any request. */
    private static final double WARM_MEMORY = 0.1;

    private static final long DEFAULT_TARGET_MS = 1000;

    /** For so long after it has begun nothing is stopped: not all owners have been heard. */
    private final long quiet;

    private final long begunAt;

    /** Counts that were wanted, each until its time. */
    private final Map<ServiceZone, TreeMap<Integer, Long>> held = new HashMap<>();

    private Functions functions;

    Scaler(long quiet, long begunAt) {
        this.quiet = quiet;
        this.begunAt = begunAt;
    }

    Plan plan(
            long now,
            Configuration configuration,
            Map<String, List<Demand>> demand,
            InstanceTable instances,
            List<Worker> workers,
            PendingStarts underWay) {
        if (functions == null || functions.configuration != configuration) {
            functions = new Functions(configuration);
        }
        Plan plan = new Plan(new ArrayList<>(), new ArrayList<>());
        double warmMb =
                WARM_MEMORY * workers.stream().mapToDouble(w -> w.memoryMb).sum();
        for (Configuration.Service service : functions.byName) {
            List<Demand> demands = demand.getOrDefault(service.name(), List.of());
            double target = functions.targetSeconds(service);
            boolean slow = service.bootMs() / 1000.0 > target;
            if (!slow && demands.isEmpty() && !instances.hasInstancesOf(service.name())) {
                continue; // as most functions are at most times
            }
            List<Instance> live = instances.ofService(service.name()).stream()
                    .filter(instance -> instance.phase().compareTo(Instance.Phase.LEAVING) < 0)
                    .toList();
            // A start is paid for with memory while it lasts: idle instances are held for a few times that.
            long hold = (long) ((slow ? HARMFUL : HARMLESS) * service.bootMs() * 1e6);
            Map<String, Integer> wanted = new DesiredInstanceCounts(service, target, hold).byZone(demands, live);
            // What a start takes longer than callers bear is kept warm, within a part of all the memory.
            if (slow && service.memoryMb() <= warmMb) {
                warmMb -= service.memoryMb();
                keepOneWarm(service, wanted, live, workers);
            }
            fit(now, service, hold, wanted, live, instances, workers, underWay, plan);
        }
        return plan;
    }

    private static void keepOneWarm(
            Configuration.Service service, Map<String, Integer> wanted, List<Instance> live, List<Worker> workers) {
        if (wanted.values().stream().anyMatch(count -> count > 0)) {
            return;
        }
        if (!live.isEmpty()) {
            wanted.put(live.get(0).zone(), 1);
            return;
        }
        workers.stream()
                .filter(worker -> worker.hasRoomFor(service))
                .max(Comparator.comparingDouble(worker -> worker.freeMb))
                .ifPresent(worker -> wanted.put(worker.zone, 1));
    }

    /** Starts what is missing and stops what has been too much for long enough. */
    private void fit(
            long now,
            Configuration.Service service,
            long hold,
            Map<String, Integer> wanted,
            Collection<Instance> live,
            InstanceTable instances,
            List<Worker> workers,
            PendingStarts underWay,
            Plan plan) {
        Map<String, List<Instance>> have = new TreeMap<>();
        live.forEach(instance ->
                have.computeIfAbsent(instance.zone(), zone -> new ArrayList<>()).add(instance));
        wanted.keySet().forEach(zone -> have.computeIfAbsent(zone, z -> new ArrayList<>()));
        int allWanted = wanted.values().stream().mapToInt(count -> count).sum();
        int all = live.size() + underWay.of(service.name());
        WorkerPlacement placement = null;
        for (Map.Entry<String, List<Instance>> each : have.entrySet()) {
            String zone = each.getKey();
            int want = wanted.getOrDefault(zone, 0);
            int keep = held(new ServiceZone(service.name(), zone), want, now, hold);
            int are = each.getValue().size() + underWay.inZone(service.name(), zone);
            for (int i = are; i < want; i++) {
                placement = placement == null ? new WorkerPlacement(service, live, workers, underWay) : placement;
                Worker worker = placement.choose(zone);
                // Where the zone has no room another's serves, but not more of those than are wanted in all.
                if (worker == null || !worker.zone.equals(zone) && all >= allWanted) {
                    break;
                }
                all++;
                placement.take(worker);
                plan.starts().add(new Start(service.name(), worker.name, worker.zone));
            }
            // Who has just won the duty has not heard all owners: for as long as it holds anything it stops nothing.
            if (are > keep && now - begunAt > quiet) {
                stop(each.getValue(), are - keep, instances, plan);
            }
        }
    }

    /** The most that was wanted of late. */
    private int held(ServiceZone where, int want, long now, long hold) {
        TreeMap<Integer, Long> counts = held.computeIfAbsent(where, k -> new TreeMap<>());
        counts.put(want, now + hold);
        counts.values().removeIf(until -> until <= now);
        return counts.lastKey();
    }

    /** The youngest first: those that are ready serve on. */
    private static void stop(List<Instance> live, int count, InstanceTable instances, Plan plan) {
        live.stream()
                .sorted(Comparator.comparing((Instance instance) -> instance.phase())
                        .thenComparing(instance -> -instances.phaseSince(instance.id())))
                .limit(count)
                .forEach(plan.stops()::add);
    }
}
