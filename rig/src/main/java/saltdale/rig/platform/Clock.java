package saltdale.rig.platform;

import java.time.Duration;

/** A source of time that also schedules actions, in real or simulated time. */
public interface Clock {
    /** Returns the time since the start of the run. */
    Duration now();

    /** Runs the action once the delay has passed. */
    void schedule(Duration delay, Runnable action);
}
