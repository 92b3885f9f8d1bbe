package saltdale.rig.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * What goes wrong, from when, for how long, and where.
 *
 * @param runners by their number in the fleet; of a dispatcher's trouble, dispatchers by theirs
 * @param size what the kind says it is
 * @param extra likewise
 * @param dispatchers of a way's trouble: whose ways to these runners, or to the list
 * @param list whether the way is that to the list
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
    /** The kinds, and what {@code size} and {@code extra} are for each. */
    public enum Kind {
        /** So many times slower. */
        SLOW(4, 1, 1000, 0),
        /** Does nothing at all, and says nothing of it. */
        STALL(0, 0, 0, 0),
        /** Fails this share quickly. */
        ERRORS(1, 0, 1, 0),
        /** This share runs, and is told as turned away; only where that proves nothing. */
        LATE_SHED(0.2, 0, 1, 0),
        /** Jobs cost so many times the work; extra: the share of jobs. */
        DEARER(10, 1, 1000, 0.02),
        /** The process dies, its connections are reset; it comes back cold when the time is over. */
        CRASH(0, 0, 0, 0),
        /** The machine falls silent, open connections stay; it comes back cold. */
        VANISH(0, 0, 0, 0),
        /** Drains for this long and is gone then; size 1: comes back cold after as long again. */
        DRAIN(0, 0, 1, 0),
        /** As drain, and hands back what has not begun. */
        HAND_BACK(0, 0, 1, 0),
        /** The zone (size, by number) is cut off from the others. */
        ZONE_CUT(0, 0, 1000, 0),
        /** Load reports are so many seconds older. */
        LATE_REPORTS(1, 0, 60, 0),
        /** Load reports tell so many times the load. */
        WRONG_REPORTS(0, 0, 1000, 0),
        /** Another program takes this share of the cores; extra: seconds on and off, 0 for always. */
        NEIGHBOUR(0.5, 0, 1, 0),
        /** Answers are cut off at byte {@code size}. */
        CUT_ANSWERS(20, 0, 65536, 0),
        /** Answers come byte by byte, {@code size} ms apart. */
        DRIP_ANSWERS(1, 0, 1000, 0),
        /** Call-backs come before the 202. */
        EARLY_NEWS(0, 0, 0, 0),
        /** Call-backs come twice. */
        TWICE_NEWS(0, 0, 0, 0),
        /** Call-backs of a job come in the wrong order. */
        SHUFFLED_NEWS(0, 0, 0, 0),
        /** Call-backs never come. */
        NO_NEWS(0, 0, 0, 0),
        /** A dispatcher (the numbers are theirs) is killed and starts again when the time is over. */
        DISPATCHER_KILL(0, 0, 0, 0),
        /** The list falls silent. */
        LIST_SILENT(0, 0, 0, 0),
        /** A dispatcher's process is stopped, and goes on when the time is over; sockets only, as all that follow. */
        DISPATCHER_STOP(0, 0, 0, 0),
        /** A dispatcher's process is stopped for this share of short turns; extra: seconds of a turn. */
        DISPATCHER_SLOW(0.5, 0.01, 0.95, 0.1),
        /** A dispatcher is told to end, in order, and is started again when the time is over. */
        DISPATCHER_RESTART(0, 0, 0, 0),
        /** What is open on a way is reset, and what comes is refused. */
        WAY_RESET(0, 0, 0, 0),
        /** Nothing passes a way, and nothing tells of it. */
        WAY_SILENT(0, 0, 0, 0),
        /** Nothing passes one way: size 0: to the runner, 1: from the runner. */
        WAY_ONE_SIDED(0, 0, 1, 0),
        /** All takes so many ms longer; extra: with so much jitter, as a share. */
        WAY_LATE(50, 0, 60_000, 0.5),
        /** So many bytes a second pass, each way. */
        WAY_SLOW(1000, 1, 1e9, 0),
        /** Silent for this share of turns; extra: seconds of a turn. */
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

        /** Whether it befalls dispatchers' processes. */
        boolean isProcessFault() {
            return this == DISPATCHER_KILL || compareTo(DISPATCHER_STOP) >= 0 && compareTo(DISPATCHER_RESTART) <= 0;
        }

        /** Whether it befalls ways between dispatchers and runners, or the list. */
        boolean isPathFault() {
            return compareTo(WAY_RESET) >= 0;
        }
    }

    public Duration end() {
        return at.plus(length);
    }

    /** Whether it disturbs the wire to this runner rather than the runner. */
    public boolean isWireFault() {
        return kind.compareTo(Kind.CUT_ANSWERS) >= 0 && kind.compareTo(Kind.NO_NEWS) <= 0;
    }

    public boolean isProcessFault() {
        return kind.isProcessFault();
    }

    public boolean isPathFault() {
        return kind.isPathFault();
    }

    /** Whether it can be played only where there are processes and sockets. */
    public boolean requiresSockets() {
        return kind.compareTo(Kind.DISPATCHER_STOP) >= 0;
    }

    /** Whether it befalls the way between these two. */
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
            throw table.invalid("part", "wanted beside runners; give one of the two");
        }
        boolean runnerList = onPath && table.bool("list", false);
        String zone = onPath ? table.string("zone", null) : null;
        if (runnerList && (table.has("runners") || table.has("part") || zone != null)) {
            throw table.invalid("list", "wanted beside runners, part or zone; give one of them");
        } else if (runnerList && kind != Kind.WAY_RESET && kind != Kind.WAY_SILENT && kind != Kind.WAY_FLAPS) {
            throw table.invalid("list", "possible with this kind; way-reset, way-silent and way-flaps are");
        } else if (zone != null && !zones.contains(zone)) {
            throw table.invalid("zone", "one of the fleet's zones, " + String.join(", ", zones));
        } else if (zone != null && (table.has("runners") || table.has("part"))) {
            throw table.invalid("zone", "wanted beside runners or part; give one of them");
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
