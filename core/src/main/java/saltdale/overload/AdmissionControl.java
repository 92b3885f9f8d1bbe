package saltdale.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import saltdale.model.DecayingSum;
import saltdale.model.Durations;
import saltdale.model.OverloadSettings;

/**
 * What is let in while there is more work than room. All work but the dearest for the unit of work stands in a row by
 * what it earns; the level says how many tenths of that row, from the cheap end, are turned away at their arrival. It
 * follows the wait that probes find, beside the wait that the dearer work can bear. Dispatchers that see the same
 * runners so come to the same level, with no word between them.
 *
 * It is told the time and does no I/O. A level may hurt where sizes are misjudged: then the wrong work is turned away.
 */
public final class AdmissionControl {
    public static final int MAX_LEVEL = 10;
    private static final int MAX_STEPS_UP = 3; // steps at once; down it goes one by one
    private static final double TOP_VALUE_TOLERANCE = 1.1; // earning within this of the dearest is no less

    /** A workload: what is known of it by now. */
    public static final class AdmissionClass {
        private final DecayingSum offered = new DecayingSum();
        private double valuePerSecond = Double.POSITIVE_INFINITY; // importance for a second of work
        private double slackSeconds; // seconds that it can wait
        private boolean isTopValue = true;
        private final DecayingSum completed = new DecayingSum(); // how many of it were let in and came to an end
        private final DecayingSum missed = new DecayingSum(); // how many of those not in time

        /**
         * Until so many of it have ended, nobody knows what it earns: it is then never turned away, and goes
         * before what can
         * wait longer, as that is likely larger; but it waits no longer than leaves dear work its place. Guards
         * against a
         * start in the midst of an overload: the first guesses would shed the dear, or fill all queues with the cheap.
         */
        private boolean isUnknown() {
            return valuePerSecond == Double.POSITIVE_INFINITY;
        }
    }

    private final OverloadSettings settings;
    private final Duration timeConstant;
    private final List<AdmissionClass> classes = new ArrayList<>();
    private Duration waitMeasuredAt = Duration.ZERO;
    private double waitSeconds;
    private double tolerableWaitSeconds; // seconds that the dearer work can wait
    private Duration changedAt = Duration.ZERO;
    private int level;
    private long changeCount;
    private long rejectedCount;
    private String lastChange = "";

    public AdmissionControl(OverloadSettings settings, Duration timeConstant) {
        this.settings = settings;
        this.timeConstant = timeConstant;
    }

    public AdmissionClass addClass() {
        AdmissionClass admissionClass = new AdmissionClass();
        classes.add(admissionClass);
        return admissionClass;
    }

    /** An assignment has arrived: what it likely works, and what its workload earns and can bear by now. */
    public void recordArrival(
            Duration now,
            AdmissionClass admissionClass,
            double workSeconds,
            double valuePerSecond,
            double slackSeconds,
            double completions) {
        admissionClass.offered.add(now, workSeconds, timeConstant);
        admissionClass.valuePerSecond =
                completions < settings.minCompletions() ? Double.POSITIVE_INFINITY : valuePerSecond;
        admissionClass.slackSeconds = slackSeconds;
    }

    /** One that was let in has come to its end, or is shed because it would be late. */
    public void recordCompletion(Duration now, AdmissionClass admissionClass, boolean missed) {
        admissionClass.completed.add(now, 1, timeConstant);
        admissionClass.missed.add(now, missed ? 1 : 0, timeConstant);
    }

    /** The wait that was found of late over all runners probed, in seconds. */
    public void recordWait(Duration now, double seconds) {
        waitSeconds = seconds;
        waitMeasuredAt = now;
    }

