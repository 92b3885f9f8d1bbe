package saltdale.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/** A worker machine: what the list says of it, and what this dispatcher has seen. */
public final class Runner {
    public enum Mode { READY, DRAINING, GONE }

    // From the list.
    public String kind = "";
    public String zone = "";
    public double power = 1;
    public Mode mode = Mode.READY;
    public int cell;
    /** Null: long ago. */
    public Duration startedAt;

    // Seen by this dispatcher.
    public final Set<Dispatch> out = new LinkedHashSet<>();
    public final Deque<Assignment> asking = new ArrayDeque<>();
    /** The last load report; null where none has come. */
    public LoadReport report;
    public Duration reportAt;
    public boolean everSent;
    /** Recent dispatches that went well and badly, halved now and then. */
    public double good;
    public double bad;
    /** The gap of the trickle to a runner set aside; null for a runner in good standing. */
    public Duration trickle;
    public Duration trickleAt = Duration.ZERO;
    /** The smoothed logarithm of its running times over those usual for the workload. */
    public double slowness;
    public double slownessSeen;
    /** What the cold budget still allows, and when that was last reckoned. */
    public double coldTokens;
    public Duration coldAt;
}
