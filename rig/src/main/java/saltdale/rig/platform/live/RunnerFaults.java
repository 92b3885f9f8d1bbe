package saltdale.rig.platform.live;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/** The faults of runners' answers, and their shares. */
public final class RunnerFaults {
    /** The faults of an answer. */
    public enum Kind {
        /** The answer is sent correctly. */
        NONE,
        /** The connection is closed instead. */
        LOST,
        /** Bytes that are no HTTP answer are sent. */
        GARBLED,
        /** The answer ends before its stated length. */
        CUT,
        /** The answer is sent, and sent again a little later. */
        EXTRA
    }

    private final Map<Kind, Double> shares = new EnumMap<>(Kind.class);
    private final SplittableRandom random;
    private boolean enabled;

    /**
     * Creates the faults, initially disabled.
     *
     * @param shares the share of the runs that get each kind of fault
     */
    public RunnerFaults(Map<Kind, Double> shares, long seed) {
        this.shares.putAll(shares);
        random = new SplittableRandom(seed);
    }

    /** Whether no fault is configured. */
    public boolean isEmpty() {
        return shares.isEmpty();
    }

    /** Enables or disables all faults. */
    public void setEnabled(boolean enabled) {
        this.enabled = enabled;
    }

    /** Draws the fault of the next answer. */
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
