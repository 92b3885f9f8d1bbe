package saltdale.rig.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What goes wrong, from when, for how long, and where.
 *
 * @param runners by their number in the fleet
 * @param size what the kind says it is
 * @param extra likewise
 */
public record Trouble(Kind kind, Duration at, Duration length, List<Integer> runners, double size,
        double extra) {
    /** The kinds, and what {@code size} and {@code extra} are for each. */
    public enum Kind {
        /** So many times slower. */
        SLOW(4, 1, 1000, 0),
        /** Does nothing at all, and says nothing of it. */
        STALL(0, 0, 0, 0),
        /** Fails this share quickly. */
        ERRORS(1, 0, 1, 0),
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
        LIST_SILENT(0, 0, 0, 0);

        public final double size;
        final double least;
        final double most;
        final double extra;

        Kind(double size, double least, double most, double extra) {
            this.size = size;
            this.least = least;
            this.most = most;
            this.extra = extra;
        }
    }

    public Duration end() {
        return at.plus(length);
    }

    /** Whether it disturbs the wire to this runner rather than the runner. */
    public boolean onWire() {
        return kind.compareTo(Kind.CUT_ANSWERS) >= 0 && kind.compareTo(Kind.NO_NEWS) <= 0;
    }

    static Trouble read(Sheet sheet, int fleet, int dispatchers, SplittableRandom chance) {
        sheet.required("kind");
        Kind kind = sheet.word("kind", Kind.SLOW);
        int most = kind == Kind.DISPATCHER_KILL ? dispatchers : fleet;
        List<Integer> runners = sheet.wholes("runners");
        for (int each : runners) {
            if (each >= most) {
                throw sheet.wrong("runners", "a list of numbers from 0 to " + (most - 1));
            }
        }
        double part = sheet.number("part", 0, 0, 1);
        if (sheet.has("part") && sheet.has("runners")) {
            throw sheet.wrong("part", "wanted beside runners; give one of the two");
        }
        if (runners.isEmpty() && kind != Kind.ZONE_CUT && kind != Kind.LIST_SILENT) {
            List<Integer> all = new ArrayList<>();
            for (int i = 0; i < most; i++) {
                all.add(i);
            }
            for (int i = all.size() - 1; i > 0; i--) {
                Collections.swap(all, i, chance.nextInt(i + 1));
            }
            runners = all.subList(0, part == 0 ? 1 : (int) Math.max(1, Math.round(part * most)));
        }
        double size = kind.most == 0 ? 0 : sheet.number("size", kind.size, kind.least, kind.most);
        return new Trouble(kind, sheet.span("at", Duration.ZERO), sheet.span("length", Duration.ofSeconds(5)),
                List.copyOf(runners), size, kind.extra == 0 && kind != Kind.NEIGHBOUR ? 0
                : sheet.number("extra", kind.extra, 0, 1000));
    }
}
