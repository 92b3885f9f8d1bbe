package saltdale.control;

/**
 * The durations of leases, derived from the heartbeat interval; all in nanoseconds. A holder stops before anyone else
 * may take its place: the quorum lease is the shortest, followed by the member lease and the vacancy timeout.
 */
public final class LeaseTimes {
    private LeaseTimes() {}

    /**
     * A control node that has not heard from a majority for this long answers no requests, and a duty
     * holder stops acting.
     */
    static long quorumLeaseNanos(long heartbeatNanos) {
        return heartbeatNanos + heartbeatNanos / 4;
    }

    /**
     * A proxy may act as a member for this long after the last time a majority could have heard of it; control nodes
     * wait a little longer.
     */
    public static long memberLeaseNanos(long heartbeatNanos) {
        return heartbeatNanos + heartbeatNanos / 2;
    }

    /**
     * A control node not heard for this long has lost its duties. Longer than the quorum lease, however late its last
     * message arrived.
     */
    static long vacancyTimeoutNanos(long heartbeatNanos) {
        return quorumLeaseNanos(heartbeatNanos) + heartbeatNanos / 2;
    }
}
