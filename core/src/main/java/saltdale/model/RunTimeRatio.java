package saltdale.model;

/**
 * The ratio of actual to expected run time of some runners, relative to a larger group that contains them. All sums are
 * halved whenever the number of runs reaches a limit, so that old runs lose weight.
 */
public final class RunTimeRatio {
    /** The larger group; null for the whole fleet. */
    public RunTimeRatio group;

    private final double halvingCount;
    private double actual;
    private double expected;
    private double count;

    public RunTimeRatio(double halvingCount, RunTimeRatio group) {
        this.halvingCount = halvingCount;
        this.group = group;
    }

    /** Adds a run with its actual and expected time, here and in all larger groups. */
    public void add(double runTime, double expectedTime, double priorWeight) {
        actual += runTime;
        expected += expectedTime * groupEstimate(priorWeight);
        if (++count >= halvingCount) {
            actual /= 2;
            expected /= 2;
            count /= 2;
        }
        if (group != null) {
            group.add(runTime, expectedTime, priorWeight);
        }
    }

    /** Discards all runs of these runners; those of the group stay. */
    public void clear() {
        actual = 0;
        expected = 0;
        count = 0;
    }

    /** The estimated ratio; the group's estimate is a prior with the weight of this many runs. */
    public double estimate(double priorWeight, double groupPriorWeight) {
        double own = expected == 0 ? 1 : (actual / expected * count + priorWeight) / (count + priorWeight);
        return own * groupEstimate(groupPriorWeight);
    }

    private double groupEstimate(double priorWeight) {
        return group == null ? 1 : group.estimate(priorWeight, priorWeight);
    }
}
