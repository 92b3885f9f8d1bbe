package saltdale.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Computes from the demand how many instances a service needs per zone; docs/platform.md explains the ratios. */
final class DesiredInstanceCounts {
    /** Average load, as a share of one instance's slots, from which a zone gets instances of its own. */
    private static final double OWN_ZONE_LOAD = 0.35;
    /** Factor on {@link #OWN_ZONE_LOAD}: a zone that has instances keeps them down to this load. */
    private static final double KEEP_ZONE_FACTOR = 0.6;
    /** Upper bound of the spare slots, as a multiple of the square root of the average number of busy slots. */
    private static final double SPARE_SLOTS_PER_ROOT = 1.5;
    /** Natural logarithm of 100: one request in a hundred may wait longer than the target latency allows. */
    private static final double LOG_OF_LATE_RATIO = 4.6;
    /** Average number of busy slots below which no spare slots are added. */
    private static final double LOW_LOAD_SLOTS = 0.05;
    /** Weight of a report without requests, so that it is not ignored altogether. */
    private static final double MIN_WEIGHT = 0.01;
    /** Run time assumed for a service that has not run yet and whose routes have no target latency. */
    private static final double MIN_ASSUMED_RUN_SECONDS = 0.001;

    /** The load of a zone in slots: busy on average, busy now, and needed to clear the waiting requests. */
    private static final class ZoneLoad {
        double average;
        double busy;
        double waiting;

        void add(ZoneLoad other) {
            average += other.average;
            busy += other.busy;
            waiting += other.waiting;
        }
    }

    private final Configuration.Service service;
    private final double targetSeconds;
    private final long holdNanos;

    /** Creates a computation in which {@code holdNanos} is how long an idle instance is held. */
    DesiredInstanceCounts(Configuration.Service service, double targetSeconds, long holdNanos) {
        this.service = service;
        this.targetSeconds = targetSeconds;
        this.holdNanos = holdNanos;
    }

    /** Returns the counts by zone; {@code live} are the service's instances that are not leaving. */
    Map<String, Integer> byZone(List<Demand> demands, Collection<Instance> live) {
        Map<String, Integer> desired = new TreeMap<>();
        if (demands.isEmpty()) {
            return desired;
        }
        double runSeconds = meanRunSeconds(demands);
        Set<String> occupiedZones = live.stream().map(Instance::zone).collect(Collectors.toSet());
        Map<String, ZoneLoad> loads = loads(demands, occupiedZones, runSeconds);
        String main = mainZone(loads, occupiedZones);
        ZoneLoad pooled = new ZoneLoad();
        pooled.add(loads.get(main));
        int slots = service.maxConcurrency();
        loads.forEach((zone, load) -> {
            double minLoad = OWN_ZONE_LOAD * (occupiedZones.contains(zone) ? KEEP_ZONE_FACTOR : 1);
            if (zone.equals(main)) {
                return;
            } else if (load.average >= minLoad * slots) {
                desired.put(zone, count(load, runSeconds));
            } else {
                pooled.add(load);
            }
        });
        double rate = demands.stream().mapToDouble(Demand::callsPerSecond).sum();
        // With less than one request per hold time, holding an instance costs more than starting it again.
        if (rate * holdNanos / 1e9 < 1) {
            pooled.average = 0;
        }
        desired.put(main, count(pooled, runSeconds));
        return desired;
    }

    /** One run time for all zones, since a zone whose requests are served elsewhere has measured none of its own. */
    private double meanRunSeconds(List<Demand> demands) {
        double weights = 0;
        double sum = 0;
        for (Demand demand : demands) {
            double weight = demand.callsPerSecond() + MIN_WEIGHT;
            weights += demand.runSeconds() > 0 ? weight : 0;
            sum += demand.runSeconds() * weight;
        }
        return weights == 0 ? Math.max(MIN_ASSUMED_RUN_SECONDS, targetSeconds / 4) : sum / weights;
    }

    private Map<String, ZoneLoad> loads(List<Demand> demands, Set<String> occupiedZones, double runSeconds) {
        // Enough slots to clear the queue in about one boot time: further instances would be ready too late to help.
        double clearSeconds = Math.max(service.bootMs() / 1000.0, runSeconds) / 2;
        Map<String, ZoneLoad> loads = new TreeMap<>();
        occupiedZones.forEach(zone -> loads.put(zone, new ZoneLoad()));
        for (Demand demand : demands) {
            ZoneLoad load = loads.computeIfAbsent(demand.zone(), zone -> new ZoneLoad());
            load.average += demand.callsPerSecond() * runSeconds;
            load.busy += demand.busy();
            load.waiting += demand.waiting() * runSeconds / clearSeconds;
        }
        return loads;
    }

    /**
     * The zone that serves the zones without instances of their own. Zones that have instances are preferred, so that
     * instances do not move back and forth between zones.
     */
    private static String mainZone(Map<String, ZoneLoad> loads, Set<String> occupiedZones) {
        return loads.keySet().stream()
                .max(Comparator.comparing((String zone) -> occupiedZones.contains(zone))
                        .thenComparing(zone -> {
                            ZoneLoad load = loads.get(zone);
                            return load.average + MIN_WEIGHT * (load.busy + load.waiting);
                        }))
                .orElseThrow();
    }

    /**
     * The instances for this load. Few spare slots suffice where requests may wait, since the probability of a longer
     * wait falls by a factor of e with each run time.
     */
    private int count(ZoneLoad load, double runSeconds) {
        double average = load.average;
        double spare = Math.min(
                SPARE_SLOTS_PER_ROOT * Math.sqrt(average),
                LOG_OF_LATE_RATIO * runSeconds / Math.max(runSeconds, targetSeconds - runSeconds));
        double slots = average < LOW_LOAD_SLOTS ? Math.min(1, average) : average + spare;
        return (int) Math.ceil(Math.max(slots + load.waiting, load.busy) / service.maxConcurrency());
    }
}
