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
 * The services that this proxy owns in its zone: it grants the slots of their instances to whoever asks. Ownership
 * moves with the members: who is owner no longer says what it has granted, and who becomes owner waits for that.
 */
final class OwnedServices {
    /** A slot that is in use, of an instance that may not be known here yet. */
    private record InUse(String instance, String life, long until) {}

    private final Environment environment;
    private final ClusterView cluster;
    private final long heartbeat;
    private final ProbeLoop probes = new ProbeLoop();
    private final Map<String, SlotAllocator> allocators = new HashMap<>(); // by service
    private final Map<String, Instance> instances = new LinkedHashMap<>(); // all that we were told of
    private final Map<String, InUse> unplaced = new LinkedHashMap<>(); // by key: of instances not known here yet
    private final Map<String, Long> returnedUntil = new HashMap<>(); // by key: slots returned of late
    private final BootingInstances booting;
    private SlotAnswers ownAnswers;
    private boolean reportedDemand; // some, when it was last reported

    OwnedServices(Environment environment, ClusterView cluster, Transport transport, long heartbeat) {
        this.environment = environment;
        this.cluster = cluster;
        this.heartbeat = heartbeat;
        booting = new BootingInstances(environment, cluster, transport, allocators, heartbeat);
    }

    /** Who takes what this proxy, as owner, answers to itself; set once. */
    void ownAnswers(SlotAnswers answers) {
        ownAnswers = answers;
    }

    /** A new session with a control node begins: all instances are told again. */
    void forgetInstances() {
        instances.clear();
    }

    /** Our lease is over, and with it all ownership. */
    void forgetAll() {
        allocators.clear();
    }

    // Instances.

    void heard(Instance instance) {
        instances.put(instance.id(), instance);
        if (isOwner(instance.service())) {
            SlotAllocator allocator = allocator(instance.service());
            allocator.heard(instance, environment.now());
            placeInUse(allocator);
            booting.tryAll(allocator);
        }
        if (instance.phase() == Instance.Phase.GONE) {
            instances.remove(instance.id());
        }
    }

    /** What came of a try whether an instance that is starting takes connections. */
    void tried(String id, boolean takesConnections) {
        booting.tried(id, takesConnections);
    }

    // Ownership.

    private boolean isOwner(String service) {
        return cluster.isOwner(service, cluster.zone())
                || instances.values().stream()
                        .anyMatch(i -> i.service().equals(service) && cluster.isOwner(service, i.zone()));
    }

    private SlotAllocator allocator(String service) {
        SlotAllocator known = allocators.get(service);
        return known == null ? newAllocator(service) : known;
    }

    private SlotAllocator newAllocator(String service) {
        long now = environment.now();
        List<Instance> ofService = instances.values().stream()
                .filter(i -> i.service().equals(service))
                .toList();
        // Who was owner before says what is in use; the instances may come to be known only after the members.
        long opensAt =
                Math.max(cluster.membersChangedAt() + heartbeat / 8, now + (ofService.isEmpty() ? 0 : heartbeat / 8));
        SlotAllocator allocator = new SlotAllocator(
                service,
                cluster.zone(),
                probes,
                environment.chance(),
                instance -> cluster.isOwner(service, instance.zone()),
                new Answers(),
                opensAt);
        allocators.put(service, allocator);
        ofService.forEach(instance -> allocator.heard(instance, now));
        placeInUse(allocator);
        environment.after(Math.max(0, opensAt - now), () -> allocator.turn(environment.now()));
        return allocator;
    }

    /** What we own no longer goes to its new owners with what is in use. */
    void membersChanged() {
        long now = environment.now();
        for (SlotAllocator allocator : List.copyOf(allocators.values())) {
            List<HeldSlot> inUse = allocator.membersChanged(now, heartbeat / 8);
            boolean lost = !isOwner(allocator.service());
            if (lost) {
                inUse = allocator.inUse(now);
                allocators.remove(allocator.service());
            }
            handOver(inUse);
            if (lost) {
                instances.values().removeIf(i -> i.service().equals(allocator.service()));
            }
        }
    }

    private void handOver(List<HeldSlot> inUse) {
        HeldSlotsByHost byHost = new HeldSlotsByHost();
        for (HeldSlot slot : inUse) {
            Instance instance = instances.get(slot.instance());
            Member next = cluster.owner(slot.service(), instance == null ? cluster.zone() : instance.zone());
            if (next != null) {
                byHost.add(next.host(), slot);
            }
        }
        byHost.send(environment);
    }

    /** These are members no longer: what they were granted comes back soon. */
    void gone(Collection<Member> members) {
        long until = environment.now() + heartbeat / 3;
        members.forEach(member -> allocators.values().forEach(allocator -> allocator.gone(member.life(), until)));
    }

    // Slots.