    /** Whether it is to be turned away at its arrival; {@code luck} from 0 to 1 places it among its own. */
    public boolean shouldReject(Duration now, AdmissionClass admissionClass, double randomDraw) {
        classes.forEach(each -> each.isTopValue = each.offered.valueAt(now, timeConstant) > 0);
        double topValue = classes.stream()
                .filter(k -> k.isTopValue && !k.isUnknown())
                .mapToDouble(k -> k.valuePerSecond)
                .max()
                .orElse(0);
        double leastUnknownSlack = classes.stream()
                .filter(k -> k.isTopValue && k.isUnknown())
                .mapToDouble(k -> k.slackSeconds)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        classes.forEach(each -> each.isTopValue &= each.isUnknown()
                || each.valuePerSecond * TOP_VALUE_TOLERANCE >= topValue && each.slackSeconds <= leastUnknownSlack);
        double totalValue = 0;
        double weightedSlack = 0;
        double workBelow = 0;
        double rejectableWork = 0;
        double leastSlack = Double.POSITIVE_INFINITY;
        double completed = 0;
        double missed = 0;
        for (AdmissionClass each : classes) {
            double work = each.offered.valueAt(now, timeConstant);
            if (each.isTopValue) {
                leastSlack = Math.min(leastSlack, each.slackSeconds);
                double weight = work * Math.min(each.valuePerSecond, topValue == 0 ? 1 : topValue);
                totalValue += weight;
                weightedSlack += weight * each.slackSeconds;
                completed += each.completed.valueAt(now, timeConstant);
                missed += each.missed.valueAt(now, timeConstant);
            } else {
                rejectableWork += work;
                workBelow += each.valuePerSecond < admissionClass.valuePerSecond
                        ? work
                        : each == admissionClass ? randomDraw * work : 0;
            }
        }
        // While some work can't be weighed yet, it is the least that any dear work can wait.
        tolerableWaitSeconds = totalValue == 0
                ? 0
                : leastUnknownSlack < Double.POSITIVE_INFINITY ? leastSlack : weightedSlack / totalValue;
        adjustLevel(now, rejectableWork > 0, missed > settings.tolerableMissShare() * completed);
        boolean reject = !admissionClass.isTopValue && workBelow * MAX_LEVEL < level * rejectableWork;
        rejectedCount += reject ? 1 : 0;
        return reject;
    }

    /**
     * Towards what the wait asks for: by bounded steps, and down only once that lies two steps lower, so that a
     * wait that
     * hovers changes nothing; up only while dearer work misses its promise, or waits that all can bear would turn work
     * away. What was found fades where nothing is probed any more, or no one would ever be let in.
     */
    private void adjustLevel(Duration now, boolean hasRejectableWork, boolean mayRise) {
        if (now.compareTo(changedAt.plus(settings.minChangeInterval())) < 0) {
            return;
        }
        double decayedWait = tolerableWaitSeconds <= 0
                ? 0
                : waitSeconds * Math.exp(-Durations.seconds(now.minus(waitMeasuredAt)) / tolerableWaitSeconds);
        double waitShare = tolerableWaitSeconds <= 0 || !hasRejectableWork ? 0 : decayedWait / tolerableWaitSeconds;
        double wantedLevel = MAX_LEVEL
                * Math.max(
                        0,
                        Math.min(
                                1,
                                (waitShare - settings.lowWaitShare())
                                        / (settings.highWaitShare() - settings.lowWaitShare())));
        int next = wantedLevel > level + 0.5
                ? mayRise ? Math.min(level + MAX_STEPS_UP, (int) Math.round(wantedLevel)) : level
                : wantedLevel <= level - 2 || wantedLevel == 0 ? Math.max(0, level - 1) : level;
        if (next != level) {
            lastChange = String.format(
                    Locale.ROOT,
                    "level %d to %d: a wait of %.3f s, the dearer work can bear %.3f s",
                    level,
                    next,
                    decayedWait,
                    tolerableWaitSeconds);
            level = next;
            changeCount++;
            changedAt = now;
        }
    }

    /**
     * The wait that an assignment may meet where it is sent, of this slack: a part of it where nothing tells how many
     * tries came before; for cheaper work in an overload, and for what can't be weighed yet, no more than leaves
     * the dear
     * its place behind it.
     */
    public double maxWaitSeconds(AdmissionClass admissionClass, double slackSeconds, boolean retriesKnown) {
        double ownLimit = retriesKnown ? slackSeconds : settings.slackShare() * slackSeconds;
        return tolerableWaitSeconds > 0 && (admissionClass.isUnknown() || level > 0 && !admissionClass.isTopValue)
                ? Math.min(ownLimit, settings.highWaitShare() * tolerableWaitSeconds)
                : ownLimit;
    }

    public int level() {
        return level;
    }

    /** How often it has changed, and why it last did. */
    public long changeCount() {
        return changeCount;
    }

    public String lastChange() {
        return lastChange;
    }

    public long rejectedCount() {
        return rejectedCount;
    }
}
