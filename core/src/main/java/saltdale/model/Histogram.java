package saltdale.model;

import java.util.Arrays;

/** Counts in a few bins whose bounds double; halved once it has seen enough, so that old figures fade. */
public final class Histogram {
    private final double firstBound;
    private final double[] bins;
    private final double halvingCount;
    private double total;

    /** The first bin holds all below {@code first}; each further one reaches twice as far; the last is open. */
    public Histogram(double firstBound, int binCount, double halvingCount) {
        this.firstBound = firstBound;
        this.bins = new double[binCount];
        this.halvingCount = halvingCount;
    }

    /** A histogram of yes and no: two bins, for {@link #add(boolean)}. */
    public static Histogram ofBooleans(double halvingCount) {
        return new Histogram(1, 2, halvingCount);
    }

    public void add(boolean value) {
        add(value ? 1 : 0);
    }

    public void add(double value) {
        int i = 0;
        for (double bound = firstBound; i < bins.length - 1 && value >= bound; bound *= 2) {
            i++;
        }
        bins[i]++;
        total++;
        if (total >= halvingCount) {
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
    public double lastBin() {
        return bins[bins.length - 1];
    }
}
