package saltdale.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/** The log: the last notes are kept in memory, and written out when something goes wrong. */
final class LogRing {
    private static final System.Logger LOG = System.getLogger(LogRing.class.getName());
    private static final int MOST = 256;

    private static volatile boolean traced;
    private final Deque<String> notes = new ArrayDeque<>();
    private final LongSupplier millis;

    LogRing(LongSupplier millis) {
        this.millis = millis;
    }

    /** Each note is written at once, not only when something goes wrong. */
    static void traced() {
        traced = true;
    }

    synchronized void note(String what) {
        if (traced) {
            System.err.println(millis.getAsLong() + " " + what);
            return;
        }
        if (notes.size() == MOST) {
            notes.poll();
        }
        notes.add(millis.getAsLong() + " ms " + what);
    }

    /** Something went wrong: it and what led to it are written out. */
    void wrong(String what) {
        StringBuilder all = new StringBuilder(what);
        synchronized (this) {
            for (String note : notes) {
                all.append("\n  ").append(note);
            }
            notes.clear();
        }
        LOG.log(System.Logger.Level.ERROR, all::toString);
    }
}
