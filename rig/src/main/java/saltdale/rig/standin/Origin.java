package saltdale.rig.standin;

import java.time.Duration;

/** The start time of a run. All threads of the run measure time from it. */
public final class Origin {
    private final long startNanos;
    public final long unixMillis;

    public Origin() {
        startNanos = System.nanoTime();
        unixMillis = System.currentTimeMillis();
    }

    /** The time since the start of the run, by the monotonic clock. */
    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }
}
