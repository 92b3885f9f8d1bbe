package saltdale.control;

/**
 * How long leases last, as parts of the heartbeat interval; all in nanoseconds. Whoever holds one stops before anybody
 * else may take its place: quorum lease, member lease, vacancy, in this order.
 */
public final class LeaseTimes {
    private LeaseTimes() {}

    /** A control node that heard of no majority for so long answers nothing, and a duty's holder does nothing. */
    static long quorumLeaseNanos(long heartbeat) {
        return heartbeat + heartbeat / 4;
    }

    /**
     * A proxy may act as a member for so long after a majority could have heard of it; control nodes count a little
     * longer.
     */
    public static long memberLeaseNanos(long heartbeat) {
        return heartbeat + heartbeat / 2;
    }

    /**
     * A control node unheard for so long has lost its duties; longer than the quorum lease, however late its last word
     * came.
     */
    static long vacancyTimeoutNanos(long heartbeat) {
        return quorumLeaseNanos(heartbeat) + heartbeat / 2;
    }
}
