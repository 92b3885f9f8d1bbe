package saltdale.transport;

import java.util.TreeSet;

/** What is to be done at which time, on the clock of the loop. */
final class TimerQueue {
    private final TreeSet<Timer> pending = new TreeSet<>();
    private long nextSequence;

    Timer add(long at, Runnable what) {
        Timer timer = new Timer(this, at, nextSequence++, what);
        pending.add(timer);
        return timer;
    }

    void remove(Timer timer) {
        pending.remove(timer);
    }

    /** When the next one is due; Long.MAX_VALUE where none waits. */
    long nextDueNanos() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().dueNanos;
    }

    /** The next one due by now, taken out; null where none is. */
    Timer pollDue(long now) {
        return nextDueNanos() > now ? null : pending.pollFirst();
    }
}
