package saltdale.rig.load;

import java.time.Duration;
import java.util.SplittableRandom;
import saltdale.model.Workload;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.plan.Traffic;

/** Whether and when clients try again: waits that double, with jitter, and a budget over all of them. */
public final class ClientRetryPolicy {
    private static final double INITIAL_RETRY_CREDIT = 10; // of the budget, so that a quiet time is no ban

    private final Traffic traffic;
    private final SplittableRandom random;
    private double credit = INITIAL_RETRY_CREDIT;

    public ClientRetryPolicy(Traffic traffic, SplittableRandom random) {
        this.traffic = traffic;
        this.random = random;
    }

    /** A first try has been sent: it earns its part of a further one. */
    public void recordFirstTry() {
        credit = Math.min(INITIAL_RETRY_CREDIT * 100, credit + traffic.retryBudget());
    }

    /** Whether the client of this first try goes away before its answer. */
    public boolean abandons() {
        return traffic.abandonShare() > 0 && random.nextDouble() < traffic.abandonShare();
    }

    /**
     * How long a client waits before its next try; null where it gives up.
     *
     * @param tries that it has made
     * @param how its last one ended; null where no answer came
     * @param pause that the answer asked for; null for none
     * @param firstAt when the first try was sent, for the window of receipts
     */
    public Duration nextDelay(
            Workload workload, int tries, FinalAnswer answer, Duration retryAfter, Duration now, Duration firstTryAt) {
        if (answer == FinalAnswer.FULFILLED
                || tries > traffic.retries()
                || !mayRetry(workload, answer, now, firstTryAt)) {
            return null;
        }
        if (traffic.retryBudget() < 1) {
            if (credit < 1) {
                return null;
            }
            credit -= 1;
        }
        double wait = traffic.initialBackoff().toNanos() * Math.pow(2, tries - 1);
        wait *= 1 - traffic.jitter() * random.nextDouble();
        if (retryAfter != null && traffic.honoursRetryAfter()) {
            wait = Math.max(wait, retryAfter.toNanos());
        }
        return Duration.ofNanos((long) wait);
    }

    /** A shed one did not run; else only what drops repeats anywhere may be asked for again. */
    private boolean mayRetry(Workload workload, FinalAnswer answer, Duration now, Duration firstTryAt) {
        return answer == FinalAnswer.SHED
                || workload.repeatSafety == Workload.RepeatSafety.PURE
                || workload.repeatSafety == Workload.RepeatSafety.RECEIPTED
                        && workload.dedupScope == Workload.DedupScope.ALL
                        && now.compareTo(firstTryAt.plus(workload.dedupWindow)) < 0;
    }
}
