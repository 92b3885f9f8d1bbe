package saltdale.control;

/** What a deployment may lose at once with all rules kept: so many machines that count, or zones, or regions. */
public record ToleratedLosses(int machines, int zones, int regions) {
    /** So many voters bear the machines that may be lost at once. */
    int requiredVoters() {
        return 2 * machines + 1;
    }

    /** Whether several machines may go at once because they stand in one place: then all should vote. */
    boolean includesZonesOrRegions() {
        return zones > 0 || regions > 0;
    }
}
