package saltdale.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltdale.control.Configuration;
import saltdale.control.Demand;
import saltdale.control.Instance;
import saltdale.control.message.SlotMessage.HeldSlot;
import saltdale.probing.ProbeLoop;

/**
 * The owner of one service in a zone: it grants the slots of the zone's instances, one to each request, so that
 * no more are at
 * work than an instance takes, whoever asks. Which instance it is the design decides: probes of randomly drawn
 * ones, the
 * first idle one, further only while that pays.
 */
final class SlotAllocator {
    /** What becomes of a claim. */
    interface Answers {
        void granted(SlotClaim claim, Instance instance);

        /** Whether we are owner for certain: who cannot know grants nothing. */
        boolean mayGrant();

        /** It waits here for a slot. */
        void queued(SlotClaim claim);

        /** There are instances, in another zone. */
        void elsewhere(SlotClaim claim, String zone);

        /** It can't be in time: it may come back after so many milliseconds. */
        void refused(SlotClaim claim, long pauseMillis);
    }

    static final int MOST_HOPS = 3;
    static final long SETTLES = 60_000_000L;
    private static final double TAU = 2e9; // over which arrivals are averaged
    private static final double QUICK = 0.5e9; // the same, to see a burst at once
    private static final double LEAST = 0.4e9; // so long at least an owner has counted before it believes its counts
    private final String service;
    private final String zone;
    private final ProbeLoop probes;
    private final SplittableRandom chance;
    private final Answers answers;
    private final Predicate<Instance> ours; // of our zone, or of one without members that we adopted
    private final Map<String, InstanceSlots> instances = new LinkedHashMap<>(); // of those that are ours
    private final Map<String, Instance> others = new LinkedHashMap<>(); // those with other owners
    private final List<SlotClaim> queue = new ArrayList<>(); // as they came
    private double rate; // requests a second that come from our zone
    private double quick; // the same over a shorter time
    private long rateAt;
    private long ratedFrom = -1; // since when it counts; it begins anew after a long rest
    private long counted;
    private double run; // seconds that a request runs, on average
    private long busyAt;
    /** From when on it grants: those who granted before have ended by then, or said what is out. */
    long opensAt;

    SlotAllocator(
            String service,
            String zone,
            ProbeLoop probes,
            SplittableRandom chance,
            Predicate<Instance> ours,
            Answers answers,
            long opensAt) {
        this.service = service;
        this.zone = zone;
        this.probes = probes;
        this.chance = chance;
        this.ours = ours;
        this.answers = answers;
        this.opensAt = opensAt;
    }

    // What is known of instances.

    /** News of an instance; those that are not known any more are dropped. */
    void heard(Instance instance, long now) {
        if (!ours.test(instance)) {
            if (instance.phase().compareTo(Instance.Phase.LEAVING) < 0) {
                others.put(instance.id(), instance);
            } else {
                others.remove(instance.id());
            }
            return;
        }
        InstanceSlots slots = instances.get(instance.id());
        if (instance.phase() == Instance.Phase.GONE) {
            instances.remove(instance.id());
        } else if (slots == null) {
            instances.put(instance.id(), new InstanceSlots(instance, now));
        } else if (instance.phase().compareTo(slots.instance.phase()) > 0) {
            slots.instance = instance;
        }
        serve(now);
    }

    String service() {
        return service;
    }

    /** Says again to those who wait that they do: else they ask elsewhere. */
    void sayQueued(long now, long every) {
        for (SlotClaim claim : queue) {
            if (now - claim.toldAt >= every) {
                claim.toldAt = now;
                answers.queued(claim);
            }
        }
    }

    /**
     * The members have changed: what is no longer ours goes with its grants, what is ours now waits a moment for
     * others'.
     */
    List<HeldSlot> membersChanged(long now, long opens) {
        List<HeldSlot> lost = new ArrayList<>();
        for (InstanceSlots slots : List.copyOf(instances.values())) {
            if (!ours.test(slots.instance)) {
                instances.remove(slots.instance.id());
                lost.addAll(inUse(slots, now));
                others.put(slots.instance.id(), slots.instance);
            }
        }
        for (Instance r : List.copyOf(others.values())) {
            if (ours.test(r)) {
                others.remove(r.id());
                InstanceSlots slots = new InstanceSlots(r, now);
                slots.notBefore = now + opens;
                instances.put(r.id(), slots);
            }
        }
        serve(now);
        return lost;
    }

    InstanceSlots slots(String id) {
        return instances.get(id);
    }

    List<InstanceSlots> booting() {
        return instances.values().stream()
                .filter(b -> b.instance.phase() == Instance.Phase.BOOTING)
                .toList();
    }

    boolean isIdle() {
        return queue.isEmpty() && instances.isEmpty() && others.isEmpty() && rate == 0;
    }

