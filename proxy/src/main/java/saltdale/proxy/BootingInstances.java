package saltdale.proxy;

import java.util.Map;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.message.InstanceMessage.InstanceReady;

/** Finds out when instances that are starting take connections: the platform's list says so only much later. */
final class BootingInstances {
    private static final double EARLIEST = 0.4; // of a usual start, until it may be up

    private final Environment environment;
    private final ClusterView cluster;
    private final Transport transport;
    private final Map<String, SlotAllocator> allocators;
    private final long heartbeat;

    BootingInstances(
            Environment environment,
            ClusterView cluster,
            Transport transport,
            Map<String, SlotAllocator> allocators,
            long heartbeat) {
        this.environment = environment;
        this.cluster = cluster;
        this.transport = transport;
        this.allocators = allocators;
        this.heartbeat = heartbeat;
    }

    /** Begins to try those that are not yet tried. */
    void tryAll(SlotAllocator allocator) {
        Configuration configuration = cluster.configuration();
        Configuration.Service service =
                configuration == null ? null : configuration.services().get(allocator.service());
        long earliest = service == null ? 0 : (long) (service.bootMs() * 1e6 * EARLIEST);
        for (InstanceSlots slots : allocator.booting()) {
            if (!slots.trying) {
                slots.trying = true;
                environment.schedule(earliest, () -> tryOne(allocator, slots));
            }
        }
    }

    private void tryOne(SlotAllocator allocator, InstanceSlots slots) {
        boolean still = allocators.get(allocator.service()) == allocator
                && allocator.slots(slots.instance.id()) == slots
                && isBooting(slots);
        if (still) {
            transport.tryConnection(slots.instance.id(), slots.instance.address());
        } else {
            slots.trying = false;
        }
    }

    void tried(String id, boolean takesConnections) {
        for (SlotAllocator allocator : allocators.values()) {
            InstanceSlots slots = allocator.slots(id);
            if (slots == null || !isBooting(slots)) {
                continue;
            }
            if (takesConnections) {
                ready(allocator, slots);
            } else { // each refusal is soon followed by another try
                environment.schedule(heartbeat / 24, () -> tryOne(allocator, slots));
            }
        }
    }

    private void ready(SlotAllocator allocator, InstanceSlots slots) {
        slots.trying = false;
        allocator.heard(slots.instance.at(Instance.Phase.READY), environment.now());
        String controlNode = cluster.session().controlNode();
        if (controlNode != null) {
            environment.send(controlNode, new InstanceReady(slots.instance.id()));
        }
    }

    private static boolean isBooting(InstanceSlots slots) {
        return slots.instance.phase() == Instance.Phase.BOOTING;
    }
}
