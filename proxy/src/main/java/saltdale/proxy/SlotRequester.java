package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Member;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotRequest;

/**
 * Requests slots from the owners of services: from the owner in this proxy's zone, or from one in another zone if that
 * does not reply. An owner replies at once, at least that the request is queued; an owner that does not is skipped for
 * a while.
 */
final class SlotRequester implements SlotReplyHandler {
    /** Receives the results of slot requests. */
    interface Callbacks {
        void granted(Request request, Instance instance, long number);

        void rejected(Request request, long retryAfterMillis, String reason);
    }

    private static final long NO_OWNER_RETRY_AFTER_MILLIS = 500;
    private static final long NOT_OWNER_RETRY_DELAY_NANOS = Environment.millisToNanos(20);

    private final Environment environment;
    private final ClusterView cluster;
    private final OwnedServices ownedServices;
    private final Callbacks callbacks;
    private final long heartbeatNanos;
    private final Map<Long, Request> pending = new HashMap<>(); // by the number of the slot request
    private final Map<String, Long> skippedUntil = new HashMap<>(); // unresponsive owners, by incarnation
    private long lastNumber;
    private boolean rejectsQueued;

    SlotRequester(
            Environment environment,
            ClusterView cluster,
            OwnedServices ownedServices,
            Callbacks callbacks,
            long heartbeatNanos) {
        this.environment = environment;
        this.cluster = cluster;
        this.ownedServices = ownedServices;
        this.callbacks = callbacks;
        this.heartbeatNanos = heartbeatNanos;
    }

    int pendingCount() {
        return pending.size();
    }

    /** Rejects all requests that wait for a slot, and from now on every request that would have to wait. */
    void rejectQueued() {
        rejectsQueued = true;
        forEachPending(this::rejectQueued);
    }

    private void rejectQueued(Request request) {
        callbacks.rejected(request, 50, "the proxy is shutting down");
    }

    /** Requests a slot. */
    void requestSlot(Request request) {
        Member owner = chooseOwner(request);
        request.slotOwner = owner;
        if (owner == null) {
            callbacks.rejected(request, NO_OWNER_RETRY_AFTER_MILLIS, "the service has no owner");
            return;
        }
        assignNumber(request);
        boolean inOtherZone = !owner.zone().equals(cluster.zone());
        boolean allOwnersRespond = request.unresponsiveOwners.isEmpty();
        boolean countsAsDemand =
                request.attempts == 0 && allOwnersRespond && !inOtherZone || inOtherZone && !allOwnersRespond;
        request.zoneHops = allOwnersRespond ? 0 : SlotAllocator.MAX_ZONE_HOPS;
        send(request, countsAsDemand);
    }

    private void assignNumber(Request request) {
        long number = ++lastNumber;
        request.slotNumber = number;
        request.slotKey = SlotClaim.key(cluster.incarnation(), number);
        pending.put(number, request);
        request.cancelReplyTimer = environment.schedule(heartbeatNanos / 10, () -> replyTimedOut(request, number));
    }

    private void send(Request request, boolean countsAsDemand) {
        long now = environment.now();
        if (cluster.isSelf(request.slotOwner)) {
            ownedServices.handleClaim(
                    new SlotClaim(
                            request.slotKey,
                            cluster.incarnation(),
                            null,
                            request.slotNumber,
                            cluster.zone(),
                            request.deadline,
                            request.targetAt,
                            request.priority,
                            request.avoidedInstances,
                            request.zoneHops),
                    request.service,
                    countsAsDemand);
        } else {
            environment.send(
                    request.slotOwner.host(),
                    new SlotRequest(
                            request.slotNumber,
                            request.service,
                            cluster.incarnation(),
                            cluster.zone(),
                            (request.deadline - now) / 1_000_000,
                            (request.targetAt - now) / 1_000_000,
                            request.priority,
                            countsAsDemand,
                            request.zoneHops,
                            List.copyOf(request.avoidedInstances)));
        }
    }

    /**
     * The owner in this proxy's zone if it is usable, else a random usable one of another zone. If there is none
     * either, the owner in this zone all the same; null if there is no owner.
     */
    private Member chooseOwner(Request request) {
        Member localOwner = cluster.owner(request.service, cluster.zone());
        if (isUsable(localOwner, request)) {
            return localOwner;
        }
        List<Member> remoteOwners = new ArrayList<>();
        for (String zone :
                cluster.members().stream().map(Member::zone).distinct().toList()) {
            Member owner = cluster.owner(request.service, zone);
            if (isUsable(owner, request)) {
                remoteOwners.add(owner);
            }
        }
        return remoteOwners.isEmpty()
                ? localOwner
                : remoteOwners.get(environment.random().nextInt(remoteOwners.size()));
    }

    private boolean isUsable(Member owner, Request request) {
        if (owner == null || request.unresponsiveOwners.containsKey(owner.zone())) {
            return false;
        }
        return cluster.isSelf(owner)
                ? cluster.hasLease()
                : skippedUntil.getOrDefault(owner.incarnation(), 0L) <= environment.now();
    }

    /** Cancels the current slot request, if any; a slot granted for it in the meantime is returned. */
    void cancel(Request request) {
        if (request.slotNumber == 0) {
            return;
        }
        pending.remove(request.slotNumber);
        request.cancelReplyTimer.run();
        if (cluster.isSelf(request.slotOwner)) {
            ownedServices.cancel(request.service, request.slotKey);
        } else {
            environment.send(request.slotOwner.host(), new SlotCancel(request.service, request.slotKey));
        }
        request.slotNumber = 0;
    }

