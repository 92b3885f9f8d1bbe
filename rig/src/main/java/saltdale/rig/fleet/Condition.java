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
public record Condition(
        double slower,
        boolean stalled,
        double errors,
        double lateSheds,
        double dearShare,
        double dearer,
        double coresTaken,
        double reportLate,
        double reportTimes) {
    public static final Condition GOOD = new Condition(1, false, 0, 0, 0, 1, 0, 0, 1);

    /** Both at once. */
    public Condition and(Condition other) {
        return new Condition(
                slower * other.slower,
                stalled || other.stalled,
                1 - (1 - errors) * (1 - other.errors),
                Math.max(lateSheds, other.lateSheds),
                Math.max(dearShare, other.dearShare),
                Math.max(dearer, other.dearer),
                1 - (1 - coresTaken) * (1 - other.coresTaken),
                reportLate + other.reportLate,
                reportTimes * other.reportTimes);
    }
}
