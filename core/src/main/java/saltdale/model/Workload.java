package saltdale.model;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** One kind of work, as the standing orders describe it. */
public final class Workload {
    /** What a repeat of an assignment does. */
    public enum RepeatSafety {
        PURE,
        RECEIPTED,
        EFFECTFUL
    }

    /** The runners that recognise a receipt another of them has seen. */
    public enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    public String name = "";
    public Duration targetLatency = Duration.ZERO;
    public Duration clientTimeout = Duration.ZERO;
    /** The promised time grows by this many times the assignment's own running time. */
    public double latencyStretch;

    public double importance = 1;
    /** The part of the importance that an answer after the promised time still earns. */
    public double lateImportance;

    public RepeatSafety repeatSafety = RepeatSafety.PURE;
    public DedupScope dedupScope = DedupScope.ALL;
    /** How long a group remembers a receipt. */
    public Duration dedupWindow = Duration.ZERO;

    public boolean streamed;
    /** The only machine kinds and the only zones that it may run on; empty for any. */
    public final Set<String> machineTypes = new HashSet<>();

    public final Set<String> zones = new HashSet<>();

    public boolean isRestricted() {
        return !machineTypes.isEmpty() || !zones.isEmpty();
    }

    /** Whether it may run there at all: a rule at every dispatch, also while all that it names are down or full. */
    public boolean mayRunOn(Runner runner) {
        return (machineTypes.isEmpty() || machineTypes.contains(runner.machineType))
                && (zones.isEmpty() || zones.contains(runner.zone));
    }

    /** Whether the one recognises a receipt that the other has seen. */
    public boolean sharesDedupScope(Runner one, Runner other) {
        return switch (dedupScope) {
            case ALL -> true;
            case ZONE -> one.zone.equals(other.zone);
            case CELL -> one.cell == other.cell;
        };
    }
}
