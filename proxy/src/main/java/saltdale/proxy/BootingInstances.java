package saltdale.proxy;

import java.util.Map;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.message.InstanceMessage.InstanceReady;

/**
 * Detects by connection tests when booting instances accept connections. The platform's instance list shows that only
 * much later.
 */
final class BootingInstances {
    /** Part of the service's usual boot time after which an instance is first tested. */
    private static final double FIRST_TEST_BOOT_FRACTION = 0.4;

    private final Environment environment;
    private final ClusterView cluster;
    private final Transport transport;
    private final Map<String, SlotAllocator> allocators; // by service
    private final long heartbeatNanos;

    BootingInstances(
            Environment environment,
            ClusterView cluster,
            Transport transport,
            Map<String, SlotAllocator> allocators,
            long heartbeatNanos) {
        this.environment = environment;
        this.cluster = cluster;
        this.transport = transport;
        this.allocators = allocators;
        this.heartbeatNanos = heartbeatNanos;
    }

    /** Starts connection tests of the booting instances that are not being tested yet. */
    void startTests(SlotAllocator allocator) {
        Configuration configuration = cluster.configuration();
        Configuration.Service service =
                configuration == null ? null : configuration.services().get(allocator.service());
        long delayNanos = service == null ? 0 : (long) (service.bootMs() * 1e6 * FIRST_TEST_BOOT_FRACTION);
        for (InstanceSlots slots : allocator.bootingInstances()) {
            if (!slots.isBeingTested) {
                slots.isBeingTested = true;
                environment.schedule(delayNanos, () -> test(allocator, slots));
            }
        }
    }

    private void test(SlotAllocator allocator, InstanceSlots slots) {
        boolean isCurrent = allocators.get(allocator.service()) == allocator
                && allocator.slots(slots.instance.id()) == slots
                && isBooting(slots);
        if (isCurrent) {
            transport.testConnection(slots.instance.id(), slots.instance.address());
        } else {
            slots.isBeingTested = false;
        }
    }

    /** The result of a connection test: the instance becomes ready, or is soon tested again. */
    void connectionTested(String instanceId, boolean accepted) {
        for (SlotAllocator allocator : allocators.values()) {
            InstanceSlots slots = allocator.slots(instanceId);
            if (slots == null || !isBooting(slots)) {
                continue;
            }
            if (accepted) {
                markReady(allocator, slots);
            } else {
                environment.schedule(heartbeatNanos / 24, () -> test(allocator, slots));
            }
        }
    }

    private void markReady(SlotAllocator allocator, InstanceSlots slots) {
        slots.isBeingTested = false;
        allocator.updateInstance(slots.instance.withPhase(Instance.Phase.READY), environment.now());
        String controlNode = cluster.session().controlNode();
        if (controlNode != null) {
            environment.send(controlNode, new InstanceReady(slots.instance.id()));
        }
    }

    private static boolean isBooting(InstanceSlots slots) {
        return slots.instance.phase() == Instance.Phase.BOOTING;
    }
}
