package saltdale.rig.load;

/** How evenly the dispatchers shed: whose client asks where should not matter. Not safe for more than one thread. */
public final class Spread {
    private static final double FEW = 50; // tries below which a share says nothing

    private final double[] tries;
    private final double[] asked;
    private final double[] shed;

    public Spread(int dispatchers) {
        tries = new double[dispatchers];
        asked = new double[dispatchers];
        shed = new double[dispatchers];
    }

    /** This try ended so at this dispatcher. */
    public void ended(int dispatcher, double importance, boolean wasShed) {
        tries[dispatcher]++;
        asked[dispatcher] += importance;
        shed[dispatcher] += wasShed ? importance : 0;
    }

    /**
     * The greatest share of the importance that a dispatcher shed beside the least; 1 where nothing is shed
     * anywhere.
     */
    public double ratio() {
        double least = Double.POSITIVE_INFINITY;
        double most = 0;
        for (int i = 0; i < asked.length; i++) {
            if (tries[i] >= FEW) {
                least = Math.min(least, shed[i] / asked[i]);
                most = Math.max(most, shed[i] / asked[i]);
            }
        }
        return most == 0 ? 1 : most / Math.max(least, 1e-3);
    }
}
