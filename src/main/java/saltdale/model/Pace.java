package saltdale.model;

/** How long work has taken beside what was expected of it; halved once it holds enough, so that old runs fade. */
public final class Pace {
    private final double enough;
    private double taken;
    private double expected;
    private double count;

    public Pace(double enough) {
        this.enough = enough;
    }

    public void add(double run, double usual) {
        taken += run;
        expected += usual;
        if (++count >= enough) {
            taken /= 2;
            expected /= 2;
            count /= 2;
        }
    }

    public void clear() {
        taken = 0;
        expected = 0;
        count = 0;
    }

    /** Taken over expected, among so many further runs that took what was expected. */
    public double ratio(double believed) {
        return count == 0 ? 1 : (taken / expected * count + believed) / (count + believed);
    }
}
