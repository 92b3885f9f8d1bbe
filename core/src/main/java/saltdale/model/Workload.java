package saltdale.model;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** A class of requests with common service targets, as defined by the settings. */
public final class Workload {
    /** Whether a request may be executed again. */
    public enum RepeatSafety {
        /** A repeat is harmless. */
        PURE,
        /** Runners that share a deduplication scope recognise a repeat within the window. */
        RECEIPTED,
        /** A repeat has its side effects again. */
        EFFECTFUL
    }

    /** The runners that recognise a request which another of them has executed. */
    public enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    public String name = "";
    /** The latency within which a response earns the full importance. */
    public Duration targetLatency = Duration.ZERO;
    /** How long a client waits for a response. */
    public Duration clientTimeout = Duration.ZERO;
    /** The target latency grows by this multiple of the request's own run time. */
    public double latencyStretch;

    public double importance = 1;
    /** The share of the importance that a response after the target latency still earns. */
    public double lateImportance;

    public RepeatSafety repeatSafety = RepeatSafety.PURE;
    public DedupScope dedupScope = DedupScope.ALL;
    /** How long a deduplication scope remembers an executed request. */
    public Duration dedupWindow = Duration.ZERO;

    public boolean streamed;
    /** The machine types that it may run on; empty for any. */
    public final Set<String> machineTypes = new HashSet<>();

    /** The zones that it may run in; empty for any. */
    public final Set<String> zones = new HashSet<>();

    /** Whether it may run on certain runners only. */
    public boolean isRestricted() {
        return !machineTypes.isEmpty() || !zones.isEmpty();
    }

    /** Whether it may run on this runner; also binding while all permitted runners are down or full. */
    public boolean mayRunOn(Runner runner) {
        return (machineTypes.isEmpty() || machineTypes.contains(runner.machineType))
                && (zones.isEmpty() || zones.contains(runner.zone));
    }

    /** Whether one of the runners recognises a request that the other has executed. */
    public boolean sharesDedupScope(Runner one, Runner other) {
        return switch (dedupScope) {
            case ALL -> true;
            case ZONE -> one.zone.equals(other.zone);
            case CELL -> one.cell == other.cell;
        };
    }
}
