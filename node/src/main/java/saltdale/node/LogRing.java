package saltdale.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** The log of a process: a ring of the latest entries in memory, which is written out when an error occurs. */
final class LogRing {
    private static final System.Logger LOG = System.getLogger(LogRing.class.getName());
    private static final int MAX_ENTRIES = 256;
    private static final int MAX_ENTRY_CHARACTERS = 1000; // entries contain names and paths that clients send

    private static volatile boolean tracing;
    private final Deque<String> entries = new ArrayDeque<>();
    private final LongSupplier clockMillis;

    LogRing(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Writes each entry to standard error immediately from now on, instead of only when an error occurs. */
    static void enableTracing() {
        tracing = true;
    }

    /** Adds an entry; the oldest one is dropped if the ring is full. */
    synchronized void add(String message) {
        if (tracing) {
            System.err.println(clockMillis.getAsLong() + " " + message);
            return;
        }
        if (entries.size() == MAX_ENTRIES) {
            entries.poll();
        }
        entries.add(clockMillis.getAsLong() + " ms " + abbreviated(message));
    }

    private static String abbreviated(String message) {
        return message.length() <= MAX_ENTRY_CHARACTERS ? message : message.substring(0, MAX_ENTRY_CHARACTERS) + "...";
    }

    /** Writes an error and the entries that led to it to the system log. */
    void reportError(String message) {
        StringBuilder text = new StringBuilder(message);
        synchronized (this) {
            for (String entry : entries) {
                text.append("\n  ").append(entry);
            }
            entries.clear();
        }
        LOG.log(System.Logger.Level.ERROR, text::toString);
    }
}