    // Claims.

    void request(SlotClaim claim, boolean counts, Configuration.Service kind, long now) {
        if (counts) {
            decay(now);
            ratedFrom = ratedFrom < 0 ? now : ratedFrom;
            counted++;
            rate += 1e9 / TAU;
            quick += 1e9 / QUICK;
        }
        queue.add(claim);
        serve(now);
        if (!queue.contains(claim)) {
            return;
        }
        long wait = wait(kind, now);
        if (claim.priority >= 0 && now + wait > claim.deadline) {
            queue.remove(claim);
            answers.refused(claim, Math.max(100, wait / 2_000_000));
            return;
        }
        claim.toldAt = now;
        answers.queued(claim);
    }

    private String elsewhere() {
        return others.values().stream()
                .min(Comparator.comparing(Instance::phase).reversed().thenComparing(Instance::zone))
                .map(Instance::zone)
                .orElse(null);
    }

    /** How long the last one in the queue is likely to wait. */
    private long wait(Configuration.Service kind, long now) {
        int slots = instances.values().stream()
                .filter(InstanceSlots::isUp)
                .mapToInt(b -> b.instance.slots())
                .sum();
        double boot = kind == null ? 0 : kind.bootMs() * 1e6;
        if (slots == 0) {
            long since = booting().stream().mapToLong(b -> b.since).min().orElse(now);
            return (long) Math.max(0.1 * boot, boot - (now - since));
        }
        // What is started for a longer queue takes part of it over, once it is up.
        double turns = queue.size() * run * 1e9 / slots;
        return (long) (boot == 0 || turns < boot ? turns : boot + (turns - boot) / 2);
    }

    /** It asks no longer. */
    void cancel(String key, long now) {
        queue.removeIf(claim -> claim.key.equals(key));
        for (InstanceSlots slots : instances.values()) {
            if (slots.grants.remove(key) != null) {
                serve(now);
                return;
            }
        }
    }

    /** A granted slot comes back. */
    void returned(String key, String id, Attempt.End end, long ranNanos, long now) {
        InstanceSlots slots = instances.get(id);
        if (slots == null) {
            return;
        }
        InstanceSlots.Grant grant = slots.grants.remove(key);
        if (end == Attempt.End.ABANDONED && grant != null) {
            // Guards against an instance that is sent the next request before it has seen this one's connection end.
            slots.grants.put(key, new InstanceSlots.Grant(grant.life(), grant.at(), now + SETTLES));
        }
        switch (end) {
            case ANSWERED -> {
                slots.ended(false);
                slots.rest = 0;
                double seconds = ranNanos / 1e9;
                run = run == 0 ? seconds : 0.95 * run + 0.05 * Math.min(seconds, 4 * run);
                probes.recordRunTime(seconds);
            }
            case TURNED_AWAY -> slots.rests(now, 30_000_000L, 500_000_000L); // another's work still holds its slots
            case NOT_CONNECTED -> slots.rests(now, 50_000_000L, 1_000_000_000L);
            case MISDIRECTED -> instances.remove(id);
            case BROKEN -> slots.ended(true);
            default -> {}
        }
        serve(now);
    }

    /** A slot that another owner granted before us, or that we are told of again. */
    void held(String key, String life, String id, long until, long now) {
        InstanceSlots slots = instances.get(id);
        if (slots != null) {
            slots.grants.put(key, new InstanceSlots.Grant(life, now, until));
        }
    }

    /** Whoever asked is gone: what it was granted comes back after a moment, as instances see its connections end. */
    void gone(String life, long until) {
        queue.removeIf(claim -> claim.life.equals(life));
        for (InstanceSlots slots : instances.values()) {
            slots.grants.replaceAll((key, grant) -> grant.life().equals(life)
                    ? new InstanceSlots.Grant(life, grant.at(), Math.min(grant.until(), until))
                    : grant);
        }
    }

    /** Looks whether anything is due: claims that are over, grants that never came back. */
    void turn(long now) {
        queue.removeIf(claim -> claim.deadline <= now);
        for (InstanceSlots slots : instances.values()) {
            slots.grants.values().removeIf(grant -> grant.until() <= now);
        }
        serve(now);
    }

