package saltdale.transport;

import java.util.TreeSet;

/** The pending timers of an event loop, ordered by due time on the clock of the loop. */
final class TimerQueue {
    private final TreeSet<Timer> pending = new TreeSet<>();
    private long nextSequence;

    Timer add(long dueNanos, Runnable task) {
        Timer timer = new Timer(this, dueNanos, nextSequence++, task);
        pending.add(timer);
        return timer;
    }

    void remove(Timer timer) {
        pending.remove(timer);
    }

    /** Returns when the next timer is due, or Long.MAX_VALUE if none is pending. */
    long nextDueNanos() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().dueNanos;
    }

    /** Removes and returns the first timer that is due by {@code nowNanos}, or returns null if there is none. */
    Timer pollDue(long nowNanos) {
        return nextDueNanos() > nowNanos ? null : pending.pollFirst();
    }
}
