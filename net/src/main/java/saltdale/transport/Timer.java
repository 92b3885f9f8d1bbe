package saltdale.transport;

/** One thing to be done at its time; it can be taken back until then. */
public final class Timer implements Comparable<Timer> {
    private final Timers timers;
    final long at;
    private final long number;
    final Runnable what;

    Timer(Timers timers, long at, long number, Runnable what) {
        this.timers = timers;
        this.at = at;
        this.number = number;
        this.what = what;
    }

    public void cancel() {
        timers.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
        return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
}
