package saltdale.model;

/**
 * How long work takes some runners beside what is expected of the larger group that they stand in; halved once it
 * holds enough, so that old runs fade.
 */
public final class Pace {
    /** The group it is measured within; null for all. */
    public Pace within;

    private final double enough;
    private double taken;
    private double expected;
    private double count;

    public Pace(double enough, Pace within) {
        this.enough = enough;
        this.within = within;
    }

    /** Notes a run of work of this size, here and in the groups around. */
    public void add(double run, double size, double believed) {
        taken += run;
        expected += size * usual(believed);
        if (++count >= enough) {
            taken /= 2;
            expected /= 2;
            count /= 2;
        }
        if (within != null) {
            within.add(run, size, believed);
        }
    }

    public void clear() {
        taken = 0;
        expected = 0;
        count = 0;
    }

    /** Time taken for each unit of size, where so many runs at the group's pace are believed beside its own. */
    public double of(double believed, double believedAround) {
        double own = expected == 0 ? 1 : (taken / expected * count + believed) / (count + believed);
        return own * usual(believedAround);
    }

    private double usual(double believed) {
        return within == null ? 1 : within.of(believed, believed);
    }
}
