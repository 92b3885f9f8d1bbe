package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.Demand;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Member;
import saltdale.control.message.InstanceMessage.DemandReport;
import saltdale.control.message.SlotMessage.HeldSlot;
import saltdale.control.message.SlotMessage.SlotGrant;
import saltdale.control.message.SlotMessage.SlotQueued;
import saltdale.control.message.SlotMessage.SlotRedirect;
import saltdale.control.message.SlotMessage.SlotRefusal;
import saltdale.control.message.SlotMessage.SlotReturn;
import saltdale.probing.ProbeLoop;

/**
 * The services that this proxy owns in its zone; it grants the slots of their instances to all proxies. Ownership is
 * derived from the list of members: after a change, the previous owner reports its grants to the new one, and the new
 * owner waits for that report before it grants.
 */
final class OwnedServices {
    /** A slot in use whose instance may not be known here yet. */
    private record PendingGrant(String instanceId, String incarnation, long expiresAt) {}

    private final Environment environment;
    private final ClusterView cluster;
    private final long heartbeatNanos;
    private final ProbeLoop probes = new ProbeLoop();
    private final Map<String, SlotAllocator> allocators = new HashMap<>(); // by service
    private final Map<String, Instance> instances = new LinkedHashMap<>(); // all that were reported to us, by ID
    private final Map<String, PendingGrant> pendingGrants = new LinkedHashMap<>(); // by slot key
    private final Map<String, Long> recentlyReleasedUntil = new HashMap<>(); // by slot key: when to forget the release
    private final BootingInstances bootingInstances;
    private SlotReplyHandler localReplyHandler;
    private boolean lastReportHadDemand;

    OwnedServices(Environment environment, ClusterView cluster, Transport transport, long heartbeatNanos) {
        this.environment = environment;
        this.cluster = cluster;
        this.heartbeatNanos = heartbeatNanos;
        bootingInstances = new BootingInstances(environment, cluster, transport, allocators, heartbeatNanos);
    }

    /** Sets the receiver of replies to this proxy's own claims; called once. */
    void setLocalReplyHandler(SlotReplyHandler handler) {
        localReplyHandler = handler;
    }

    /** Clears the known instances: a new session with a control node starts, which reports all of them again. */
    void forgetInstances() {
        instances.clear();
    }

    /** Gives up all ownership, since our lease has expired. */
    void forgetOwnership() {
        allocators.clear();
    }

    // Instances.

    /** Applies the new state of an instance. */
    void updateInstance(Instance instance) {
        instances.put(instance.id(), instance);
        if (isOwner(instance.service())) {
            SlotAllocator allocator = allocator(instance.service());
            allocator.updateInstance(instance, environment.now());
            applyPendingGrants(allocator);
            bootingInstances.startTests(allocator);
        }
        if (instance.phase() == Instance.Phase.GONE) {
            instances.remove(instance.id());
        }
    }

    /** The result of a connection test of a booting instance. */
    void connectionTested(String instanceId, boolean accepted) {
        bootingInstances.connectionTested(instanceId, accepted);
    }

    // Ownership.

    private boolean isOwner(String service) {
        return cluster.isOwner(service, cluster.zone())
                || instances.values().stream()
                        .anyMatch(instance ->
                                instance.service().equals(service) && cluster.isOwner(service, instance.zone()));
    }

    private SlotAllocator allocator(String service) {
        SlotAllocator existing = allocators.get(service);
        return existing == null ? createAllocator(service) : existing;
    }

    private SlotAllocator createAllocator(String service) {
        long now = environment.now();
        List<Instance> ofService = instances.values().stream()
                .filter(instance -> instance.service().equals(service))
                .toList();
        // Leaves time for the previous owner to report the slots in use. The instances may become known here only
        // after the change of members.
        long grantsFrom = Math.max(
                cluster.membersChangedAt() + heartbeatNanos / 8, now + (ofService.isEmpty() ? 0 : heartbeatNanos / 8));
        SlotAllocator allocator = new SlotAllocator(
                service,
                cluster.zone(),
                probes,
                environment.random(),
                instance -> cluster.isOwner(service, instance.zone()),
                new ClaimReplies(),
                grantsFrom);
        allocators.put(service, allocator);
        ofService.forEach(instance -> allocator.updateInstance(instance, now));
        applyPendingGrants(allocator);
        environment.schedule(Math.max(0, grantsFrom - now), () -> allocator.expire(environment.now()));
        return allocator;
    }

