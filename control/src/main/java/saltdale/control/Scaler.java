package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Decides which instances to start, on which workers, and which to stop. It scales up by the requests that wait, and
 * scales down only after the desired count has been lower for the time during which holding an instance idle costs as
 * much as starting it again.
 */
final class Scaler {
    /** An instance to start. */
    record Start(String service, String worker, String zone) {}

    /** The starts and stops that are due now. */
    record Plan(List<Start> starts, List<Instance> stops) {}

    private record ServiceZone(String service, String zone) {}

    /** What the scaler reads from a configuration; computed once per configuration. */
    private static final class FunctionIndex {
        final Configuration configuration;
        final List<Configuration.Service> byName;
        final Map<String, Long> shortestTargetMs = new HashMap<>();

        FunctionIndex(Configuration configuration) {
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

    // The ratios below do not depend on the deployment; docs/platform.md explains them.
    /** Idle hold time, in boot times, of a service whose boot fits into the target latency. */
    private static final double FAST_BOOT_HOLD_RATIO = 2;
    /** Idle hold time, in boot times, of a service whose boot makes the requests that wait for it late. */
    private static final double SLOW_BOOT_HOLD_RATIO = 4;
    /** Share of all workers' memory that may hold warm instances of services without requests. */
    private static final double WARM_MEMORY_SHARE = 0.1;

    private static final long DEFAULT_TARGET_MS = 1000;

    /** Time after the start of the scaler in which it stops nothing, since not all owners have reported yet. */
    private final long initialNoStopNanos;

    private final long startedAt;
    private final Consumer<Runnable> guard;

    /** Instance counts that were desired recently, each with the time at which it expires. */
    private final Map<ServiceZone, TreeMap<Integer, Long>> recentCounts = new HashMap<>();

    private FunctionIndex functions;

    /** {@code guard} runs the planning of each service, and contains its failures. */
    Scaler(long initialNoStopNanos, long startedAt, Consumer<Runnable> guard) {
        this.initialNoStopNanos = initialNoStopNanos;
        this.guard = guard;
        this.startedAt = startedAt;
    }

    /** Returns the starts and stops that bring the instances to the counts that the demand calls for. */
    Plan plan(
            long now,
            Configuration configuration,
            Map<String, List<Demand>> demand,
            InstanceTable instances,
            List<Worker> workers,
            PendingStarts pendingStarts) {
        if (functions == null || functions.configuration != configuration) {
            functions = new FunctionIndex(configuration);
        }
        PlanRun run = new PlanRun(now, demand, instances, workers, pendingStarts);
        // A service that cannot be planned must not keep the others from being started and stopped.
        functions.byName.forEach(service -> guard.accept(() -> run.planService(service)));
        return run.plan;
    }

    /** One run of the planning, with what it is based on. */
    private final class PlanRun {
        final Plan plan = new Plan(new ArrayList<>(), new ArrayList<>());
        private final long now;
        private final Map<String, List<Demand>> demand;
        private final InstanceTable instances;
        private final List<Worker> workers;
        private final PendingStarts pendingStarts;
        private double warmMb; // that may still be used to keep services warm

        PlanRun(
                long now,
                Map<String, List<Demand>> demand,
                InstanceTable instances,
                List<Worker> workers,
                PendingStarts pendingStarts) {
            this.now = now;
            this.demand = demand;
            this.instances = instances;
            this.workers = workers;
            this.pendingStarts = pendingStarts;
            warmMb = WARM_MEMORY_SHARE
                    * workers.stream().mapToDouble(w -> w.memoryMb).sum();
        }

        void planService(Configuration.Service service) {
            List<Demand> demands = demand.getOrDefault(service.name(), List.of());
            double target = functions.targetSeconds(service);
            boolean bootExceedsTarget = service.bootMs() / 1000.0 > target;
            if (!bootExceedsTarget && demands.isEmpty() && !instances.hasInstancesOf(service.name())) {
                return; // the common case: most functions are idle most of the time
            }
            List<Instance> live = instances.ofService(service.name()).stream()
                    .filter(instance -> instance.phase().compareTo(Instance.Phase.LEAVING) < 0)
                    .toList();
            // A starting instance occupies memory without serving, so idle instances are held for a few boot times.
            long holdNanos =
                    (long) ((bootExceedsTarget ? SLOW_BOOT_HOLD_RATIO : FAST_BOOT_HOLD_RATIO) * service.bootMs() * 1e6);
            Map<String, Integer> desired = new DesiredInstanceCounts(service, target, holdNanos).byZone(demands, live);
            // Services that boot for longer than the target latency are kept warm, within a share of all memory.
            if (bootExceedsTarget && service.memoryMb() <= warmMb) {
                warmMb -= service.memoryMb();
                keepOneWarm(service, desired, live, workers);
            }
            reconcile(now, service, holdNanos, desired, live, instances, workers, pendingStarts, plan);
        }
    }

    private static void keepOneWarm(
            Configuration.Service service, Map<String, Integer> desired, List<Instance> live, List<Worker> workers) {
        if (desired.values().stream().anyMatch(count -> count > 0)) {
            return;
        }
        if (!live.isEmpty()) {
            desired.put(live.get(0).zone(), 1);
            return;
        }
        workers.stream()
                .filter(worker -> worker.hasRoomFor(service))
                .max(Comparator.comparingDouble(worker -> worker.freeMb))
                .ifPresent(worker -> desired.put(worker.zone, 1));
    }

    /** Plans starts for missing instances, and stops for those that have been surplus for the whole hold time. */
    private void reconcile(
            long now,
            Configuration.Service service,
            long holdNanos,
            Map<String, Integer> desired,
            Collection<Instance> live,
            InstanceTable instances,
            List<Worker> workers,
            PendingStarts pendingStarts,
            Plan plan) {
        Map<String, List<Instance>> liveByZone = new TreeMap<>();
        live.forEach(instance -> liveByZone
                .computeIfAbsent(instance.zone(), zone -> new ArrayList<>())
                .add(instance));
        desired.keySet().forEach(zone -> liveByZone.computeIfAbsent(zone, z -> new ArrayList<>()));
        int totalDesired = desired.values().stream().mapToInt(count -> count).sum();
        int total = live.size() + pendingStarts.of(service.name());
        WorkerPlacement placement = null;
        for (Map.Entry<String, List<Instance>> each : liveByZone.entrySet()) {
            String zone = each.getKey();
            int desiredHere = desired.getOrDefault(zone, 0);
            int keep = recentMaximum(new ServiceZone(service.name(), zone), desiredHere, now, holdNanos);
            int current = each.getValue().size() + pendingStarts.inZone(service.name(), zone);
            for (int i = current; i < desiredHere; i++) {
                placement = placement == null ? new WorkerPlacement(service, live, workers, pendingStarts) : placement;
                Worker worker = placement.choose(zone);
                // A full zone falls back to workers of other zones, up to the count desired in all zones together.
                if (worker == null || !worker.zone.equals(zone) && total >= totalDesired) {
                    break;
                }
                total++;
                placement.reserve(worker);
                plan.starts().add(new Start(service.name(), worker.name, worker.zone));
            }
            // A new duty holder has not received the reports of all owners yet and must not stop instances by them.
            if (current > keep && now - startedAt > initialNoStopNanos) {
                addStops(each.getValue(), current - keep, instances, plan);
            }
        }
    }

    /** Records the desired count and returns the highest one recorded within the hold time. */
    private int recentMaximum(ServiceZone serviceZone, int desired, long now, long holdNanos) {
        TreeMap<Integer, Long> counts = recentCounts.computeIfAbsent(serviceZone, k -> new TreeMap<>());
        counts.values().removeIf(expiresAt -> expiresAt <= now);
        counts.put(desired, now + holdNanos);
        return counts.lastKey();
    }

    /** Stops the youngest instances first, so that the ready ones continue to serve. */
    private static void addStops(List<Instance> live, int count, InstanceTable instances, Plan plan) {
        live.stream()
                .sorted(Comparator.comparing((Instance instance) -> instance.phase())
                        .thenComparing(instance -> -instances.phaseSince(instance.id())))
                .limit(count)
                .forEach(plan.stops()::add);
    }
}
