package saltdale.model;

/**
 * How long work takes some runners beside what is expected of the larger group that they stand in; halved once it
 * holds enough, so that old runs fade.
 */
public final class RunTimeRatio {
    /** The group it is measured within; null for all. */
    public RunTimeRatio group;

    private final double halvingCount;
    private double actual;
    private double expected;
    private double count;

    public RunTimeRatio(double halvingCount, RunTimeRatio group) {
        this.halvingCount = halvingCount;
        this.group = group;
    }

    /** Notes a run of work of this size, here and in the groups around. */
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

    public void clear() {
        actual = 0;
        expected = 0;
        count = 0;
    }

    /** Time taken for each unit of size, where so many runs at the group's pace are believed beside its own. */
    public double estimate(double priorWeight, double groupPriorWeight) {
        double own = expected == 0 ? 1 : (actual / expected * count + priorWeight) / (count + priorWeight);
        return own * groupEstimate(groupPriorWeight);
    }

    private double groupEstimate(double priorWeight) {
        return group == null ? 1 : group.estimate(priorWeight, priorWeight);
    }
}
