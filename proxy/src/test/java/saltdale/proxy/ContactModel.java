package saltdale.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import saltdale.control.Environment;

/** Derives from the simulated faults which proxies must be in contact with the control plane. */
final class ContactModel {
    /** Time without disturbance after which a proxy must be in contact. */
    static final long CONTACT_TIME_NANOS = Environment.millisToNanos(4000);

    private final SimWorld world;
    private int lastState;
    private int lastCoreState;
    private boolean coreHasNoMajority;
    private long coreDisturbedAt;
    private final Map<SimMachine, Integer> lastProxyStates = new HashMap<>();
    private final Map<SimMachine, Long> disturbedAt = new HashMap<>();
    private final Set<SimMachine> disconnectedProxies = new HashSet<>(); // proxies that reach no majority or do not run

    ContactModel(SimWorld world) {
        this.world = world;
    }

    /** Records the state of the machines; called after each event. Returns whether anything has changed. */
    boolean observe() {
        int now = Objects.hash(stateOf(world.controlNodes), stateOf(world.proxies), world.cutLinks);
        boolean changed = now != lastState;
        if (changed) {
            lastState = now;
            update();
        }
        coreDisturbedAt = coreHasNoMajority || hasSlowDisk() ? world.now() : coreDisturbedAt;
        disconnectedProxies.forEach(proxy -> disturbedAt.put(proxy, world.now()));
        return changed;
    }

    /** Whether a control node has a faulty or slow disk: that counts as a disturbance of the core. */
    private boolean hasSlowDisk() {
        return world.controlNodes.stream()
                .anyMatch(each -> each.disk != SimMachine.Disk.WELL || each.syncNanos > SimMachine.NORMAL_SYNC_NANOS);
    }

    private void update() {
        int core = Objects.hash(stateOf(world.controlNodes), coreCuts());
        coreDisturbedAt = core == lastCoreState ? coreDisturbedAt : world.now();
        lastCoreState = core;
        coreHasNoMajority = world.controlNodes.stream().noneMatch(this::reachesMajority);
        disconnectedProxies.clear();
        for (SimMachine proxy : world.proxies) {
            Integer state = stateOf(List.of(proxy));
            if (!state.equals(lastProxyStates.put(proxy, state))) {
                disturbedAt.put(proxy, world.now());
            }
            boolean connected = world.controlNodes.stream()
                    .filter(this::reachesMajority)
                    .allMatch(controlNode -> connected(controlNode, proxy));
            if (!connected || !isRunning(proxy)) {
                disconnectedProxies.add(proxy);
            }
        }
    }

    private int stateOf(List<SimMachine> machines) {
        int all = 0;
        for (SimMachine machine : machines) {
            all = 31 * all
                    + Objects.hash(
                            System.identityHashCode(machine.process),
                            machine.frozen,
                            machine.wallClockOffsetNanos,
                            world.stalledHosts.contains(machine.host));
        }
        return all;
    }

    private List<Boolean> coreCuts() {
        return world.controlNodes.stream()
                .flatMap(a -> world.controlNodes.stream().map(b -> world.cutLinks.contains(a.host + ">" + b.host)))
                .toList();
    }

    private boolean isRunning(SimMachine machine) {
        return machine.process != null && !machine.frozen && !world.stalledHosts.contains(machine.host);
    }

    private boolean connected(SimMachine a, SimMachine b) {
        return !world.cutLinks.contains(a.host + ">" + b.host) && !world.cutLinks.contains(b.host + ">" + a.host);
    }

    /** Whether this control node reaches more than half of the core, itself included, in both directions. */
    boolean reachesMajority(SimMachine controlNode) {
        return isRunning(controlNode)
                && world.controlNodes.stream()
                                .filter(other ->
                                        other == controlNode || isRunning(other) && connected(controlNode, other))
                                .count()
                        > world.controlNodes.size() / 2;
    }

    boolean isInContact(SimMachine proxy) {
        return world.now() - Math.max(coreDisturbedAt, disturbedAt.getOrDefault(proxy, 0L)) >= CONTACT_TIME_NANOS;
    }
}
