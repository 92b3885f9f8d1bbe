package saltdale.model;

/** Counts in a few bins whose bounds double; halved once it has seen enough, so that old figures fade. */
public final class Histogram {
    private static final double ENOUGH = 256;
    private final double first;
    private final double[] bins;
    private double total;

    /** The first bin holds all below {@code first}; each further one reaches twice as far; the last is open. */
    public Histogram(double first, int size) {
        this.first = first;
        this.bins = new double[size];
    }

    public void add(double value) {
        int i = 0;
        for (double bound = first; i < bins.length - 1 && value >= bound; bound *= 2) {
            i++;
        }
        bins[i]++;
        total++;
        if (total >= ENOUGH) {
            total = 0;
            for (int j = 0; j < bins.length; j++) {
                bins[j] /= 2;
                total += bins[j];
            }
        }
    }

    public double count() {
        return total;
    }

    /** The value below which this share of the counts lies, read evenly within its bin; 0 while empty. */
    public double quantile(double share) {
        double left = share * total;
        double from = 0;
        double to = first;
        for (int i = 0; i < bins.length; i++) {
            if (bins[i] > 0 && left <= bins[i]) {
                return from + (to - from) * left / bins[i];
            }
            left -= bins[i];
            from = to;
            to *= 2;
        }
        return total == 0 ? 0 : from;
    }
}
