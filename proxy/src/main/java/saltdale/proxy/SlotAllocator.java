package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collections;
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
 * Grants the slots of one service's instances in one zone. It runs in the proxy that owns the service there; every
 * request needs a grant, so an instance never has more requests in progress than it has slots, whichever proxies send
 * them. The instance is chosen by probing: randomly drawn instances are examined, the first one with a free slot is
 * taken, and another one is drawn only while the {@link ProbeLoop} expects that to pay.
 */
final class SlotAllocator {
    /** Receives the results of claims. */
    interface Callbacks {
        void granted(SlotClaim claim, Instance instance);

        /** Whether this proxy is certainly still the owner; without that certainty nothing is granted. */
        boolean mayGrant();

        /** The claim waits in the queue of this allocator. */
        void queued(SlotClaim claim);

        /** This owner has no instances, but another zone has. */
        void redirected(SlotClaim claim, String zone);

        /** The claim cannot be granted in time; the client may retry after the given delay. */
        void rejected(SlotClaim claim, long retryAfterMillis);
    }

    static final int MAX_ZONE_HOPS = 3;

    /** Time for an instance to notice that the connection of an abandoned attempt is closed. */
    static final long CONNECTION_CLOSE_GRACE_NANOS = 60_000_000L;

    private static final double RATE_WINDOW_NANOS = 2e9; // time constant of the average arrival rate
    private static final double SHORT_RATE_WINDOW_NANOS = 0.5e9; // shorter time constant, to detect bursts quickly
    private static final double MIN_RATE_SPAN_NANOS = 0.4e9; // a new owner assumes to have counted for at least this
    private final String service;
    private final String zone;
    private final ProbeLoop probes;
    private final SplittableRandom random;
    private final Callbacks callbacks;
    private final Predicate<Instance> isOwned; // in our zone, or in an adopted zone that has no members
    private final Map<String, InstanceSlots> instances = new LinkedHashMap<>(); // owned by this proxy, by ID
    private final Map<String, Instance> otherInstances = new LinkedHashMap<>(); // owned by other proxies, by ID
    private final List<SlotClaim> queue = new ArrayList<>(); // in order of arrival
    private double averageRate; // requests per second from our zone
    private double shortTermRate; // the same, averaged over the shorter window
    private long ratesUpdatedAt;
    private long countingSince = -1; // start of the current count; restarted after a long idle period
    private long requestCount;
    private double meanRunSeconds; // moving average of the execution time of a request
    private long lastGrantAt;
    /** When granting starts: by then the grants of the previous owner have ended or have been reported to us. */
    long grantsFrom;

    SlotAllocator(
            String service,
            String zone,
            ProbeLoop probes,
            SplittableRandom random,
            Predicate<Instance> isOwned,
            Callbacks callbacks,
            long grantsFrom) {
        this.service = service;
        this.zone = zone;
        this.probes = probes;
        this.random = random;
        this.isOwned = isOwned;
        this.callbacks = callbacks;
        this.grantsFrom = grantsFrom;
    }

    // Instances.

