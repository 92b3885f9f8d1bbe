package saltdale.rig.platform;

import java.time.Duration;
import java.util.Set;

/** The rules by which clients retry, as specified. */
public final class RetryPolicy {
    private static final int MAX_TRIES = 3;
    private static final Duration PAUSE_PER_TRY = Duration.ofMillis(50);
    private static final Set<Integer> FINAL_STATUSES = Set.of(400, 401, 404, 413, 431);
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    private RetryPolicy() {}

    /** Whether an answer with this status promises that the request was not executed. */
    public static boolean promisesNotExecuted(int status) {
        return NOT_EXECUTED_STATUSES.contains(status);
    }

    /**
     * The delay before the next try; null if the request is not retried.
     *
     * @param tries the number of tries so far
     * @param status the status of the last try; 0 if no answer came
     * @param notSent whether the front cannot have read the request
     * @param retryAfter the delay that the answer asks for; null if it asks for none
     * @param remaining the time left until the request's deadline
     */
    public static Duration delayBeforeNextTry(
            boolean idempotent, int tries, int status, boolean notSent, Duration retryAfter, Duration remaining) {
        boolean isRetryable = status / 100 != 2
                && !FINAL_STATUSES.contains(status)
                && (idempotent || promisesNotExecuted(status) || status == 0 && notSent);
        if (!isRetryable || tries >= MAX_TRIES) {
            return null;
        }
        Duration delay = PAUSE_PER_TRY.multipliedBy(tries);
        if (retryAfter != null) {
            Duration maxDelay = remaining.dividedBy(3);
            delay = retryAfter.compareTo(maxDelay) < 0 ? retryAfter : maxDelay;
        }
        return delay.compareTo(remaining) < 0 ? delay : null;
    }
}
