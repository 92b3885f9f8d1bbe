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

    SplittableRandom chance();

    /** Does this after so many nanoseconds; what is returned takes it back. */
    Runnable after(long nanos, Runnable what);

    /** Sends to the process at this host, if it can be reached; nothing tells whether it came. */
    void send(String host, Message message);

    /** Puts these records on disk, all or none (null removes); tells true once they outlast a loss of power. */
    void persist(Map<String, byte[]> records, Consumer<Boolean> done);

    /** Notes what is worth reading after something went wrong. */
    void note(String what);

    /** What this process counts. */
    Counters counters();

    /** An invariant does not hold: it is written out, with what led to it; tests fail by it. */
    void violated(Invariant invariant, String detail);

    /** Counts and reports a violation unless this holds. */
    default void check(Invariant invariant, boolean holds, Supplier<String> detail) {
        if (!holds) {
            counters().violated(invariant);
            violated(invariant, detail.get());
        }
    }

    static long millis(long ms) {
        return ms * 1_000_000;
    }
}
