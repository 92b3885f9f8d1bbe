package saltdale.transport;

import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the number of sockets that connections may use. When the limit is reached, idle connections are closed by
 * their rank, those idle for longest first. A part of the budget is reserved for outgoing connections, so that clients
 * alone cannot exhaust it.
 */
public final class SocketBudget {
    /** The kinds of idle connections, in the order in which they are closed when sockets run out. */
    public enum IdleRank {
        /** The last response was sent; the peer has yet to read it and to close the connection. */
        CLOSING,
        /** A client connection on which no request has been accepted yet. */
        NEW_CLIENT,
        /** A client connection between two requests. */
        IDLE_CLIENT,
        /** An outgoing connection to a runner between two requests. */
        POOLED
    }

    // The limit is divided into BUDGET_PARTS. Clients are served on CLIENT_PARTS of them and rejected on those up to
    // REJECTION_PARTS; the rest is reserved for outgoing connections.
    private static final int BUDGET_PARTS = 16;
    private static final int CLIENT_PARTS = 13;
    private static final int REJECTION_PARTS = 14;
    /** Prevents closing a connection that was just accepted and whose request has not been read yet. */
    static final Duration MIN_IDLE_TIME = Duration.ofMillis(100);

    private final EventLoop loop;
    private int limit;
    private int openCount;
    private long unsentBytes;
    private long closedForNotReading;
    /** Clients that have yet to read responses, with the time since which they have read nothing; the longest first. */
    private final Map<Runnable, Duration> notReadingSince = new LinkedHashMap<>();

    private final Map<IdleRank, Map<Runnable, Duration>> idleSince = new EnumMap<>(IdleRank.class);
    private Runnable releaseListener = () -> {};

    /** Creates a budget of {@code limit} sockets. */
    public SocketBudget(EventLoop loop, int limit) {
        this.loop = loop;
        this.limit = limit;
        for (IdleRank rank : IdleRank.values()) {
            idleSince.put(rank, new LinkedHashMap<>());
        }
    }

    /** Changes the limit. Idle connections above a lower limit are closed when the next socket is requested. */
    public void setLimit(int newLimit) {
        limit = newLimit;
    }

    /** Returns the number of sockets in use. */
    public int openCount() {
        return openCount;
    }

    /** Returns how many bytes all connections together hold until their peers read them. */
    public long unsentBytes() {
        return unsentBytes;
    }

    void addUnsentBytes(long count) {
        unsentBytes += count;
    }

    /** A client has yet to read a response; {@code progressed} if it has read part of it just now. */
    void markUnread(Runnable close, boolean progressed) {
        if (progressed) {
            notReadingSince.remove(close);
        }
        notReadingSince.putIfAbsent(close, loop.now());
    }

    /** A client has read all responses, or is gone. */
    void markRead(Runnable close) {
        notReadingSince.remove(close);
    }

    /**
     * Closes the connection of the client that has read nothing of its response for longest, if that is
     * {@code minTime} at least. Returns whether there was one.
     */
    public boolean closeLongestNotReading(Duration minTime) {
        if (notReadingSince.isEmpty()) {
            return false;
        }
        Map.Entry<Runnable, Duration> first =
                notReadingSince.entrySet().iterator().next();
        if (loop.now().minus(first.getValue()).compareTo(minTime) < 0) {
            return false;
        }
        first.getKey().run();
        closedForNotReading++;
        return true;
    }

    /** Returns how many connections were closed because their clients read nothing of their responses. */
    public long closedForNotReading() {
        return closedForNotReading;
    }

    /** Marks a connection as idle from now on; {@code close} closes it and identifies it. */
    public void markIdle(IdleRank rank, Runnable close) {
        markBusy(close);
        idleSince.get(rank).put(close, loop.now());
    }

    /** Marks a connection as in use, so that it is not closed to free its socket. */
    public void markBusy(Runnable close) {
        idleSince.values().forEach(each -> each.remove(close));
    }

    /** Returns how many connections only wait for their peers to read the last bytes. */
    public int closingCount() {
        return idleSince.get(IdleRank.CLOSING).size();
    }

    /** Returns how many connections are idle and may be closed when sockets run out. */
    public int idleCount() {
        return idleSince.values().stream().mapToInt(Map::size).sum();
    }

    void setReleaseListener(Runnable listener) {
        releaseListener = listener;
    }

    boolean acquireForClient() {
        return acquire(limit * CLIENT_PARTS / BUDGET_PARTS);
    }

    /** Returns whether another client can be accepted, if only to be rejected. */
    boolean canAcquireForRejection() {
        return openCount < limit * REJECTION_PARTS / BUDGET_PARTS || longestIdle() != null;
    }

    /** Acquires a socket for a client that is only rejected. */
    boolean acquireForRejection() {
        return acquire(limit * REJECTION_PARTS / BUDGET_PARTS);
    }

    boolean acquireForConnect() {
        return acquire(limit);
    }

    private boolean acquire(int bound) {
        for (Runnable close = longestIdle(); openCount >= bound && close != null; close = longestIdle()) {
            markBusy(close);
            close.run();
        }
        if (openCount >= bound) {
            return false;
        }
        openCount++;
        return true;
    }

    /**
     * Returns the close action of the connection to close first: of the lowest rank, the one idle for longest. Returns
     * null if none has been idle for {@link #MIN_IDLE_TIME}.
     */
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
