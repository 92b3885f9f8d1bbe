package saltdale.rig.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Which front a new connection of a client goes to, by what the probes of readiness saw. */
public final class EntryPoint {
    private static final int MISSED_PROBES_LIMIT = 2;

    private final List<Machine> fronts;
    private final int[] consecutiveMisses;

    public EntryPoint(List<Machine> fronts) {
        this.fronts = fronts;
        consecutiveMisses = new int[fronts.size()];
        Arrays.fill(consecutiveMisses, MISSED_PROBES_LIMIT); // none is ownZoneInRotation before it has answered
    }

    public void recordProbe(Machine front, boolean ready) {
        int i = fronts.indexOf(front);
        consecutiveMisses[i] = ready ? 0 : consecutiveMisses[i] + 1;
    }

    public boolean isInRotation(Machine front) {
        return consecutiveMisses[fronts.indexOf(front)] < MISSED_PROBES_LIMIT;
    }

    /** {@code previousTries}: tries that its client has made before, which reach other fronts. */
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
            // Our reading: where a zone has but one front, previousTries tries reach those of the other zones.
            List<Machine> allInRotation =
                    new ArrayList<>(fronts.stream().filter(this::isInRotation).toList());
            candidates = allInRotation.isEmpty() ? candidates : allInRotation;
        }
        return candidates.get(Math.floorMod(hash + previousTries, candidates.size()));
    }
}