    /** Applies the new state of an instance; an instance that is gone is removed. */
    void updateInstance(Instance instance, long now) {
        if (!isOwned.test(instance)) {
            if (instance.phase().compareTo(Instance.Phase.LEAVING) < 0) {
                otherInstances.put(instance.id(), instance);
            } else {
                otherInstances.remove(instance.id());
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
        grantWaiting(now);
    }

    String service() {
        return service;
    }

    /** Confirms to waiting requesters that their claims are still queued; without that they would ask elsewhere. */
    void repeatQueued(long now, long intervalNanos) {
        for (SlotClaim claim : queue) {
            if (now - claim.queuedSentAt >= intervalNanos) {
                claim.queuedSentAt = now;
                callbacks.queued(claim);
            }
        }
    }

    /**
     * Re-evaluates the ownership of all instances after a change of members. Instances that are no longer owned are
     * dropped and their grants returned; newly owned ones are used only after a delay, in which the previous owner
     * reports its grants.
     */
    List<HeldSlot> membersChanged(long now, long delayNanos) {
        List<HeldSlot> lost = new ArrayList<>();
        for (InstanceSlots slots : List.copyOf(instances.values())) {
            if (!isOwned.test(slots.instance)) {
                instances.remove(slots.instance.id());
                lost.addAll(heldSlots(slots, now));
                otherInstances.put(slots.instance.id(), slots.instance);
            }
        }
        for (Instance instance : List.copyOf(otherInstances.values())) {
            if (isOwned.test(instance)) {
                otherInstances.remove(instance.id());
                InstanceSlots slots = new InstanceSlots(instance, now);
                slots.pausedUntil = now + delayNanos;
                instances.put(instance.id(), slots);
            }
        }
        grantWaiting(now);
        return lost;
    }

    /** The slots of an owned instance; null if it is not known here. */
    InstanceSlots slots(String instanceId) {
        return instances.get(instanceId);
    }

    List<InstanceSlots> bootingInstances() {
        return instances.values().stream()
                .filter(slots -> slots.instance.phase() == Instance.Phase.BOOTING)
                .toList();
    }

    boolean isIdle() {
        return queue.isEmpty() && instances.isEmpty() && otherInstances.isEmpty() && averageRate == 0;
    }

    // Claims.

    /** Grants, queues, redirects or rejects a claim; {@code countsAsDemand} is false for repeated claims. */
    void handleClaim(SlotClaim claim, boolean countsAsDemand, Configuration.Service settings, long now) {
        if (countsAsDemand) {
            decayRates(now);
            countingSince = countingSince < 0 ? now : countingSince;
            requestCount++;
            averageRate += 1e9 / RATE_WINDOW_NANOS;
            shortTermRate += 1e9 / SHORT_RATE_WINDOW_NANOS;
        }
        queue.add(claim);
        grantWaiting(now);
        if (!queue.contains(claim)) {
            return;
        }
        long waitNanos = expectedWaitNanos(settings, now);
        if (claim.priority >= 0 && now + waitNanos > claim.deadline) {
            queue.remove(claim);
            callbacks.rejected(claim, Math.max(100, waitNanos / 2_000_000));
            return;
        }
        claim.queuedSentAt = now;
        callbacks.queued(claim);
    }

    /** A zone whose owner has instances, preferably ready ones; null if there is none. */
    private String otherZoneWithInstances() {
        return otherInstances.values().stream()
                .min(Comparator.comparing(Instance::phase).reversed().thenComparing(Instance::zone))
                .map(Instance::zone)
                .orElse(null);
    }

    /** The expected waiting time of the last claim in the queue. */
    private long expectedWaitNanos(Configuration.Service settings, long now) {
        int slotCount = instances.values().stream()
                .filter(InstanceSlots::isReady)
                .mapToInt(slots -> slots.instance.slots())
                .sum();
        double bootNanos = settings == null ? 0 : settings.bootMs() * 1e6;
        if (slotCount == 0) {
            long bootingSince = bootingInstances().stream()
                    .mapToLong(slots -> slots.addedAt)
                    .min()
                    .orElse(now);
            return (long) Math.max(0.1 * bootNanos, bootNanos - (now - bootingSince));
        }
        // Instances started for a longer queue take over a part of it once they are ready.
        double queueNanos = queue.size() * meanRunSeconds * 1e9 / slotCount;
        return (long)
                (bootNanos == 0 || queueNanos < bootNanos ? queueNanos : bootNanos + (queueNanos - bootNanos) / 2);
    }

    /** Withdraws a claim, whether it is still queued or already granted. */
    void cancel(String key, long now) {
        queue.removeIf(claim -> claim.key.equals(key));
        for (InstanceSlots slots : instances.values()) {
            if (slots.grants.remove(key) != null) {
                grantWaiting(now);
                return;
            }
        }
    }

    /** Frees a granted slot and takes the outcome of its attempt into account. */
    void release(String key, String instanceId, Attempt.Outcome outcome, long ranNanos, long now) {
        InstanceSlots slots = instances.get(instanceId);
        if (slots == null) {
            return;
        }
        InstanceSlots.Grant grant = slots.grants.remove(key);
        if (outcome == Attempt.Outcome.ABANDONED && grant != null) {
            // The slot stays taken until the instance has seen this attempt's connection close: otherwise the next
            // request could reach it earlier.
            slots.grants.put(
                    key,
                    new InstanceSlots.Grant(
                            grant.incarnation(), grant.grantedAt(), now + CONNECTION_CLOSE_GRACE_NANOS));
        }
        switch (outcome) {
            case ANSWERED -> {
                slots.recordResult(false);
                slots.pauseNanos = 0;
                double seconds = ranNanos / 1e9;
                meanRunSeconds = meanRunSeconds == 0
                        ? seconds
                        : 0.95 * meanRunSeconds + 0.05 * Math.min(seconds, 4 * meanRunSeconds);
                probes.recordRunTime(seconds);
            }
            case TURNED_AWAY ->
                slots.pause(now, 30_000_000L, 500_000_000L); // requests of another proxy still occupy its slots
            case NOT_CONNECTED -> slots.pause(now, 50_000_000L, 1_000_000_000L);
            case MISDIRECTED -> instances.remove(instanceId);
            case BROKEN -> slots.recordResult(true);
            default -> {}
        }
        grantWaiting(now);
    }

    /** Records a grant that the previous owner made, or that its holder reports again. */
    void restoreGrant(String key, String incarnation, String instanceId, long expiresAt, long now) {
        InstanceSlots slots = instances.get(instanceId);
        if (slots != null) {
            slots.grants.put(key, new InstanceSlots.Grant(incarnation, now, expiresAt));
        }
    }

    /**
     * Drops the claims of a proxy that is no longer a member. Its grants expire after a short delay, in which the
     * instances see its connections close.
     */
    void memberGone(String incarnation, long expiresAt) {
        queue.removeIf(claim -> claim.incarnation.equals(incarnation));
        for (InstanceSlots slots : instances.values()) {
            slots.grants.replaceAll((key, grant) -> grant.incarnation().equals(incarnation)
                    ? new InstanceSlots.Grant(incarnation, grant.grantedAt(), Math.min(grant.expiresAt(), expiresAt))
                    : grant);
        }
    }

    /** Removes claims past their deadline and grants that were never returned. */
    void expire(long now) {
        queue.removeIf(claim -> claim.deadline <= now);
        for (InstanceSlots slots : instances.values()) {
            slots.grants.values().removeIf(grant -> grant.expiresAt() <= now);
        }
        grantWaiting(now);
    }

    /** Grants free slots to waiting claims; if this owner has and expects no instances, redirects the claims. */
    private void grantWaiting(long now) {
        if (now < grantsFrom || queue.isEmpty() || !callbacks.mayGrant()) {
            return;
        }
        if (!hasInstances()) {
            String otherZone = otherZoneWithInstances();
            for (SlotClaim claim : otherZone == null
                    ? List.<SlotClaim>of()
                    : queue.stream()
                            .filter(waiting -> waiting.zoneHops < MAX_ZONE_HOPS)
                            .toList()) {
                queue.remove(claim);
                callbacks.redirected(claim, otherZone);
            }
            return;
        }
        if (instances.values().stream().noneMatch(slots -> slots.canAccept(now))) {
            return;
        }
        // Claims that can still meet their target latency come before late ones. Nested requests come first of all:
        // the instances that make them hold slots meanwhile.
        List<SlotClaim> order = new ArrayList<>(queue);
        long expectedEnd = now + (long) (meanRunSeconds * 1e9);
        order.sort(Comparator.comparing((SlotClaim claim) -> claim.priority >= 0 && claim.targetAt < expectedEnd)
                .thenComparing(claim -> claim.priority));
        for (SlotClaim claim : order) {
            InstanceSlots slots = pickInstance(claim, now);
            if (slots != null) {
                queue.remove(claim);
                slots.grants.put(
                        claim.key,
                        new InstanceSlots.Grant(claim.incarnation, now, claim.deadline + CONNECTION_CLOSE_GRACE_NANOS));
                slots.hasBeenUsed = true;
                lastGrantAt = now;
                callbacks.granted(claim, slots.instance);
                if (instances.values().stream().noneMatch(other -> other.canAccept(now))) {
                    return;
                }
            }
        }
    }

    /**
     * Picks an instance for a claim by probing; null if none has a free slot. A probe sends no message here: the owner
     * knows all grants.
     */
    private InstanceSlots pickInstance(SlotClaim claim, long now) {
        List<InstanceSlots> ready = new ArrayList<>();
        int unreliable = 0;
        for (InstanceSlots slots : instances.values()) {
            if (slots.isReady() && !claim.avoidedInstances.contains(slots.instance.id())) {
                ready.add(slots);
                unreliable += slots.failureRate > InstanceSlots.UNRELIABLE_FAILURE_RATE ? 1 : 0;
            }
        }
        // Instances that fail often are mostly skipped; if more than half of them do, the cause lies elsewhere.
        if (unreliable > 0 && 2 * unreliable <= ready.size()) {
            ready.removeIf(
                    slots -> slots.failureRate > InstanceSlots.UNRELIABLE_FAILURE_RATE && random.nextDouble() > 0.05);
        }
        double lowestLoad = Double.POSITIVE_INFINITY;
        int probed = 0;
        Set<InstanceSlots> seen = new HashSet<>();
        for (int i = 0; i < ready.size() && (probed == 0 || probes.worthAnother(probed, lowestLoad)); i++) {
            Collections.swap(ready, i, i + random.nextInt(ready.size() - i));
            InstanceSlots slots = ready.get(i);
            seen.add(slots);
            probed++;
            boolean idle = slots.canAccept(now);
            double load = load(slots, ready);
            probes.recordProbe(idle, load, 0);
            if (idle) {
                return slots;
            }
            lowestLoad = Math.min(lowestLoad, load);
        }
        // No probed instance has a free slot: use any other one that has, else the claim stays queued.
        return ready.stream()
                .filter(slots -> !seen.contains(slots) && slots.canAccept(now))
                .findFirst()
                .orElse(null);
    }

    /** Number of requests granted to an instance; for an instance not used yet, the mean of the used ones. */
    private static double load(InstanceSlots slots, List<InstanceSlots> ready) {
        return slots.hasBeenUsed
                ? slots.grants.size()
                : ready.stream()
                        .filter(other -> other.hasBeenUsed)
                        .mapToInt(other -> other.grants.size())
                        .average()
                        .orElse(0);
    }

    // Demand reported to the control nodes.

    private void decayRates(long now) {
        averageRate *= Math.exp(-(now - ratesUpdatedAt) / RATE_WINDOW_NANOS);
        shortTermRate *= Math.exp(-(now - ratesUpdatedAt) / SHORT_RATE_WINDOW_NANOS);
        ratesUpdatedAt = now;
        if (averageRate < 0.01) {
            averageRate = 0;
            countingSince = -1;
            requestCount = 0;
        }
    }

    /**
     * The arrival rate in requests per second: the average, or the rate of the last half second or since counting began
     * if one of these is higher by more than two standard deviations.
     */
    private double arrivalRate(long now) {
        double burstRate = shortTermRate - 2 * Math.sqrt(shortTermRate);
        double initialRate = now - countingSince < RATE_WINDOW_NANOS
                ? (requestCount - 2 * Math.sqrt(requestCount))
                        * 1e9
                        / Math.max(MIN_RATE_SPAN_NANOS, now - countingSince)
                : 0;
        return Math.max(averageRate, Math.max(burstRate, initialRate));
    }

    /** The demand observed here; null if there is none. */
    Demand demand(long now) {
        decayRates(now);
        int granted = instances.values().stream()
                .mapToInt(slots -> slots.grants.size())
                .sum();
        return averageRate == 0 && granted == 0 && queue.isEmpty()
                ? null
                : new Demand(
                        service,
                        zone,
                        arrivalRate(now),
                        meanRunSeconds,
                        granted,
                        queue.size(),
                        (now - lastGrantAt) / 1e9);
    }

    int queueLength() {
        return queue.size();
    }

    /** Whether there is an instance that is ready or booting. */
    boolean hasInstances() {
        return instances.values().stream()
                .anyMatch(slots -> slots.instance.phase().compareTo(Instance.Phase.LEAVING) < 0);
    }

    /** All current grants, for the next owner. */
    List<HeldSlot> heldSlots(long now) {
        List<HeldSlot> all = new ArrayList<>();
        instances.values().forEach(slots -> all.addAll(heldSlots(slots, now)));
        return all;
    }

    private List<HeldSlot> heldSlots(InstanceSlots slots, long now) {
        List<HeldSlot> all = new ArrayList<>();
        slots.grants.forEach((key, grant) -> all.add(new HeldSlot(
                service,
                slots.instance.id(),
                key,
                grant.incarnation(),
                Math.max(0, (grant.expiresAt() - now) / 1_000_000))));
        return all;
    }
}
