package saltdale.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import saltdale.model.Fading;
import saltdale.model.Relief;
import saltdale.model.Spans;

/**
 * What is let in while there is more work than room. All work but the dearest for the unit of work stands in a row by
 * what it earns; the level says how many tenths of that row, from the cheap end, are turned away at their arrival. It
 * follows the wait that probes find, beside the wait that the dearer work can bear. Dispatchers that see the same
 * runners so come to the same level, with no word between them.
 *
 * It is told the time and does no I/O. A level may hurt where sizes are misjudged: then the wrong work is turned away.
 */
public final class Levels {
    public static final int MOST = 10;
    private static final int MOST_UP = 3; // steps at once; down it goes one by one
    private static final double ALIKE = 1.1; // earning within this of the dearest is no less

    /** A workload: what is known of it by now. */
    public static final class Kind {
        private final Fading offered = new Fading();
        private double earns = Double.POSITIVE_INFINITY; // importance for a second of work
        private double slack; // seconds that it can wait
        private boolean isDear = true;
        private final Fading judged = new Fading(); // how many of it were let in and came to an end
        private final Fading missed = new Fading(); // how many of those not in time

        /**
         * Until so many of it have ended, nobody knows what it earns: it is then never turned away, and goes
         * before what can
         * wait longer, as that is likely larger; but it waits no longer than leaves dear work its place. Guards
         * against a
         * start in the midst of an overload: the first guesses would shed the dear, or fill all queues with the cheap.
         */
        private boolean isUnknown() {
            return earns == Double.POSITIVE_INFINITY;
        }
    }

    private final Relief relief;
    private final Duration memory;
    private final List<Kind> kinds = new ArrayList<>();
    private Duration waitAt = Duration.ZERO;
    private double wait;
    private double bearable; // seconds that the dearer work can wait
    private Duration changedAt = Duration.ZERO;
    private int level;
    private long changes;
    private long turnedAway;
    private String reason = "";

    public Levels(Relief relief, Duration memory) {
        this.relief = relief;
        this.memory = memory;
    }

    public Kind add() {
        Kind kind = new Kind();
        kinds.add(kind);
        return kind;
    }

    /** An assignment has arrived: what it likely works, and what its workload earns and can bear by now. */
    public void offered(Duration now, Kind kind, double work, double earns, double slack, double ended) {
        kind.offered.add(now, work, memory);
        kind.earns = ended < relief.known() ? Double.POSITIVE_INFINITY : earns;
        kind.slack = slack;
    }

    /** One that was let in has come to its end, or is shed because it would be late. */
    public void judged(Duration now, Kind kind, boolean missed) {
        kind.judged.add(now, 1, memory);
        kind.missed.add(now, missed ? 1 : 0, memory);
    }

    /** The wait that was found of late over all runners probed, in seconds. */
    public void waits(Duration now, double seconds) {
        wait = seconds;
        waitAt = now;
    }

    /** Whether it is to be turned away at its arrival; {@code luck} from 0 to 1 places it among its own. */
    public boolean turnsAway(Duration now, Kind kind, double luck) {
        kinds.forEach(each -> each.isDear = each.offered.at(now, memory) > 0);
        double dearest = kinds.stream()
                .filter(k -> k.isDear && !k.isUnknown())
                .mapToDouble(k -> k.earns)
                .max()
                .orElse(0);
        double unknown = kinds.stream()
                .filter(k -> k.isDear && k.isUnknown())
                .mapToDouble(k -> k.slack)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        kinds.forEach(
                each -> each.isDear &= each.isUnknown() || each.earns * ALIKE >= dearest && each.slack <= unknown);
        double worth = 0;
        double borne = 0;
        double below = 0;
        double all = 0;
        double least = Double.POSITIVE_INFINITY;
        double judged = 0;
        double missed = 0;
        for (Kind each : kinds) {
            double work = each.offered.at(now, memory);
            if (each.isDear) {
                least = Math.min(least, each.slack);
                double weight = work * Math.min(each.earns, dearest == 0 ? 1 : dearest);
                worth += weight;
                borne += weight * each.slack;
                judged += each.judged.at(now, memory);
                missed += each.missed.at(now, memory);
            } else {
                all += work;
                below += each.earns < kind.earns ? work : each == kind ? luck * work : 0;
            }
        }
        // While some work can't be weighed yet, it is the least that any dear work can wait.
        bearable = worth == 0 ? 0 : unknown < Double.POSITIVE_INFINITY ? least : borne / worth;
        move(now, all > 0, missed > relief.missed() * judged);
        boolean away = !kind.isDear && below * MOST < level * all;
        turnedAway += away ? 1 : 0;
        return away;
    }

    /**
     * Towards what the wait asks for: by bounded steps, and down only once that lies two steps lower, so that a
     * wait that
     * hovers changes nothing; up only while dearer work misses its promise, or waits that all can bear would turn work
     * away. What was found fades where nothing is probed any more, or no one would ever be let in.
     */
    private void move(Duration now, boolean some, boolean needed) {
        if (now.compareTo(changedAt.plus(relief.step())) < 0) {
            return;
        }
        double found = bearable <= 0 ? 0 : wait * Math.exp(-Spans.secs(now.minus(waitAt)) / bearable);
        double part = bearable <= 0 || !some ? 0 : found / bearable;
        double asked = MOST * Math.max(0, Math.min(1, (part - relief.low()) / (relief.high() - relief.low())));
        int next = asked > level + 0.5
                ? needed ? Math.min(level + MOST_UP, (int) Math.round(asked)) : level
                : asked <= level - 2 || asked == 0 ? Math.max(0, level - 1) : level;
        if (next != level) {
            reason = String.format(
                    Locale.ROOT,
                    "level %d to %d: a wait of %.3f s, the dearer work can bear %.3f s",
                    level,
                    next,
                    found,
                    bearable);
            level = next;
            changes++;
            changedAt = now;
        }
    }

    /**
     * The wait that an assignment may meet where it is sent, of this slack: a part of it where nothing tells how many
     * tries came before; for cheaper work in an overload, and for what can't be weighed yet, no more than leaves
     * the dear
     * its place behind it.
     */
    public double bears(Kind kind, double slack, boolean marked) {
        double own = marked ? slack : relief.borne() * slack;
        return bearable > 0 && (kind.isUnknown() || level > 0 && !kind.isDear)
                ? Math.min(own, relief.high() * bearable)
                : own;
    }

    public int level() {
        return level;
    }

    /** How often it has changed, and why it last did. */
    public long changes() {
        return changes;
    }

    public String reason() {
        return reason;
    }

    public long turnedAway() {
        return turnedAway;
    }
}
