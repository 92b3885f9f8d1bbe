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

    /** The ratio, as far as its runs outweigh so many of an earlier belief. */
    public double over(double belief, double weight, double freshness) {
        double runs = count * freshness;
        return runs == 0 ? belief : (taken / expected * runs + belief * weight) / (runs + weight);
    }
}
