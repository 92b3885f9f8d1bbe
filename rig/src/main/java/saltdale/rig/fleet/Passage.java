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
public record Passage(boolean reset, boolean cutThere, boolean cutBack, double late, double jitter, double pace) {
    public static final Passage FREE = new Passage(false, false, false, 0, 0, 0);

    /** Both at once. */
    public Passage and(Passage other) {
        double slower = pace == 0 ? other.pace : other.pace == 0 ? pace : Math.min(pace, other.pace);
        return new Passage(
                reset || other.reset,
                cutThere || other.cutThere,
                cutBack || other.cutBack,
                late + other.late,
                Math.max(jitter, other.jitter),
                slower);
    }

    /** Whether new connections get no answer at all, as where a handshake is lost either way. */
    public boolean isSilent() {
        return !reset && (cutThere || cutBack);
    }

    public boolean isFree() {
        return equals(FREE);
    }
}
