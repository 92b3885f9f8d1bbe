package saltdale.rig.fleet;

/**
 * What passes a way between a dispatcher and a runner, or the list.
 *
 * @param reset what is open ends with a reset, and what comes is refused
 * @param cutThere nothing passes to the runner
 * @param cutBack nothing passes from the runner
 * @param late seconds that all takes longer
 * @param jitter so much more than that at the most, as a share
 * @param pace bytes a second, each way; 0 where there is no limit
 */
public record LinkCondition(
        boolean reset,
        boolean blockedToRunner,
        boolean blockedFromRunner,
        double delaySeconds,
        double jitterShare,
        double bytesPerSecond) {
    public static final LinkCondition CLEAR = new LinkCondition(false, false, false, 0, 0, 0);

    /** Both at once. */
    public LinkCondition combinedWith(LinkCondition other) {
        double slower = bytesPerSecond == 0
                ? other.bytesPerSecond
                : other.bytesPerSecond == 0 ? bytesPerSecond : Math.min(bytesPerSecond, other.bytesPerSecond);
        return new LinkCondition(
                reset || other.reset,
                blockedToRunner || other.blockedToRunner,
                blockedFromRunner || other.blockedFromRunner,
                delaySeconds + other.delaySeconds,
                Math.max(jitterShare, other.jitterShare),
                slower);
    }

    /** Whether new connections get no answer at all, as where a handshake is lost either way. */
    public boolean isUnresponsive() {
        return !reset && (blockedToRunner || blockedFromRunner);
    }

    public boolean isClear() {
        return equals(CLEAR);
    }
}
