package saltdale.control;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saltdale.control.message.Message;

/**
 * What a role needs of the world; simulated clusters bring their own. All of it is called and calls back in one
 * thread.
 */
public interface Environment {
    /** The steady clock, in nanoseconds. */
    long now();

    SplittableRandom random();

    /** Does this after so many nanoseconds; what is returned takes it back. */
    Runnable schedule(long nanos, Runnable what);

    /** Sends to the process at this host, if it can be reached; nothing tells whether it came. */
    void send(String host, Message message);

    /** Puts these records on disk, all or none (null removes); tells true once they outlast a loss of power. */
    void persist(Map<String, byte[]> records, Consumer<Boolean> done);

    /** Notes what is worth reading after something went wrong. */
    void log(String what);

    /** What this process counts. */
    Counters counters();

    /** An invariant does not hold: it is written out, with what led to it; tests fail by it. */
    void reportViolation(Invariant invariant, String detail);

    /** Counts and reports a violation unless this holds. */
    default void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds) {
            counters().countViolation(invariant);
            reportViolation(invariant, detail.get());
        }
    }

    static long millisToNanos(long ms) {
        return ms * 1_000_000;
    }
}
