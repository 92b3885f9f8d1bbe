package saltdale.proxy;

import java.util.List;

/** Injects random faults into the control nodes of a simulated world, drawn from the world's random generator. */
final class SimFaultInjector {
    private final SimWorld world;
    private final List<SimMachine> nodes;
    private final int simultaneousDiskLosses;

    /**
     * Creates an injector for the control nodes of {@code world}.
     *
     * @param simultaneousDiskLosses how many disks one fault may erase at once
     */
    SimFaultInjector(SimWorld world, int simultaneousDiskLosses) {
        this.world = world;
        this.nodes = world.controlNodes;
        this.simultaneousDiskLosses = simultaneousDiskLosses;
    }

    private SimMachine randomNode() {
        return nodes.get(world.random.nextInt(nodes.size()));
    }

    private boolean allNodesAreVoters() {
        return world.newestChosen != null
                && !world.isJoint()
                && world.voters().size() == nodes.size()
                && nodes.stream().allMatch(k -> world.voters().contains(k.id()));
    }

    /** Injects one random fault into a random control node, or into all of them. */
    void injectFault() {
        SimMachine target = randomNode();
        switch (world.random.nextInt(9)) {
            case 0 -> target.kill();
            case 1 -> target.powerOff();
            case 2 -> nodes.forEach(SimMachine::powerOff);
            case 3 -> target.freeze();
            case 4 -> world.cut(target, randomNode());
            case 5 -> world.cutOneWay(target, randomNode());
            case 6 -> target.syncNanos = (1 + world.random.nextInt(200)) * 1_000_000L;
            case 7 -> target.disk = SimMachine.Disk.values()[world.random.nextInt(3)];
            default -> {
                // Erases no more disks at once than the cluster tolerates: only while all control nodes are voters, so
                // that the remaining ones still have their records on disk.
                if (allNodesAreVoters()) {
                    for (int i = 0; i < simultaneousDiskLosses; i++) {
                        nodes.get((nodes.indexOf(target) + i) % nodes.size()).wipe();
                    }
                }
            }
        }
    }

    /** Removes all faults: restores links and disks, and resumes or starts every control node. */
    void repairAll() {
        world.cutLinks.clear();
        for (SimMachine node : nodes) {
            node.repairDisk();
            node.syncNanos = 3_000_000;
            if (node.frozen) {
                node.thaw();
            }
            node.start();
        }
    }
}
