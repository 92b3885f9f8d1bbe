package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Lets so many calls through in any second. */
final class RateLimiter {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final double perSecond;
    private final Deque<Duration> grantedAt = new ArrayDeque<>();

    RateLimiter(double perSecond) {
        this.perSecond = perSecond;
    }

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
