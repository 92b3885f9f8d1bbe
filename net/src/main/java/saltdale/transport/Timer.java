package saltdale.transport;

/** One thing to be done at its time; it can be taken back until then. */
public final class Timer implements Comparable<Timer> {
    private final TimerQueue timers;
    final long dueNanos;
    private final long sequence;
    final Runnable task;

    Timer(TimerQueue timers, long at, long number, Runnable what) {
        this.timers = timers;
        this.dueNanos = at;
        this.sequence = number;
        this.task = what;
    }

    public void cancel() {
        timers.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
        return dueNanos != other.dueNanos
                ? Long.compare(dueNanos, other.dueNanos)
                : Long.compare(sequence, other.sequence);
    }
}
