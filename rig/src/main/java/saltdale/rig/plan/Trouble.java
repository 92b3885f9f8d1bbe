package saltdale.rig.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A fault that a scenario injects.
 *
 * @param kind what fails
 * @param at start, since the start of the scenario
 * @param length duration
 * @param runners indexes of the affected runners; for a fault of dispatcher processes, indexes of dispatchers
 * @param size parameter whose meaning depends on the kind
 * @param extra second parameter whose meaning depends on the kind
 * @param dispatchers for a fault of network paths: the dispatchers whose paths to the runners or the list are affected
 * @param runnerList whether the affected path is the one to the runner list
 */
public record Trouble(
        Kind kind,
        Duration at,
        Duration length,
        List<Integer> runners,
        double size,
        double extra,
        List<Integer> dispatchers,
        boolean runnerList) {
    /** The kinds of faults, with the meaning of {@code size} and {@code extra} for each. */
    public enum Kind {
        /** The runner is slower by the factor {@code size}. */
        SLOW(4, 1, 1000, 0),
        /** The runner hangs: it makes no progress and reports no error. */
        STALL(0, 0, 0, 0),
        /** The runner quickly fails the share {@code size} of its assignments. */
        ERRORS(1, 0, 1, 0),
        /**
         * The share {@code size} of assignments runs but is reported as rejected; only allowed where a rejection does
         * not prove that nothing ran.
         */
        LATE_SHED(0.2, 0, 1, 0),
        /** Assignments cost {@code size} times the work; extra: the share of assignments. */
        DEARER(10, 1, 1000, 0.02),
        /** The runner process dies and its connections are reset; it restarts cold at the end of the fault. */
        CRASH(0, 0, 0, 0),
        /** The machine stops responding while connections stay open; it restarts cold. */
        VANISH(0, 0, 0, 0),
        /**
         * The runner drains for the length of the fault and then ends; size 1: it restarts cold after the same time.
         */
        DRAIN(0, 0, 1, 0),
        /** As {@link #DRAIN}, and the runner returns assignments that have not started. */
        HAND_BACK(0, 0, 1, 0),
        /** The zone with the index {@code size} is partitioned from the others. */
        ZONE_CUT(0, 0, 1000, 0),
        /** Load reports are older by {@code size} seconds. */
        LATE_REPORTS(1, 0, 60, 0),
        /** Load reports state {@code size} times the load. */
        WRONG_REPORTS(0, 0, 1000, 0),
        /** Another program uses the share {@code size} of the cores; extra: seconds on and off, 0 for always. */
        NEIGHBOUR(0.5, 0, 1, 0),
        /** Responses are truncated at byte {@code size}. */
        CUT_ANSWERS(20, 0, 65536, 0),
        /** Responses arrive byte by byte, {@code size} ms apart. */
        DRIP_ANSWERS(1, 0, 1000, 0),
        /** Callbacks arrive before the 202 response. */
        EARLY_NEWS(0, 0, 0, 0),
        /** Callbacks are sent twice. */
        TWICE_NEWS(0, 0, 0, 0),
        /** Callbacks of an assignment arrive in the wrong order. */
        SHUFFLED_NEWS(0, 0, 0, 0),
        /** Callbacks are never sent. */
        NO_NEWS(0, 0, 0, 0),
        /** A dispatcher process is killed and restarted at the end of the fault. */
        DISPATCHER_KILL(0, 0, 0, 0),
        /** The runner list stops responding. */
        LIST_SILENT(0, 0, 0, 0),
        /** A dispatcher process is paused until the end of the fault; this and all later kinds need sockets. */
        DISPATCHER_STOP(0, 0, 0, 0),
        /** A dispatcher process is paused for the share {@code size} of each period; extra: the period in seconds. */
        DISPATCHER_SLOW(0.5, 0.01, 0.95, 0.1),
        /** A dispatcher shuts down orderly and is restarted at the end of the fault. */
        DISPATCHER_RESTART(0, 0, 0, 0),
        /** Open connections on a network path are reset and new ones are refused. */
        WAY_RESET(0, 0, 0, 0),
        /** A network path drops all traffic silently. */
        WAY_SILENT(0, 0, 0, 0),
        /** A network path drops traffic in one direction; size 0: to the runner, 1: from the runner. */
        WAY_ONE_SIDED(0, 0, 1, 0),
        /** A network path adds {@code size} ms of latency; extra: jitter as a share of it. */
        WAY_LATE(50, 0, 60_000, 0.5),
        /** A network path carries at most {@code size} bytes per second in each direction. */
        WAY_SLOW(1000, 1, 1e9, 0),
        /** A network path drops all traffic for the share {@code size} of each period; extra: the period in seconds. */
        WAY_FLAPS(0.5, 0.01, 0.99, 1);

        public final double size;
        final double min;
        final double max;
        final double extra;

        Kind(double size, double min, double max, double extra) {
            this.size = size;
            this.min = min;
            this.max = max;
            this.extra = extra;
        }

        /** Whether this kind affects dispatcher processes. */
        boolean isProcessFault() {
            return this == DISPATCHER_KILL || compareTo(DISPATCHER_STOP) >= 0 && compareTo(DISPATCHER_RESTART) <= 0;
        }

        /** Whether this kind affects network paths between dispatchers and runners or the runner list. */
        boolean isPathFault() {
            return compareTo(WAY_RESET) >= 0;
        }
    }

    /** End of the fault, since the start of the scenario. */
    public Duration end() {
        return at.plus(length);
    }

    /** Whether this fault changes the messages of a runner rather than the runner itself. */
    public boolean isWireFault() {
        return kind.compareTo(Kind.CUT_ANSWERS) >= 0 && kind.compareTo(Kind.NO_NEWS) <= 0;
    }

    /** Whether this fault affects dispatcher processes. */
    public boolean isProcessFault() {
        return kind.isProcessFault();
    }

    /** Whether this fault affects network paths. */
    public boolean isPathFault() {
        return kind.isPathFault();
    }

    /** Whether this fault needs processes and sockets, so that it can't be simulated. */
    public boolean requiresSockets() {
        return kind.compareTo(Kind.DISPATCHER_STOP) >= 0;
    }

    /** Whether this fault affects the network path between this runner and this dispatcher. */
    public boolean affectsPath(int runner, int dispatcher) {
        return isPathFault() && !runnerList && runners.contains(runner) && dispatchers.contains(dispatcher);
    }

    static Trouble read(
            TomlTable table, int runnerCount, int dispatchers, List<String> zones, SplittableRandom random) {
        table.required("kind");
        Kind kind = table.enumValue("kind", Kind.SLOW);
        boolean onPath = kind.isPathFault();
        int count = kind.isProcessFault() ? dispatchers : runnerCount;
        List<Integer> runners = table.integers("runners");
        for (int each : runners) {
            if (each >= count) {
                throw table.invalid("runners", "a list of numbers from 0 to " + (count - 1));
            }
        }
        double part = table.number("part", 0, 0, 1);
        if (table.has("part") && table.has("runners")) {
            throw table.invalid("part", "allowed together with runners; give one of the two");
        }
        boolean runnerList = onPath && table.bool("list", false);
        String zone = onPath ? table.string("zone", null) : null;
        if (runnerList && (table.has("runners") || table.has("part") || zone != null)) {
            throw table.invalid("list", "allowed together with runners, part or zone; give one of them");
        } else if (runnerList && kind != Kind.WAY_RESET && kind != Kind.WAY_SILENT && kind != Kind.WAY_FLAPS) {
            throw table.invalid("list", "possible with this kind; way-reset, way-silent and way-flaps are");
        } else if (zone != null && !zones.contains(zone)) {
            throw table.invalid("zone", "one of the fleet's zones, " + String.join(", ", zones));
        } else if (zone != null && (table.has("runners") || table.has("part"))) {
            throw table.invalid("zone", "allowed together with runners or part; give one of them");
        }
        List<Integer> pathDispatchers = onPath ? table.integers("dispatchers") : List.of();
        for (int each : pathDispatchers) {
            if (each >= dispatchers) {
                throw table.invalid("dispatchers", "a list of numbers from 0 to " + (dispatchers - 1));
            }
        }
        if (onPath && pathDispatchers.isEmpty()) {
            pathDispatchers = IntStream.range(0, dispatchers).boxed().toList();
        }
        if (zone != null) {
            runners = IntStream.range(0, runnerCount)
                    .filter(i -> zones.get(i % zones.size()).equals(zone))
                    .boxed()
                    .toList();
        }
        if (runners.isEmpty() && kind != Kind.ZONE_CUT && kind != Kind.LIST_SILENT && !runnerList) {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                all.add(i);
            }
            for (int i = all.size() - 1; i > 0; i--) {
                Collections.swap(all, i, random.nextInt(i + 1));
            }
            runners = all.subList(0, part == 0 ? 1 : (int) Math.max(1, Math.round(part * count)));
        }
        double size = kind.max == 0 ? 0 : table.number("size", kind.size, kind.min, kind.max);
        boolean isPeriodic = kind == Kind.DISPATCHER_SLOW || kind == Kind.WAY_FLAPS;
        double extra = kind.extra == 0 && kind != Kind.NEIGHBOUR
                ? 0
                : table.number("extra", kind.extra, isPeriodic ? 0.02 : 0, 1000);
        return new Trouble(
                kind,
                table.duration("at", Duration.ZERO),
                table.duration("length", Duration.ofSeconds(5)),
                List.copyOf(runners),
                size,
                extra,
                List.copyOf(pathDispatchers),
                runnerList);
    }
}
