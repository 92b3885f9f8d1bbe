package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Lets so many calls through in any second. */
final class Rate {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final double perSecond;
    private final Deque<Duration> taken = new ArrayDeque<>();

    Rate(double perSecond) {
        this.perSecond = perSecond;
    }

    boolean take(Duration now) {
        while (!taken.isEmpty() && now.minus(taken.peek()).compareTo(SECOND) >= 0) {
            taken.poll();
        }
        if (taken.size() + 1 > perSecond) {
            return false;
        }
        taken.add(now);
        return true;
    }
}
