package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Compares the attempts that a cold runner received within the last window with its limit: N + 3·√N + 3 attempts of
 * mean work, where N is multiple x capacity x window, in such attempts. The platform's own judge uses the same formula.
 * The actual sizes don't count, since no dispatcher knows them, and a single long job could violate the rule.
 */
public final class ColdBudget {
    private record Arrival(long atNanos, boolean informed) {}

    private final double limitMultiple;
    private final long windowNanos;
    private final double meanWorkSeconds;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private int informedCount;

    /**
     * @param meanWorkSeconds the mean work of an attempt
     */
    public ColdBudget(double limitMultiple, Duration window, double meanWorkSeconds) {
        this.limitMultiple = limitMultiple;
        this.meanWorkSeconds = meanWorkSeconds;
        this.windowNanos = window.toNanos();
    }

    boolean addAndCheckExceeded(long nowNanos, double capacity) {
        return addAndCheckExceeded(nowNanos, capacity, true);
    }

    /**
     * Counts an attempt that the runner received; true if that exceeds the limit.
     *
     * @param capacity the present capacity, in seconds of work per second
     * @param informed true if the dispatcher had received the list entry about the start of the runner
     */
    public boolean addAndCheckExceeded(long nowNanos, double capacity, boolean informed) {
        arrivals.addLast(new Arrival(nowNanos, informed));
        informedCount += informed ? 1 : 0;
        while (arrivals.peekFirst().atNanos <= nowNanos - windowNanos) {
            informedCount -= arrivals.removeFirst().informed ? 1 : 0;
        }
        double allowedMean = limitMultiple * capacity * (windowNanos / 1e9) / meanWorkSeconds;
        return arrivals.size() > allowedMean + 3 * Math.sqrt(allowedMean) + 3;
    }

    /** The share of the last window's attempts whose dispatchers were informed of the start. */
    public double informedShare() {
        return arrivals.isEmpty() ? 0 : (double) informedCount / arrivals.size();
    }

    void clear() {
        arrivals.clear();
        informedCount = 0;
    }
}
