package saltdale.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import saltdale.model.DecayingSum;
import saltdale.model.Durations;
import saltdale.model.OverloadSettings;

/**
 * Admission control for overloads. Classes of work are ordered by value per second of work; the level is the number of
 * tenths, from the low end, of all work below the top value that are rejected on arrival. The level follows the wait
 * found by probes relative to the wait that the most valuable work can tolerate. Dispatchers that see the same runners
 * so reach the same level without coordination.
 *
 * <p>It gets the time from its caller and does no I/O. Drawback: with misjudged run times the wrong work is rejected.
 */
public final class AdmissionControl {
    public static final int MAX_LEVEL = 10;
    private static final int MAX_STEPS_UP = 3; // per change; down by one
    private static final double TOP_VALUE_TOLERANCE = 1.1; // values within this factor of the highest count as equal

    /** A class of work, such as the first tries of one workload, and its measurements. */
    public static final class AdmissionClass {
        private final DecayingSum offered = new DecayingSum();
        private double valuePerSecond = Double.POSITIVE_INFINITY; // importance per second of work
        private double slackSeconds; // how long it can wait
        private boolean isTopValue = true;
        private final DecayingSum completed = new DecayingSum(); // admitted requests that have ended
        private final DecayingSum missed = new DecayingSum(); // those of them that missed their target

        /**
         * True while too few requests have ended to know the value. Such work is never rejected and takes precedence
         * over work that can wait longer, which is likely larger; but it may not wait so long that valuable work is
         * delayed. This matters for a start during an overload, where decisions on first estimates would reject
         * valuable work or fill all queues with cheap work.
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
    private double tolerableWaitSeconds; // of the most valuable work
    private Duration changedAt = Duration.ZERO;
    private int level;
    private long changeCount;
    private long rejectedCount;
    private String lastChange = "";

    public AdmissionControl(OverloadSettings settings, Duration timeConstant) {
        this.settings = settings;
        this.timeConstant = timeConstant;
    }

    /** Adds a class of work. */
    public AdmissionClass addClass() {
        AdmissionClass admissionClass = new AdmissionClass();
        classes.add(admissionClass);
        return admissionClass;
    }

    /** Records an arrival: its expected work, and the current value, slack and completions of its class. */
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

    /** Records that an admitted request has ended, or was shed because it would be late. */
    public void recordCompletion(Duration now, AdmissionClass admissionClass, boolean missed) {
        admissionClass.completed.add(now, 1, timeConstant);
        admissionClass.missed.add(now, missed ? 1 : 0, timeConstant);
    }

    /** Records the recent mean wait over all probed runners. */
    public void recordWait(Duration now, double seconds) {
        waitSeconds = seconds;
        waitMeasuredAt = now;
    }

    /** Whether to reject an arrival; {@code randomDraw}, from 0 to 1, is its position within its class. */
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
        // While the value of some work is unknown, the least slack of all top-value work applies.
        tolerableWaitSeconds = totalValue == 0
                ? 0
                : leastUnknownSlack < Double.POSITIVE_INFINITY ? leastSlack : weightedSlack / totalValue;
        adjustLevel(now, rejectableWork > 0, missed > settings.tolerableMissShare() * completed);
        boolean reject = !admissionClass.isTopValue && workBelow * MAX_LEVEL < level * rejectableWork;
        rejectedCount += reject ? 1 : 0;
        return reject;
    }

    /**
     * Moves the level towards the one that the wait calls for, in bounded steps. It falls only if that is at least two
     * steps lower, so that a fluctuating wait causes no oscillation. It rises only while the most valuable work misses
     * its targets, since waits that all work tolerates must not cause rejections. The measured wait decays while
     * nothing is probed, or no work would be admitted ever again.
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
                    "level %d to %d: wait %.3f s, the most valuable work tolerates %.3f s",
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
     * The longest wait at which a request with this slack may be sent to a runner: a share of its slack where earlier
     * tries of the client are unknown; for less valuable work in an overload, and work of unknown value, at most a wait
     * that leaves room for the most valuable work behind it.
     */
    public double maxWaitSeconds(AdmissionClass admissionClass, double slackSeconds, boolean retriesKnown) {
        double ownLimit = retriesKnown ? slackSeconds : settings.slackShare() * slackSeconds;
        return tolerableWaitSeconds > 0 && (admissionClass.isUnknown() || level > 0 && !admissionClass.isTopValue)
                ? Math.min(ownLimit, settings.highWaitShare() * tolerableWaitSeconds)
                : ownLimit;
    }

    /** The current level, from 0 to {@link #MAX_LEVEL} tenths. */
    public int level() {
        return level;
    }

    /** How often the level has changed. */
    public long changeCount() {
        return changeCount;
    }

    /** A description of the last change of the level with its reason; empty before the first. */
    public String lastChange() {
        return lastChange;
    }

    /** The number of arrivals rejected so far. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
