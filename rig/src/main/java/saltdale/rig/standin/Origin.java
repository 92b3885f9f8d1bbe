package saltdale.rig.standin;

import java.time.Duration;

/** When a run began: all its threads count from the same moment. */
public final class Origin {
    private final long nanos;
    public final long unixMillis;

    public Origin() {
        nanos = System.nanoTime();
        unixMillis = System.currentTimeMillis();
    }

    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - nanos);
    }
}
