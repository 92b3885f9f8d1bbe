package saltdale.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import saltdale.control.Environment;

/** Which proxies are in touch, as the rules have it, by what is done to the machines and their links. */
final class ContactModel {
    static final long CONTACT = Environment.millisToNanos(4000);

    private final SimWorld world;
    private int seen;
    private int coreSeen;
    private boolean coreIsApart;
    private long coreDisturbedAt;
    private final Map<SimMachine, Integer> proxiesSeen = new HashMap<>();
    private final Map<SimMachine, Long> disturbedAt = new HashMap<>();
    private final Set<SimMachine> apart = new HashSet<>(); // proxies

    ContactModel(SimWorld world) {
        this.world = world;
    }

    /** Takes note of how the machines are; to be called after each event. Returns whether anything changed. */
    boolean observe() {
        int now = Objects.hash(stateOf(world.controlNodes), stateOf(world.proxies), world.cutLinks);
        boolean changed = now != seen;
        if (changed) {
            seen = now;
            changed();
        }
        coreDisturbedAt = coreIsApart || hasSlowDisk() ? world.now() : coreDisturbedAt;
        apart.forEach(proxy -> disturbedAt.put(proxy, world.now()));
        return changed;
    }

    /** Whether the disk of a control node is in trouble: the core is not settled then. */
    private boolean hasSlowDisk() {
        return world.controlNodes.stream()
                .anyMatch(each -> each.disk != SimMachine.Disk.WELL || each.syncNanos > SimMachine.NORMAL_SYNC_NANOS);
    }

    private void changed() {
        int core = Objects.hash(stateOf(world.controlNodes), coreCuts());
        coreDisturbedAt = core == coreSeen ? coreDisturbedAt : world.now();
        coreSeen = core;
        coreIsApart = world.controlNodes.stream().noneMatch(this::reachesMajority);
        apart.clear();
        for (SimMachine proxy : world.proxies) {
            Integer state = stateOf(List.of(proxy));
            if (!state.equals(proxiesSeen.put(proxy, state))) {
                disturbedAt.put(proxy, world.now());
            }
            boolean joined = world.controlNodes.stream()
                    .filter(this::reachesMajority)
                    .allMatch(controlNode -> joined(controlNode, proxy));
            if (!joined || !runs(proxy)) {
                apart.add(proxy);
            }
        }
    }

    private int stateOf(List<SimMachine> machines) {
        int all = 0;
        for (SimMachine one : machines) {
            all = 31 * all
                    + Objects.hash(
                            System.identityHashCode(one.process),
                            one.frozen,
                            one.wallClockOffsetNanos,
                            world.stalledHosts.contains(one.host));
        }
        return all;
    }

    private List<Boolean> coreCuts() {
        return world.controlNodes.stream()
                .flatMap(a -> world.controlNodes.stream().map(b -> world.cutLinks.contains(a.host + ">" + b.host)))
                .toList();
    }

    private boolean runs(SimMachine machine) {
        return machine.process != null && !machine.frozen && !world.stalledHosts.contains(machine.host);
    }

    private boolean joined(SimMachine a, SimMachine b) {
        return !world.cutLinks.contains(a.host + ">" + b.host) && !world.cutLinks.contains(b.host + ">" + a.host);
    }

    /** Whether this control node reaches more than half of the core, itself included, in both directions. */
    boolean reachesMajority(SimMachine controlNode) {
        return runs(controlNode)
                && world.controlNodes.stream()
                                .filter(other -> other == controlNode || runs(other) && joined(controlNode, other))
                                .count()
                        > world.controlNodes.size() / 2;
    }

    boolean isInContact(SimMachine proxy) {
        return world.now() - Math.max(coreDisturbedAt, disturbedAt.getOrDefault(proxy, 0L)) >= CONTACT;
    }
}