    /** Hands services and instances that this proxy no longer owns over to their new owners, with the slots in use. */
    void membersChanged() {
        long now = environment.now();
        for (SlotAllocator allocator : List.copyOf(allocators.values())) {
            List<HeldSlot> heldSlots = allocator.membersChanged(now, heartbeatNanos / 8);
            boolean lost = !isOwner(allocator.service());
            if (lost) {
                heldSlots = allocator.heldSlots(now);
                allocators.remove(allocator.service());
            }
            handOver(heldSlots);
            if (lost) {
                instances.values().removeIf(instance -> instance.service().equals(allocator.service()));
            }
        }
    }

    private void handOver(List<HeldSlot> heldSlots) {
        HeldSlotsByHost byHost = new HeldSlotsByHost();
        for (HeldSlot slot : heldSlots) {
            Instance instance = instances.get(slot.instance());
            Member newOwner = cluster.owner(slot.service(), instance == null ? cluster.zone() : instance.zone());
            if (newOwner != null) {
                byHost.add(newOwner.host(), slot);
            }
        }
        byHost.send(environment);
    }

    /** Lets the grants of former members expire soon. */
    void membersGone(Collection<Member> members) {
        long expiresAt = environment.now() + heartbeatNanos / 3;
        members.forEach(member ->
                allocators.values().forEach(allocator -> allocator.memberGone(member.incarnation(), expiresAt)));
    }

    // Slots.

    /** Handles a claim of this proxy or another one. */
    void handleClaim(SlotClaim claim, String service, boolean countsAsDemand) {
        if (!isOwner(service) || !cluster.hasLease() || cluster.configuration() == null) {
            if (claim.host == null) {
                localReplyHandler.notOwner(claim.number);
            }
            return; // without a reply another proxy asks elsewhere
        }
        SlotAllocator allocator = allocator(service);
        allocator.handleClaim(
                claim, countsAsDemand, cluster.configuration().services().get(service), environment.now());
        if (allocator.queueLength() > 0 && !allocator.hasInstances()) {
            reportDemand();
        }
    }

    /** Withdraws a claim or returns the slot granted for it. */
    void cancel(String service, String key) {
        SlotAllocator allocator = allocators.get(service);
        if (allocator != null) {
            allocator.cancel(key, environment.now());
        }
    }

    /** Returns a slot that this proxy held to its owner, which may be this proxy. */
    void returnSlot(
            Member owner, String service, String key, String instanceId, Attempt.Outcome outcome, long ranNanos) {
        if (cluster.isSelf(owner)) {
            slotReturned(service, key, instanceId, outcome, ranNanos);
        } else {
            environment.send(
                    owner.host(), new SlotReturn(service, key, instanceId, outcome.ordinal(), ranNanos / 1000));
        }
    }

    /** Frees a slot that was granted by this owner or by the previous one. */
    void slotReturned(String service, String key, String instanceId, Attempt.Outcome outcome, long ranNanos) {
        pendingGrants.remove(key);
        recentlyReleasedUntil.put(key, environment.now() + heartbeatNanos);
        SlotAllocator allocator = allocators.get(service);
        if (allocator == null) {
            return;
        }
        allocator.release(key, instanceId, outcome, ranNanos, environment.now());
        if (outcome == Attempt.Outcome.ABANDONED) {
            environment.schedule(
                    SlotAllocator.CONNECTION_CLOSE_GRACE_NANOS + 1, () -> allocator.expire(environment.now()));
        }
    }

