package saltdale.rig.load;

/** How evenly the dispatchers shed: whose client asks where should not matter. Not safe for more than one thread. */
public final class ShedSpread {
    private static final double MIN_TRIES = 50; // tries below which a share says nothing

    private final double[] tries;
    private final double[] offered;
    private final double[] shed;

    public ShedSpread(int dispatchers) {
        tries = new double[dispatchers];
        offered = new double[dispatchers];
        shed = new double[dispatchers];
    }

    /** This try ended so at this dispatcher. */
    public void recordTry(int dispatcher, double importance, boolean wasShed) {
        tries[dispatcher]++;
        offered[dispatcher] += importance;
        shed[dispatcher] += wasShed ? importance : 0;
    }

    /**
     * The greatest share of the importance that a dispatcher shed beside the least; 1 where nothing is shed
     * anywhere.
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
