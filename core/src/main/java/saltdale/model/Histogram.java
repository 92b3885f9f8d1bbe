package saltdale.model;

import java.util.Arrays;

/** Counts in a few bins whose bounds double; halved once it has seen enough, so that old figures fade. */
public final class Histogram {
    private final double first;
    private final double[] bins;
    private final double enough;
    private double total;

    /** The first bin holds all below {@code first}; each further one reaches twice as far; the last is open. */
    public Histogram(double first, int size, double enough) {
        this.first = first;
        this.bins = new double[size];
        this.enough = enough;
    }

    /** A histogram of yes and no: two bins, for {@link #add(boolean)}. */
    public static Histogram ofOdds(double enough) {
        return new Histogram(1, 2, enough);
    }

    public void add(boolean yes) {
        add(yes ? 1 : 0);
    }

    public void add(double value) {
        int i = 0;
        for (double bound = first; i < bins.length - 1 && value >= bound; bound *= 2) {
            i++;
        }
        bins[i]++;
        total++;
        if (total >= enough) {
            total = 0;
            for (int j = 0; j < bins.length; j++) {
                bins[j] /= 2;
                total += bins[j];
            }
        }
    }

    public void clear() {
        Arrays.fill(bins, 0);
        total = 0;
    }

    public double count() {
        return total;
    }

    /** The count of the last bin: the yes of a histogram of odds. */
    public double last() {
        return bins[bins.length - 1];
    }
}
