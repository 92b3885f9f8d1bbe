package saltdale.rig.platform.live;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/** How runners spoil answers, and how often. */
public final class RunnerFaults {
    /** What becomes of an answer. */
    public enum Kind {
        NONE,
        /** The connection is closed in its place. */
        LOST,
        /** Bytes come that are no answer. */
        GARBLED,
        /** It ends before its length. */
        CUT,
        /** It comes, and comes again a little later. */
        EXTRA
    }

    private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);
    private final SplittableRandom random;
    private boolean enabled;

    /** {@code shares}: of the runs, by kind. */
    public RunnerFaults(Map<Kind, Double> shares, long seed) {
        this.shares.putAll(shares);
        random = new SplittableRandom(seed);
    }

    public boolean isEmpty() {
        return shares.isEmpty();
    }

    public void setEnabled(boolean enabled) {
        this.enabled = enabled;
    }

    Kind draw() {
        double drawn = enabled ? random.nextDouble() : 1;
        for (Map.Entry<Kind, Double> each : shares.entrySet()) {
            drawn -= each.getValue();
            if (drawn < 0) {
                return each.getKey();
            }
        }
        return Kind.NONE;
    }
}
