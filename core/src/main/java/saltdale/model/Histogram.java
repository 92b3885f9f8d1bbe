package saltdale.model;

import java.util.Arrays;

/**
 * Counts values in bins with doubling bounds. All counts are halved whenever their total reaches a limit, so that old
 * values lose weight.
 */
public final class Histogram {
    private final double firstBound;
    private final double[] bins;
    private final double halvingCount;
    private double total;

    /**
     * The first bin holds values below {@code firstBound}; each further upper bound is twice the previous one; the last
     * bin is unbounded.
     */
    public Histogram(double firstBound, int binCount, double halvingCount) {
        this.firstBound = firstBound;
        this.bins = new double[binCount];
        this.halvingCount = halvingCount;
    }

    /** A histogram of booleans with two bins, for {@link #add(boolean)}. */
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

    /** The count of all bins. */
    public double count() {
        return total;
    }

    /** The count of the last bin: of true in a histogram of booleans. */
    public double lastBin() {
        return bins[bins.length - 1];
    }
}
