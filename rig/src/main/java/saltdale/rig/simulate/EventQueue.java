package saltdale.rig.simulate;

import java.time.Duration;
import java.util.PriorityQueue;

/** A queue of events in simulated time; events due at the same time run in the order in which they were scheduled. */
public final class EventQueue {
    private record ScheduledEvent(long atNanos, long sequence, Runnable task) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return atNanos != other.atNanos
                    ? Long.compare(atNanos, other.atNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledEvent> pending = new PriorityQueue<>();
    private long nowNanos;
    private long nextSequence;
    private long executedCount;

    /** The current simulated time. */
    public Duration now() {
        return Duration.ofNanos(nowNanos);
    }

    /** The number of events executed so far. */
    public long executedCount() {
        return executedCount;
    }

    /** Schedules a task for this time, or for now if that is in the past. */
    public void scheduleAt(Duration at, Runnable task) {
        pending.add(new ScheduledEvent(Math.max(nowNanos, at.toNanos()), nextSequence++, task));
    }

    /** Schedules a task after a delay. */
    public void scheduleAfter(Duration delay, Runnable task) {
        scheduleAt(Duration.ofNanos(nowNanos).plus(delay), task);
    }

    /** Runs all events due up to this time, and advances the time to it. */
    public void runUntil(Duration until) {
        long untilNanos = until.toNanos();
        while (!pending.isEmpty() && pending.peek().atNanos <= untilNanos) {
            ScheduledEvent event = pending.poll();
            nowNanos = event.atNanos;
            executedCount++;
            event.task.run();
        }
        nowNanos = Math.max(nowNanos, untilNanos);
    }
}
