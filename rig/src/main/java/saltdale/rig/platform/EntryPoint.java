package saltdale.rig.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Chooses the front that a new client connection goes to, by the results of the readiness probes. */
public final class EntryPoint {
    private static final int MISSED_PROBES_LIMIT = 2;

    private final List<Machine> fronts;
    private final int[] consecutiveMisses;

    public EntryPoint(List<Machine> fronts) {
        this.fronts = fronts;
        consecutiveMisses = new int[fronts.size()];
        // A front is out of rotation until its first successful probe.
        Arrays.fill(consecutiveMisses, MISSED_PROBES_LIMIT);
    }

    /** Records the result of a readiness probe; two failures in a row take the front out of rotation. */
    public void recordProbe(Machine front, boolean ready) {
        int i = fronts.indexOf(front);
        consecutiveMisses[i] = ready ? 0 : consecutiveMisses[i] + 1;
    }

    public boolean isInRotation(Machine front) {
        return consecutiveMisses[fronts.indexOf(front)] < MISSED_PROBES_LIMIT;
    }

    /**
     * Chooses the front for a new connection.
     *
     * @param hash identifies the client, whose connections go to the same front while the rotation stays the same
     * @param previousTries the number of earlier tries of the request, so that each further try reaches another front
     */
    public Machine choose(String zone, int hash, int previousTries) {
        List<Machine> ownZone =
                fronts.stream().filter(front -> front.zone().equals(zone)).toList();
        List<Machine> ownZoneInRotation =
                ownZone.stream().filter(this::isInRotation).toList();
        List<Machine> candidates = ownZoneInRotation.isEmpty()
                ? fronts.stream().filter(this::isInRotation).toList()
                : 2 * ownZoneInRotation.size() < ownZone.size() ? ownZone : ownZoneInRotation;
        if (candidates.isEmpty()) {
            candidates = fronts;
        } else if (previousTries > 0 && candidates.size() == 1) {
            // An interpretation of the specification: where a zone has only one front, further tries reach the fronts
            // of the other zones.
            List<Machine> allInRotation =
                    new ArrayList<>(fronts.stream().filter(this::isInRotation).toList());
            candidates = allInRotation.isEmpty() ? candidates : allInRotation;
        }
        return candidates.get(Math.floorMod(hash + previousTries, candidates.size()));
    }
}