    private void requestAgain(Request request) {
        if (!request.finished) {
            cancel(request);
            requestSlot(request);
        }
    }

    private void requestAgainAfter(long delayNanos, Request request, long number) {
        environment.schedule(delayNanos, () -> {
            if (request.slotNumber == number) {
                requestAgain(request);
            }
        });
    }

    /** Repeats all slot requests after a pause of this process: slots may have been granted and expired meanwhile. */
    void requestAllAgain() {
        forEachPending(this::requestAgain);
    }

    /** Does this for each request that waits; a failure with one of them must not affect the others. */
    private void forEachPending(Consumer<Request> action) {
        for (Request request : List.copyOf(pending.values())) {
            environment.runGuarded(() -> action.accept(request));
        }
    }

    private void replyTimedOut(Request request, long number) {
        if (request.slotNumber == number) {
            if (!cluster.isSelf(request.slotOwner)) {
                skippedUntil.put(request.slotOwner.incarnation(), environment.now() + heartbeatNanos / 2);
            }
            request.unresponsiveOwners.put(request.slotOwner.zone(), unresponsive(request.slotOwner));
            requestAgain(request);
        }
    }

    private Request.UnresponsiveOwner unresponsive(Member owner) {
        return new Request.UnresponsiveOwner(owner == null ? "" : owner.incarnation(), environment.now());
    }

    /**
     * Forgets unresponsive owners that have been replaced or skipped for long enough. Returns whether there were any:
     * the request should then be repeated, with all zones open to it again. Otherwise it could wait in a zone that will
     * get no instance while the owner of a zone with instances has long been replaced or runs again.
     */
    private boolean forgetOldUnresponsiveOwners(Request request) {
        return request.unresponsiveOwners.entrySet().removeIf(entry -> {
            Member owner = cluster.owner(request.service, entry.getKey());
            Request.UnresponsiveOwner unresponsive = entry.getValue();
            if (owner == null) {
                return false;
            }
            boolean stillSkipped = environment.now() - unresponsive.detectedAt() < heartbeatNanos / 2
                    || skippedUntil.getOrDefault(owner.incarnation(), 0L) > environment.now();
            return !owner.incarnation().equals(unresponsive.incarnation()) || !stillSkipped;
        });
    }

    /** Moves slot requests to other owners, since the connection to this host was lost. */
    void connectionLost(String host) {
        forEachPending(request -> {
            if (request.slotOwner.host().equals(host) && !cluster.isSelf(request.slotOwner)) {
                replyTimedOut(request, request.slotNumber);
            }
        });
    }

    /** Repeats slot requests whose owner has been replaced by the current members. */
    void ownersChanged() {
        forEachPending(request -> {
            Member owner = cluster.owner(request.service, request.slotOwner.zone());
            boolean isReplaced = owner == null || !owner.incarnation().equals(request.slotOwner.incarnation());
            if (forgetOldUnresponsiveOwners(request) || isReplaced) {
                requestAgain(request);
            }
        });
    }

    /** Forgets the state of former members. */
    void membersGone(Collection<Member> members) {
        members.forEach(member -> skippedUntil.remove(member.incarnation()));
    }

    @Override
    public void granted(long number, Instance instance) {
        Request request = pending.get(number);
        if (request == null) {
            return; // it was cancelled, and its owner has been informed
        }
        if (environment.now() >= request.deadline) { // after a pause of this process: too late to start an attempt
            callbacks.rejected(request, 0, "deadline exceeded");
            return;
        }
        pending.remove(number);
        request.cancelReplyTimer.run();
        request.slotNumber = 0;
        callbacks.granted(request, instance, number);
    }

    @Override
    public void queued(long number) {
        Request request = pending.get(number);
        if (request == null) {
            return;
        }
        if (rejectsQueued) {
            rejectQueued(request);
            return;
        }
        request.cancelReplyTimer.run();
        request.cancelReplyTimer = environment.schedule(heartbeatNanos, () -> replyTimedOut(request, number));
        if (forgetOldUnresponsiveOwners(request)) {
            requestAgainAfter(0, request, number); // not now: the owner may be this proxy, iterating over its queue
        }
    }

    @Override
    public void redirected(long number, String zone) {
        Request request = pending.get(number);
        if (request == null) {
            return;
        }
        Member owner = cluster.owner(request.service, zone);
        if (owner == null || request.unresponsiveOwners.containsKey(zone)) {
            request.unresponsiveOwners.putIfAbsent(zone, unresponsive(owner));
            requestAgain(request);
            return;
        }
        pending.remove(number);
        request.cancelReplyTimer.run();
        request.slotOwner = owner;
        assignNumber(request);
        request.zoneHops++;
        send(request, false);
    }

    @Override
    public void rejected(long number, long retryAfterMillis) {
        Request request = pending.get(number);
        if (request != null) {
            callbacks.rejected(request, retryAfterMillis, "no instance can take the request in time");
        }
    }

    @Override
    public void notOwner(long number) {
        Request request = pending.get(number);
        if (request != null) {
            request.unresponsiveOwners.put(
                    cluster.zone(), unresponsive(cluster.owner(request.service, cluster.zone())));
            requestAgainAfter(NOT_OWNER_RETRY_DELAY_NANOS, request, number);
        }
    }
}