    /**
     * Takes over slots in use, reported by the previous owner or by their holders. Slots returned in the meantime are
     * skipped.
     */
    void slotsHeld(List<HeldSlot> slots) {
        for (HeldSlot slot : slots) {
            if (recentlyReleasedUntil.containsKey(slot.key())) {
                continue;
            }
            PendingGrant grant = new PendingGrant(
                    slot.instance(), slot.incarnation(), environment.now() + slot.remainingMillis() * 1_000_000);
            if (!isOwner(slot.service()) || !applyGrant(allocator(slot.service()), slot.key(), grant)) {
                pendingGrants.put(slot.key(), grant);
            }
        }
    }

    /** Whether the grant could be applied: its instance is known. */
    private boolean applyGrant(SlotAllocator allocator, String key, PendingGrant grant) {
        if (allocator.slots(grant.instanceId) == null) {
            return false;
        }
        allocator.restoreGrant(key, grant.incarnation, grant.instanceId, grant.expiresAt, environment.now());
        return true;
    }

    private void applyPendingGrants(SlotAllocator allocator) {
        pendingGrants.entrySet().removeIf(entry -> applyGrant(allocator, entry.getKey(), entry.getValue()));
    }

    // Periodic work.

    /** Expires what is overdue, confirms queued claims and reports the demand; called periodically. */
    void tick() {
        long now = environment.now();
        // A service whose slots cannot be managed must not affect the others.
        for (SlotAllocator allocator : allocators.values()) {
            environment.runGuarded(() -> {
                allocator.expire(now);
                bootingInstances.startTests(allocator);
            });
        }
        allocators.values().removeIf(SlotAllocator::isIdle);
        pendingGrants.values().removeIf(grant -> grant.expiresAt <= now);
        recentlyReleasedUntil.values().removeIf(until -> until <= now);
        for (SlotAllocator allocator : allocators.values()) {
            environment.runGuarded(() -> allocator.repeatQueued(now, heartbeatNanos / 3));
        }
        reportDemand();
    }

    /** Reports the demand to the control node; the first report without any demand is sent too. */
    private void reportDemand() {
        List<Demand> demands = new ArrayList<>();
        for (SlotAllocator allocator : allocators.values()) {
            Demand demand = allocator.demand(environment.now());
            if (demand != null) {
                demands.add(demand);
            }
        }
        String controlNode = cluster.session().controlNode();
        if ((lastReportHadDemand || !demands.isEmpty()) && controlNode != null) {
            environment.send(controlNode, new DemandReport(cluster.incarnation(), demands, false));
        }
        lastReportHadDemand = !demands.isEmpty();
    }

    /** Delivers replies to claims: by message to another proxy, in a later event to this proxy. */
    private final class ClaimReplies implements SlotAllocator.Callbacks {
        @Override
        public void granted(SlotClaim claim, Instance instance) {
            if (claim.host == null) {
                later(handler -> handler.granted(claim.number, instance));
            } else {
                environment.send(claim.host, new SlotGrant(claim.number, instance));
            }
        }

        @Override
        public boolean mayGrant() {
            return cluster.hasLease();
        }

        @Override
        public void queued(SlotClaim claim) {
            if (claim.host == null) {
                localReplyHandler.queued(claim.number);
            } else {
                environment.send(claim.host, new SlotQueued(claim.number));
            }
        }

        @Override
        public void redirected(SlotClaim claim, String zone) {
            if (claim.host == null) {
                later(handler -> handler.redirected(claim.number, zone));
            } else {
                environment.send(claim.host, new SlotRedirect(claim.number, zone));
            }
        }

        @Override
        public void rejected(SlotClaim claim, long retryAfterMillis) {
            if (claim.host == null) {
                later(handler -> handler.rejected(claim.number, retryAfterMillis));
            } else {
                environment.send(claim.host, new SlotRefusal(claim.number, retryAfterMillis));
            }
        }

        private void later(Consumer<SlotReplyHandler> reply) {
            environment.schedule(0, () -> reply.accept(localReplyHandler));
        }
    }
}
