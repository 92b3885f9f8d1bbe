package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What has reached a cold runner in the last window, against what it can bear: N + 3·√N + 3 assignments of mean
 * work, N being multiple x capacity x window in such assignments. So the platform's own judge counts it. The
 * true sizes do not count: no dispatcher is told them, and one long assignment alone could break the rule.
 */
public final class ColdBudget {
    private record Sent(long at, boolean told) {}

    private final double multiple;
    private final long window;
    private final double meanWork;
    private final Deque<Sent> sent = new ArrayDeque<>();
    private int byTold;

    /** {@code meanWork}: of an assignment, in seconds of work. */
    public ColdBudget(double multiple, Duration window, double meanWork) {
        this.multiple = multiple;
        this.meanWork = meanWork;
        this.window = window.toNanos();
    }

    boolean addAndCheckExceeded(long now, double capacity) {
        return addAndCheckExceeded(now, capacity, true);
    }

    /**
     * Notes an assignment that reaches it, and tells whether that is more than it can bear.
     *
     * @param capacity at present, in seconds of work a second
     * @param told whether the sender had been told of the start
     */
    public boolean addAndCheckExceeded(long now, double capacity, boolean told) {
        sent.addLast(new Sent(now, told));
        byTold += told ? 1 : 0;
        while (sent.peekFirst().at <= now - window) {
            byTold -= sent.removeFirst().told ? 1 : 0;
        }
        double n = multiple * capacity * (window / 1e9) / meanWork;
        return sent.size() > n + 3 * Math.sqrt(n) + 3;
    }

    /** The share of the last window's assignments that came from senders told of the start. */
    public double informedShare() {
        return sent.isEmpty() ? 0 : (double) byTold / sent.size();
    }

    void clear() {
        sent.clear();
        byTold = 0;
    }
}
