package saltdale.control;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saltdale.control.message.Message;

/**
 * What a process role needs from its surroundings: clock, timers, network, disk and log. Simulated clusters have their
 * own implementation. All methods are called, and call back, on one thread.
 */
public interface Environment {
    /** The monotonic clock, in nanoseconds. */
    long now();

    /** The random number generator of this process. */
    SplittableRandom random();

    /** Runs a task after a delay; the returned {@code Runnable} cancels it. */
    Runnable schedule(long delayNanos, Runnable task);

    /** Sends a message to the process at this host, if it can be reached; there is no delivery notification. */
    void send(String host, Message message);

    /**
     * Writes these records to disk, all or none; a null value removes the record. Reports true once they would survive
     * a power failure.
     */
    void persist(Map<String, byte[]> records, Consumer<Boolean> onComplete);

    /**
     * Runs a task whose failure must not affect what comes after it: what it throws is logged and counted as a
     * violation of {@link Invariant#TASK_COMPLETED}. Errors that end the process, such as {@link OutOfMemoryError}, are
     * thrown on.
     */
    void runGuarded(Runnable task);

    /** Writes a message to the log that is read after a failure. */
    void log(String message);

    /** The counters of this process. */
    Counters counters();

    /** Reports the violation of an invariant, with the details that led to it; tests fail on it. */
    void reportViolation(Invariant invariant, String detail);

    /**
     * A read or a change that was queued at {@code queuedAt} is answered from this state, which must not be older than
     * any that was known to be chosen anywhere at that time. Only a simulation, which sees all nodes, can check that.
     */
    default void onAnsweredFrom(ReplicatedState state, long queuedAt) {}

    /** Counts and reports a violation unless {@code holds}. */
    default void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds) {
            counters().countViolation(invariant);
            reportViolation(invariant, detail.get());
        }
    }

    /** Describes an unexpected failure with the innermost places that it passed through, for a violation's detail. */
    static String describe(Throwable cause) {
        return cause + " " + Arrays.stream(cause.getStackTrace()).limit(6).toList();
    }

    /** Converts milliseconds to nanoseconds. */
    static long millisToNanos(long millis) {
        return millis * 1_000_000;
    }
}
