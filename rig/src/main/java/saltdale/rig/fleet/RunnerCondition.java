package saltdale.rig.fleet;

/**
 * What disturbs a runner at a time, all troubles taken together.
 *
 * @param slower so many times slower
 * @param stalled does nothing
 * @param errors share of jobs that fail quickly
 * @param lateSheds share of jobs that run and are told as turned away
 * @param dearShare share of jobs that cost {@code dearer} times the work
 * @param coresTaken share of the cores that another program has
 * @param reportLate seconds by which reports are older
 * @param reportTimes the load is told so many times
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
    public static final RunnerCondition NORMAL = new RunnerCondition(1, false, 0, 0, 0, 1, 0, 0, 1);

    /** Both at once. */
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
