package saltdale.control;

/**
 * The simultaneous losses that a deployment must tolerate with all guarantees kept: a number of control machines, of
 * zones, or of regions.
 */
public record ToleratedLosses(int machines, int zones, int regions) {
    /** The number of voters needed to tolerate the loss of {@link #machines} machines at once. */
    int requiredVoters() {
        return 2 * machines + 1;
    }

    /**
     * Whether several machines may be lost at once because they share a zone or region; in that case all control nodes
     * should vote.
     */
    boolean includesZonesOrRegions() {
        return zones > 0 || regions > 0;
    }
}
