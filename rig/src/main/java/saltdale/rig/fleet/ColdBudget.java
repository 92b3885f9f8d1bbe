package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The work that has reached a cold runner in the last window, against what it can bear. */
public final class ColdBudget {
    private record Sent(long at, double work, boolean told) {
    }

    private final double multiple;
    private final long window;
    private final Deque<Sent> sent = new ArrayDeque<>();
    private double sum;
    private double byTold;

    public ColdBudget(double multiple, Duration window) {
        this.multiple = multiple;
        this.window = window.toNanos();
    }

    boolean over(long now, double work, double capacity) {
        return over(now, work, capacity, true);
    }

    /**
     * Notes work that reaches it, and tells whether that is more than multiple x capacity x window.
     *
     * @param capacity at present, in seconds of work a second
     * @param told whether the sender had been told of the start
     */
    public boolean over(long now, double work, double capacity, boolean told) {
        sent.addLast(new Sent(now, work, told));
        sum += work;
        byTold += told ? work : 0;
        while (sent.peekFirst().at <= now - window) {
            Sent old = sent.removeFirst();
            sum -= old.work;
            byTold -= old.told ? old.work : 0;
        }
        return sum > multiple * capacity * (window / 1e9);
    }

    /** The share of the last window's work that came from senders told of the start. */
    public double toldShare() {
        return sum == 0 ? 0 : byTold / sum;
    }

    void clear() {
        sent.clear();
        sum = 0;
        byTold = 0;
    }
}