    /** A request for a slot, of this proxy or another. */
    void request(SlotClaim claim, String service, boolean counts) {
        if (!isOwner(service) || !cluster.hasLease() || cluster.configuration() == null) {
            if (claim.host == null) {
                ownAnswers.notOwned(claim.number);
            }
            return; // another proxy asks elsewhere when it hears nothing
        }
        SlotAllocator allocator = allocator(service);
        allocator.request(claim, counts, cluster.configuration().services().get(service), environment.now());
        if (allocator.waiting() > 0 && !allocator.hasInstances()) {
            reportDemand();
        }
    }

    void cancel(String service, String key) {
        SlotAllocator allocator = allocators.get(service);
        if (allocator != null) {
            allocator.cancel(key, environment.now());
        }
    }

    /** A slot is in use no longer; its owner, perhaps this proxy, is told. */
    void giveBack(Member owner, String service, String key, String instance, Attempt.End end, long ranNanos) {
        if (cluster.isSelf(owner)) {
            returned(service, key, instance, end, ranNanos);
        } else {
            environment.send(owner.host(), new SlotReturn(service, key, instance, end.ordinal(), ranNanos / 1000));
        }
    }

    /** A slot that was granted here comes back. */
    void returned(String service, String key, String instance, Attempt.End end, long ranNanos) {
        unplaced.remove(key);
        returnedUntil.put(key, environment.now() + heartbeat);
        SlotAllocator allocator = allocators.get(service);
        if (allocator == null) {
            return;
        }
        allocator.returned(key, instance, end, ranNanos, environment.now());
        if (end == Attempt.End.ABANDONED) {
            environment.after(SlotAllocator.SETTLES + 1, () -> allocator.turn(environment.now()));
        }
    }

    /** Slots in use, told by those who granted them before us or who hold them; some may have come back since. */
    void held(List<HeldSlot> slots) {
        for (HeldSlot slot : slots) {
            if (returnedUntil.containsKey(slot.key())) {
                continue;
            }
            InUse inUse = new InUse(
                    slot.instance(), slot.incarnation(), environment.now() + slot.remainingMillis() * 1_000_000);
            if (!isOwner(slot.service()) || !place(allocator(slot.service()), slot.key(), inUse)) {
                unplaced.put(slot.key(), inUse);
            }
        }
    }

    private boolean place(SlotAllocator allocator, String key, InUse inUse) {
        if (allocator.slots(inUse.instance) == null) {
            return false;
        }
        allocator.held(key, inUse.life, inUse.instance, inUse.until, environment.now());
        return true;
    }

    private void placeInUse(SlotAllocator allocator) {
        unplaced.entrySet().removeIf(e -> place(allocator, e.getKey(), e.getValue()));
    }

    // What is due from time to time.

    void turn() {
        long now = environment.now();
        allocators.values().forEach(allocator -> {
            allocator.turn(now);
            booting.tryAll(allocator);
        });
        allocators.values().removeIf(SlotAllocator::isIdle);
        unplaced.values().removeIf(inUse -> inUse.until <= now);
        returnedUntil.values().removeIf(until -> until <= now);
        for (SlotAllocator allocator : allocators.values()) {
            allocator.sayQueued(now, heartbeat / 3);
        }
        reportDemand();
    }

    private void reportDemand() {
        List<Demand> demands = new ArrayList<>();
        for (SlotAllocator allocator : allocators.values()) {
            Demand demand = allocator.demand(environment.now());
            if (demand != null) {
                demands.add(demand);
            }
        }
        String controlNode = cluster.session().controlNode();
        if ((reportedDemand || !demands.isEmpty()) && controlNode != null) {
            environment.send(controlNode, new DemandReport(cluster.life(), demands, false));
        }
        reportedDemand = !demands.isEmpty();
    }

    /** Takes answers to those who asked: by message to another proxy, in a later turn to this one. */
    private final class Answers implements SlotAllocator.Answers {
        @Override
        public void granted(SlotClaim claim, Instance instance) {
            if (claim.host == null) {
                later(own -> own.granted(claim.number, instance));
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
                ownAnswers.queued(claim.number);
            } else {
                environment.send(claim.host, new SlotQueued(claim.number));
            }
        }

        @Override
        public void elsewhere(SlotClaim claim, String zone) {
            if (claim.host == null) {
                later(own -> own.elsewhere(claim.number, zone));
            } else {
                environment.send(claim.host, new SlotRedirect(claim.number, zone));
            }
        }

        @Override
        public void refused(SlotClaim claim, long pauseMillis) {
            if (claim.host == null) {
                later(own -> own.refused(claim.number, pauseMillis));
            } else {
                environment.send(claim.host, new SlotRefusal(claim.number, pauseMillis));
            }
        }

        private void later(Consumer<SlotAnswers> answer) {
            environment.after(0, () -> answer.accept(ownAnswers));
        }
    }
}
