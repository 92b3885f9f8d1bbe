package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A rate limit over a sliding window of one second. */
final class RateLimiter {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final double perSecond;
    private final Deque<Duration> grantedAt = new ArrayDeque<>();

    RateLimiter(double perSecond) {
        this.perSecond = perSecond;
    }

    /** Returns whether a call is allowed, and counts it if so. */
    boolean tryAcquire(Duration now) {
        while (!grantedAt.isEmpty() && now.minus(grantedAt.peek()).compareTo(SECOND) >= 0) {
            grantedAt.poll();
        }
        if (grantedAt.size() + 1 > perSecond) {
            return false;
        }
        grantedAt.add(now);
        return true;
    }
}
