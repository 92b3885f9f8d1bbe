package saltdale.rig.fleet;

/**
 * The condition of a link between a dispatcher and a runner or the runner list.
 *
 * @param reset open connections are reset, and new ones are refused
 * @param blockedToRunner nothing passes to the runner
 * @param blockedFromRunner nothing passes from the runner
 * @param delaySeconds the additional delay in each direction
 * @param jitterShare the maximum jitter, as a share of that delay
 * @param bytesPerSecond the rate limit in each direction; 0 for none
 */
public record LinkCondition(
        boolean reset,
        boolean blockedToRunner,
        boolean blockedFromRunner,
        double delaySeconds,
        double jitterShare,
        double bytesPerSecond) {
    /** No disturbance. */
    public static final LinkCondition CLEAR = new LinkCondition(false, false, false, 0, 0, 0);

    /** The condition under the disturbances of both. */
    public LinkCondition combinedWith(LinkCondition other) {
        double bytesPerSecondLimit = bytesPerSecond == 0
                ? other.bytesPerSecond
                : other.bytesPerSecond == 0 ? bytesPerSecond : Math.min(bytesPerSecond, other.bytesPerSecond);
        return new LinkCondition(
                reset || other.reset,
                blockedToRunner || other.blockedToRunner,
                blockedFromRunner || other.blockedFromRunner,
                delaySeconds + other.delaySeconds,
                Math.max(jitterShare, other.jitterShare),
                bytesPerSecondLimit);
    }

    /** True if new connections get no response at all, since the handshake is lost in either direction. */
    public boolean isUnresponsive() {
        return !reset && (blockedToRunner || blockedFromRunner);
    }

    /** True without any disturbance. */
    public boolean isClear() {
        return equals(CLEAR);
    }
}
