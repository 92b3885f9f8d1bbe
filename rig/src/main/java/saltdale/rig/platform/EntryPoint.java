package saltdale.rig.platform;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Which front a new connection of a client goes to, by what the probes of readiness saw. */
public final class EntryPoint {
    private static final int MISSES = 2;

    private final List<Machine> fronts;
    private final int[] missed;

    public EntryPoint(List<Machine> fronts) {
        this.fronts = fronts;
        missed = new int[fronts.size()];
        Arrays.fill(missed, MISSES); // none is in before it has answered
    }

    public void probed(Machine front, boolean ready) {
        int i = fronts.indexOf(front);
        missed[i] = ready ? 0 : missed[i] + 1;
    }

    public boolean isIn(Machine front) {
        return missed[fronts.indexOf(front)] < MISSES;
    }

    /** {@code further}: tries that its client has made before, which reach other fronts. */
    public Machine choose(String zone, int hash, int further) {
        List<Machine> own =
                fronts.stream().filter(front -> front.zone().equals(zone)).toList();
        List<Machine> in = own.stream().filter(this::isIn).toList();
        List<Machine> from =
                in.isEmpty() ? fronts.stream().filter(this::isIn).toList() : 2 * in.size() < own.size() ? own : in;
        if (from.isEmpty()) {
            from = fronts;
        } else if (further > 0 && from.size() == 1) {
            // Our reading: where a zone has but one front, further tries reach those of the other zones.
            List<Machine> others =
                    new ArrayList<>(fronts.stream().filter(this::isIn).toList());
            from = others.isEmpty() ? from : others;
        }
        return from.get(Math.floorMod(hash + further, from.size()));
    }
}
