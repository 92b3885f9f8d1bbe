package saltdale.rig.load;

/**
 * How evenly the dispatchers shed load: the dispatcher that a client uses should not matter. Not thread-safe.
 */
public final class ShedSpread {
    private static final double MIN_TRIES = 50; // with fewer tries a share is not significant

    private final double[] tries;
    private final double[] offered;
    private final double[] shed;

    public ShedSpread(int dispatchers) {
        tries = new double[dispatchers];
        offered = new double[dispatchers];
        shed = new double[dispatchers];
    }

    /** Records the end of a try at a dispatcher. */
    public void recordTry(int dispatcher, double importance, boolean wasShed) {
        tries[dispatcher]++;
        offered[dispatcher] += importance;
        shed[dispatcher] += wasShed ? importance : 0;
    }

    /**
     * The largest share of the importance that a dispatcher shed, divided by the smallest one; 1 if nothing was shed.
     */
    public double ratio() {
        double least = Double.POSITIVE_INFINITY;
        double most = 0;
        for (int i = 0; i < offered.length; i++) {
            if (tries[i] >= MIN_TRIES) {
                least = Math.min(least, shed[i] / offered[i]);
                most = Math.max(most, shed[i] / offered[i]);
            }
        }
        return most == 0 ? 1 : most / Math.max(least, 1e-3);
    }
}
