package saltdale.proxy;

import java.util.List;

/** Troubles of control nodes, drawn from the world's chance. */
final class SimTroubles {
    private final SimWorld world;
    private final List<SimMachine> nodes;
    private final int wipes;

    /** {@code wipes}: so many disks may be lost at once. */
    SimTroubles(SimWorld world, int wipes) {
        this.world = world;
        this.nodes = world.controlNodes;
        this.wipes = wipes;
    }

    private SimMachine any() {
        return nodes.get(world.random.nextInt(nodes.size()));
    }

    private boolean allVote() {
        return world.newestChosen != null
                && !world.isJoint()
                && world.voters().size() == nodes.size()
                && nodes.stream().allMatch(k -> world.voters().contains(k.id()));
    }

    void strike() {
        SimMachine one = any();
        switch (world.random.nextInt(9)) {
            case 0 -> one.kill();
            case 1 -> one.powerOff();
            case 2 -> nodes.forEach(SimMachine::powerOff);
            case 3 -> one.freeze();
            case 4 -> world.cut(one, any());
            case 5 -> world.cutOneWay(one, any());
            case 6 -> one.syncNanos = (1 + world.random.nextInt(200)) * 1_000_000L;
            case 7 -> one.disk = SimMachine.Disk.values()[world.random.nextInt(3)];
            default -> {
                // No more disks at once than is tolerated: all others are voters that know what their disks say.
                if (allVote()) {
                    for (int i = 0; i < wipes; i++) {
                        nodes.get((nodes.indexOf(one) + i) % nodes.size()).wipe();
                    }
                }
            }
        }
    }

    void heal() {
        world.cutLinks.clear();
        for (SimMachine each : nodes) {
            each.repairDisk();
            each.syncNanos = 3_000_000;
            if (each.frozen) {
                each.thaw();
            }
            each.start();
        }
    }
}