    /**
     * Grants what is free to those who wait, in their order; where no instance of ours will come, they go
     * elsewhere.
     */
    private void serve(long now) {
        if (now < opensAt || queue.isEmpty() || !answers.mayGrant()) {
            return;
        }
        if (!hasInstances()) {
            String there = elsewhere();
            for (SlotClaim claim : there == null
                    ? List.<SlotClaim>of()
                    : queue.stream().filter(a -> a.hops < MOST_HOPS).toList()) {
                queue.remove(claim);
                answers.elsewhere(claim, there);
            }
            return;
        }
        if (instances.values().stream().noneMatch(b -> b.mayTake(now))) {
            return;
        }
        // Who can still be in time goes before who is late; requests of instances at work before all, since those hold
        // slots.
        List<SlotClaim> order = new ArrayList<>(queue);
        long soon = now + (long) (run * 1e9);
        order.sort(Comparator.comparing((SlotClaim a) -> a.priority >= 0 && a.targetAt < soon)
                .thenComparing(a -> a.priority));
        for (SlotClaim claim : order) {
            InstanceSlots slots = pick(claim, now);
            if (slots != null) {
                queue.remove(claim);
                slots.grants.put(claim.key, new InstanceSlots.Grant(claim.life, now, claim.deadline + SETTLES));
                slots.used = true;
                busyAt = now;
                answers.granted(claim, slots.instance);
                if (instances.values().stream().noneMatch(b -> b.mayTake(now))) {
                    return;
                }
            }
        }
    }

    // The design's draw: here all probes are of our own knowledge, which holds all that is granted.
    private InstanceSlots pick(SlotClaim claim, long now) {
        List<InstanceSlots> ready = new ArrayList<>();
        int poor = 0;
        for (InstanceSlots slots : instances.values()) {
            if (slots.isUp() && !claim.avoidedInstances.contains(slots.instance.id())) {
                ready.add(slots);
                poor += slots.failing > InstanceSlots.POOR ? 1 : 0;
            }
        }
        // Guards against instances that fail often, unless most do: then it is not them.
        if (poor > 0 && 2 * poor <= ready.size()) {
            ready.removeIf(b -> b.failing > InstanceSlots.POOR && chance.nextDouble() > 0.05);
        }
        double shortest = Double.POSITIVE_INFINITY;
        int probed = 0;
        Set<InstanceSlots> seen = new HashSet<>();
        for (int i = 0; i < ready.size() && (probed == 0 || probes.worthAnother(probed, shortest)); i++) {
            java.util.Collections.swap(ready, i, i + chance.nextInt(ready.size() - i));
            InstanceSlots slots = ready.get(i);
            seen.add(slots);
            probed++;
            boolean idle = slots.mayTake(now);
            double load = load(slots, ready);
            probes.recordProbe(idle, load, 0);
            if (idle) {
                return slots;
            }
            shortest = Math.min(shortest, load);
        }
        // No probed instance has a free slot: any other that has, else the request waits here.
        return ready.stream()
                .filter(b -> !seen.contains(b) && b.mayTake(now))
                .findFirst()
                .orElse(null);
    }

    /** The requests waiting for it and in flight to it; one not yet sent to counts as the mean of the others. */
    private static double load(InstanceSlots slots, List<InstanceSlots> ready) {
        return slots.used
                ? slots.grants.size()
                : ready.stream()
                        .filter(b -> b.used)
                        .mapToInt(b -> b.grants.size())
                        .average()
                        .orElse(0);
    }

    // What is told to the control nodes.

    private void decay(long now) {
        rate *= Math.exp(-(now - rateAt) / TAU);
        quick *= Math.exp(-(now - rateAt) / QUICK);
        rateAt = now;
        if (rate < 0.01) {
            rate = 0;
            ratedFrom = -1;
            counted = 0;
        }
    }

    /** Requests a second: the average, or the last half second's where that is more than chance would have it. */
    private double rate(long now) {
        double lately = quick - 2 * Math.sqrt(quick);
        double young =
                now - ratedFrom < TAU ? (counted - 2 * Math.sqrt(counted)) * 1e9 / Math.max(LEAST, now - ratedFrom) : 0;
        return Math.max(rate, Math.max(lately, young));
    }

    /** The demand seen here; null where there is none. */
    Demand demand(long now) {
        decay(now);
        int busy = instances.values().stream().mapToInt(b -> b.grants.size()).sum();
        return rate == 0 && busy == 0 && queue.isEmpty()
                ? null
                : new Demand(service, zone, rate(now), run, busy, queue.size(), (now - busyAt) / 1e9);
    }

    int waiting() {
        return queue.size();
    }

    boolean hasInstances() {
        return instances.values().stream().anyMatch(b -> b.instance.phase().compareTo(Instance.Phase.LEAVING) < 0);
    }

    /** All grants, for an owner that takes over. */
    List<HeldSlot> inUse(long now) {
        List<HeldSlot> all = new ArrayList<>();
        instances.values().forEach(slots -> all.addAll(inUse(slots, now)));
        return all;
    }

    private List<HeldSlot> inUse(InstanceSlots slots, long now) {
        List<HeldSlot> all = new ArrayList<>();
        slots.grants.forEach((key, grant) -> all.add(new HeldSlot(
                service, slots.instance.id(), key, grant.life(), Math.max(0, (grant.until() - now) / 1_000_000))));
        return all;
    }
}
