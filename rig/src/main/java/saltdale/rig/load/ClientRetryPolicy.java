package saltdale.rig.load;

import java.time.Duration;
import java.util.SplittableRandom;
import saltdale.model.Workload;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.plan.Traffic;

/** Whether and when clients retry: exponential backoff with jitter and a retry budget over all clients. */
public final class ClientRetryPolicy {
    private static final double INITIAL_RETRY_CREDIT = 10; // allows retries while there are few first tries

    private final Traffic traffic;
    private final SplittableRandom random;
    private double credit = INITIAL_RETRY_CREDIT;

    public ClientRetryPolicy(Traffic traffic, SplittableRandom random) {
        this.traffic = traffic;
        this.random = random;
    }

    /** Records that a first try was sent, which adds its share of a retry to the budget. */
    public void recordFirstTry() {
        credit = Math.min(INITIAL_RETRY_CREDIT * 100, credit + traffic.retryBudget());
    }

    /** Draws whether the client of this first try disconnects before its response. */
    public boolean abandons() {
        return traffic.abandonShare() > 0 && random.nextDouble() < traffic.abandonShare();
    }

    /**
     * The delay before the next try of a client; null if it gives up.
     *
     * @param tries number of tries so far
     * @param answer the response to the last try; null if there was none
     * @param retryAfter the delay that the response asked for; null for none
     * @param firstTryAt when the first try was sent; limits retries to the deduplication window
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

    /** A shed request did not run; otherwise only requests that are safe to repeat at any runner may be retried. */
    private boolean mayRetry(Workload workload, FinalAnswer answer, Duration now, Duration firstTryAt) {
        return answer == FinalAnswer.SHED
                || workload.repeatSafety == Workload.RepeatSafety.PURE
                || workload.repeatSafety == Workload.RepeatSafety.RECEIPTED
                        && workload.dedupScope == Workload.DedupScope.ALL
                        && now.compareTo(firstTryAt.plus(workload.dedupWindow)) < 0;
    }
}
