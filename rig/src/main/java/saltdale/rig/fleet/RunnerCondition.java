package saltdale.rig.fleet;

/**
 * The combined disturbances of a runner at a time.
 *
 * @param slowdownFactor how many times slower it is
 * @param stalled true if it makes no progress
 * @param errorShare the share of jobs that fail quickly
 * @param lateShedShare the share of jobs that run but are reported as rejected
 * @param costlyShare the share of jobs that cost {@code costFactor} times the work
 * @param coresTakenShare the share of the cores used by another program
 * @param reportDelaySeconds the additional age of load reports
 * @param reportedLoadFactor the reported load as a multiple of the actual load
 */
public record RunnerCondition(
        double slowdownFactor,
        boolean stalled,
        double errorShare,
        double lateShedShare,
        double costlyShare,
        double costFactor,
        double coresTakenShare,
        double reportDelaySeconds,
        double reportedLoadFactor) {
    /** No disturbance. */
    public static final RunnerCondition NORMAL = new RunnerCondition(1, false, 0, 0, 0, 1, 0, 0, 1);

    /** The condition under the disturbances of both. */
    public RunnerCondition combinedWith(RunnerCondition other) {
        return new RunnerCondition(
                slowdownFactor * other.slowdownFactor,
                stalled || other.stalled,
                1 - (1 - errorShare) * (1 - other.errorShare),
                Math.max(lateShedShare, other.lateShedShare),
                Math.max(costlyShare, other.costlyShare),
                Math.max(costFactor, other.costFactor),
                1 - (1 - coresTakenShare) * (1 - other.coresTakenShare),
                reportDelaySeconds + other.reportDelaySeconds,
                reportedLoadFactor * other.reportedLoadFactor);
    }
}
