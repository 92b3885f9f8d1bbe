package saltdale.rig.platform;

import java.time.Duration;

/** Time and what is to happen later, real or simulated. */
public interface Clock {
    Duration now();

    void schedule(Duration delay, Runnable action);
}
