package saltdale.rig.simulate;

import java.time.Duration;
import java.util.PriorityQueue;

/**
 * What happens when, in simulated time; what is due at one moment happens in the order in which it was set.
 */
public final class EventQueue {
    private record Due(long at, long number, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Due> waiting = new PriorityQueue<>();
    private long now;
    private long next;
    private long executedCount;

    public Duration now() {
        return Duration.ofNanos(now);
    }

    /** How many things have happened. */
    public long executedCount() {
        return executedCount;
    }

    public void scheduleAt(Duration at, Runnable what) {
        waiting.add(new Due(Math.max(now, at.toNanos()), next++, what));
    }

    public void scheduleAfter(Duration span, Runnable what) {
        scheduleAt(Duration.ofNanos(now).plus(span), what);
    }

    /** Lets all happen that is due by then. */
    public void runUntil(Duration until) {
        long end = until.toNanos();
        while (!waiting.isEmpty() && waiting.peek().at <= end) {
            Due due = waiting.poll();
            now = due.at;
            executedCount++;
            due.what.run();
        }
        now = Math.max(now, end);
    }
}
