package saltdale.control;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** How many instances of a service the measured demand wants in each zone. Ratios are explained in docs/platform.md. */
final class DesiredInstanceCounts {
    /** Of an instance's slots busy: from here a zone has instances of its own. */
    private static final double OWN_ZONE = 0.35;
    /** Of that: down to here it keeps them. */
    private static final double KEEPS_ZONE = 0.6;
    /** Spare slots at most, in square roots of the slots busy on average. */
    private static final double SPREAD = 1.5;
    /** As a logarithm: one request in a hundred waits longer than it may. */
    private static final double SELDOM = 4.6;
    /** Slots busy on average below which the average alone decides. */
    private static final double RARE = 0.05;
    /** Weight of a report without requests, so that it counts at all. */
    private static final double LEAST_RATE = 0.01;

    /** What a zone needs: the average of busy slots, those busy now, and those that clear what waits. */
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

    /** {@code holdNanos}: for how long an instance without work is held. */
    DesiredInstanceCounts(Configuration.Service service, double targetSeconds, long holdNanos) {
        this.service = service;
        this.targetSeconds = targetSeconds;
        this.holdNanos = holdNanos;
    }

    /** By zone; {@code live}: the service's instances that are not leaving. */
    Map<String, Integer> byZone(List<Demand> demands, Collection<Instance> live) {
        Map<String, Integer> wanted = new TreeMap<>();
        if (demands.isEmpty()) {
            return wanted;
        }
        double runSeconds = runSeconds(demands);
        Set<String> have = live.stream().map(Instance::zone).collect(Collectors.toSet());
        Map<String, ZoneLoad> loads = loads(demands, have, runSeconds);
        String main = mainZone(loads, have);
        ZoneLoad pooled = new ZoneLoad();
        pooled.add(loads.get(main));
        int slots = service.maxConcurrency();
        loads.forEach((zone, load) -> {
            double share = OWN_ZONE * (have.contains(zone) ? KEEPS_ZONE : 1);
            if (zone.equals(main)) {
                return;
            } else if (load.average >= share * slots) {
                wanted.put(zone, count(load, runSeconds));
            } else {
                pooled.add(load);
            }
        });
        double rate = demands.stream().mapToDouble(Demand::callsPerSecond).sum();
        // Between requests so rare that holding costs more than starting again, nothing is kept.
        if (rate * holdNanos / 1e9 < 1) {
            pooled.average = 0;
        }
        wanted.put(main, count(pooled, runSeconds));
        return wanted;
    }

    /** One running time for all zones: a zone whose requests go elsewhere has seen none of its own. */
    private double runSeconds(List<Demand> demands) {
        double weights = 0;
        double sum = 0;
        for (Demand demand : demands) {
            double weight = demand.callsPerSecond() + LEAST_RATE;
            weights += demand.runSeconds() > 0 ? weight : 0;
            sum += demand.runSeconds() * weight;
        }
        return weights == 0 ? targetSeconds / 4 : sum / weights;
    }

    private Map<String, ZoneLoad> loads(List<Demand> demands, Set<String> have, double runSeconds) {
        // Slots that clear what waits in about the time that a start takes: more would come up when all is over.
        double clearsSeconds = Math.max(service.bootMs() / 1000.0, runSeconds) / 2;
        Map<String, ZoneLoad> loads = new TreeMap<>();
        have.forEach(zone -> loads.put(zone, new ZoneLoad()));
        for (Demand demand : demands) {
            ZoneLoad load = loads.computeIfAbsent(demand.zone(), zone -> new ZoneLoad());
            load.average += demand.callsPerSecond() * runSeconds;
            load.busy += demand.busy();
            load.waiting += demand.waiting() * runSeconds / clearsSeconds;
        }
        return loads;
    }

    /** Guards against instances that move to and fro: where there are some, the rest of the zones goes there. */
    private static String mainZone(Map<String, ZoneLoad> loads, Set<String> have) {
        return loads.keySet().stream()
                .max(Comparator.comparing((String zone) -> have.contains(zone)).thenComparing(zone -> {
                    ZoneLoad load = loads.get(zone);
                    return load.average + LEAST_RATE * (load.busy + load.waiting);
                }))
                .orElseThrow();
    }

    /** Spare slots are few where requests may wait: the chance of a longer wait falls by e with each run of it. */
    private int count(ZoneLoad load, double runSeconds) {
        double average = load.average;
        double spare = Math.min(
                SPREAD * Math.sqrt(average), SELDOM * runSeconds / Math.max(runSeconds, targetSeconds - runSeconds));
        double room = average < RARE ? Math.min(1, average) : average + spare;
        return (int) Math.ceil(Math.max(room + load.waiting, load.busy) / service.maxConcurrency());
    }
}
