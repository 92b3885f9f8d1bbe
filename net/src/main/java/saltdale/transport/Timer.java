package saltdale.transport;

/** A task scheduled on the event loop; it can be cancelled until it runs. */
public final class Timer implements Comparable<Timer> {
    private final TimerQueue timers;
    final long dueNanos;
    private final long sequence;
    final Runnable task;

    Timer(TimerQueue timers, long dueNanos, long sequence, Runnable task) {
        this.timers = timers;
        this.dueNanos = dueNanos;
        this.sequence = sequence;
        this.task = task;
    }

    /** Prevents the task from running; has no effect once it has run. */
    public void cancel() {
        timers.remove(this);
    }

    /** Orders timers by due time, and those due at the same time by the order in which they were scheduled. */
    @Override
    public int compareTo(Timer other) {
        return dueNanos != other.dueNanos
                ? Long.compare(dueNanos, other.dueNanos)
                : Long.compare(sequence, other.sequence);
    }
}
