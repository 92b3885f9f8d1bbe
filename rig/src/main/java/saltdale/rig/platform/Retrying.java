package saltdale.rig.platform;

import java.time.Duration;
import java.util.Set;

/** Whether and when a client tries again, as the pages have it. */
public final class Retrying {
    private static final int MOST_TRIES = 3;
    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final Set<Integer> FINAL = Set.of(400, 401, 404, 413, 431);
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private Retrying() {}

    public static boolean isPromise(int status) {
        return PROMISES.contains(status);
    }

    /**
     * How long to wait before the next try; null where none follows.
     *
     * @param status of the last try; 0 where no answer came
     * @param unread whether the front cannot have read the request
     * @param retryAfter what the answer asked for; null for nothing
     */
    public static Duration next(
            boolean idempotent, int tries, int status, boolean unread, Duration retryAfter, Duration remaining) {
        boolean may = status / 100 != 2
                && !FINAL.contains(status)
                && (idempotent || isPromise(status) || status == 0 && unread);
        if (!may || tries >= MOST_TRIES) {
            return null;
        }
        Duration wait = PAUSE.multipliedBy(tries);
        if (retryAfter != null) {
            Duration most = remaining.dividedBy(3);
            wait = retryAfter.compareTo(most) < 0 ? retryAfter : most;
        }
        return wait.compareTo(remaining) < 0 ? wait : null;
    }
}
