package saltdale.transport;

import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The descriptors that connections may hold. When there is none left, those that can be spared are closed, by their
 * rank and the longest spared first; a part is kept for dialling, so that clients alone cannot use up all.
 */
public final class SocketBudget {
    /** What can be spared, the least missed first. */
    public enum IdleRank {
        /** Answered for the last time: the peer has yet to read it and close. */
        CLOSING,
        /** A client of which no request has been taken so far. */
        NEW_CLIENT,
        /** A client between two requests. */
        IDLE_CLIENT,
        /** To a runner, between two requests. */
        POOLED
    }

    // Of so many parts, clients are served on all but three, and turned away on all but two.
    private static final int BUDGET_PARTS = 16;
    private static final int CLIENT_PARTS = 13;
    private static final int REJECTION_PARTS = 14;
    /** Guards against closing a connection that has only just come, whose request has not been read yet. */
    static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

    private final EventLoop loop;
    private int limit;
    private int openCount;
    private final Map<IdleRank, Map<Runnable, Duration>> idleSince = new EnumMap<>(IdleRank.class);
    private Runnable releaseListener = () -> {};

    public SocketBudget(EventLoop loop, int most) {
        this.loop = loop;
        this.limit = most;
        for (IdleRank rank : IdleRank.values()) {
            idleSince.put(rank, new LinkedHashMap<>());
        }
    }

    /** The limit is another one from now on; what can be spared over it closes when the next one wants room. */
    public void setLimit(int newLimit) {
        limit = newLimit;
    }

    public int openCount() {
        return openCount;
    }

    /** A connection that can be spared from now on, by what closes it. */
    public void markIdle(IdleRank rank, Runnable close) {
        markBusy(close);
        idleSince.get(rank).put(close, loop.now());
    }

    public void markBusy(Runnable close) {
        idleSince.values().forEach(each -> each.remove(close));
    }

    /** How many connections wait only for their peers to read the last bytes. */
    public int closingCount() {
        return idleSince.get(IdleRank.CLOSING).size();
    }

    void setReleaseListener(Runnable what) {
        releaseListener = what;
    }

    boolean acquireForClient() {
        return acquire(limit * CLIENT_PARTS / BUDGET_PARTS);
    }

    /** Whether there is room for another client, if only to turn it away. */
    boolean canAcquireForRejection() {
        return openCount < limit * REJECTION_PARTS / BUDGET_PARTS || longestIdle() != null;
    }

    /** For a client that is only to be turned away. */
    boolean acquireForRejection() {
        return acquire(limit * REJECTION_PARTS / BUDGET_PARTS);
    }

    boolean acquireForConnect() {
        return acquire(limit);
    }

    private boolean acquire(int bound) {
        for (Runnable eldest = longestIdle(); openCount >= bound && eldest != null; eldest = longestIdle()) {
            markBusy(eldest);
            eldest.run();
        }
        if (openCount >= bound) {
            return false;
        }
        openCount++;
        return true;
    }

    /** What closes the connection that is missed least; null where none has been idle for a while. */
    private Runnable longestIdle() {
        for (Map<Runnable, Duration> each : idleSince.values()) {
            if (!each.isEmpty()) {
                Map.Entry<Runnable, Duration> first = each.entrySet().iterator().next();
                if (loop.now().minus(first.getValue()).compareTo(MIN_IDLE_TIME) >= 0) {
                    return first.getKey();
                }
            }
        }
        return null;
    }

    void release() {
        openCount--;
        releaseListener.run();
    }
}
