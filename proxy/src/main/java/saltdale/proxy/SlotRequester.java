package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Member;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotRequest;

/**
 * Asks owners for slots: the owner in this proxy's zone, or one in another zone where ours does not answer. An owner
 * answers at once, if only that the request waits; one that stays silent is passed by for a while.
 */
final class SlotRequester implements SlotAnswers {
    /** What becomes of a request that asked for a slot. */
    interface Outcome {
        void granted(Request request, Instance instance, long number);

        void refused(Request request, long pauseMillis, String why);
    }

    private static final long NO_OWNER_PAUSE_MILLIS = 500;
    private static final long NOT_OWNED_PAUSE = Environment.millisToNanos(20);

    private final Environment environment;
    private final ClusterView cluster;
    private final OwnedServices ownedServices;
    private final Outcome outcome;
    private final long heartbeat;
    private final Map<Long, Request> asking = new HashMap<>(); // by the number of the question
    private final Map<String, Long> silentUntil = new HashMap<>(); // by the life of a member that did not answer
    private long asked;
    private boolean refusesWaiting;

    SlotRequester(
            Environment environment,
            ClusterView cluster,
            OwnedServices ownedServices,
            Outcome outcome,
            long heartbeat) {
        this.environment = environment;
        this.cluster = cluster;
        this.ownedServices = ownedServices;
        this.outcome = outcome;
        this.heartbeat = heartbeat;
    }

    int asking() {
        return asking.size();
    }

    /** From now on what would have to wait for a slot is refused, and what waits already. */
    void refuseWaiting() {
        refusesWaiting = true;
        List.copyOf(asking.values()).forEach(this::refuseWaiting);
    }

    private void refuseWaiting(Request request) {
        outcome.refused(request, 50, "the proxy ends");
    }

    /** Asks for a slot for this request. */
    void ask(Request request) {
        Member owner = ownerFor(request);
        request.owner = owner;
        if (owner == null) {
            outcome.refused(request, NO_OWNER_PAUSE_MILLIS, "nobody grants slots of this service");
            return;
        }
        number(request);
        boolean away = !owner.zone().equals(cluster.zone());
        boolean reachesAll = request.silentOwners.isEmpty();
        boolean counts = request.attempts == 0 && reachesAll && !away || away && !reachesAll;
        request.hops = reachesAll ? 0 : SlotAllocator.MOST_HOPS;
        send(request, counts);
    }

    private void number(Request request) {
        long number = ++asked;
        request.slotNumber = number;
        request.slotKey = SlotClaim.key(cluster.life(), number);
        asking.put(number, request);
        request.answerTimer = environment.schedule(heartbeat / 10, () -> unanswered(request, number));
    }

    private void send(Request request, boolean counts) {
        long now = environment.now();
        if (cluster.isSelf(request.owner)) {
            ownedServices.request(
                    new SlotClaim(
                            request.slotKey,
                            cluster.life(),
                            null,
                            request.slotNumber,
                            cluster.zone(),
                            request.deadline,
                            request.targetAt,
                            request.priority,
                            request.avoidedInstances,
                            request.hops),
                    request.service,
                    counts);
        } else {
            environment.send(
                    request.owner.host(),
                    new SlotRequest(
                            request.slotNumber,
                            request.service,
                            cluster.life(),
                            cluster.zone(),
                            (request.deadline - now) / 1_000_000,
                            (request.targetAt - now) / 1_000_000,
                            request.priority,
                            counts,
                            request.hops,
                            List.copyOf(request.avoidedInstances)));
        }
    }

    private Member ownerFor(Request request) {
        Member own = cluster.owner(request.service, cluster.zone());
        if (isUsable(own, request)) {
            return own;
        }
        List<Member> far = new ArrayList<>();
        for (String zone :
                cluster.members().stream().map(Member::zone).distinct().toList()) {
            Member each = cluster.owner(request.service, zone);
            if (isUsable(each, request)) {
                far.add(each);
            }
        }
        return far.isEmpty() ? own : far.get(environment.random().nextInt(far.size()));
    }

    private boolean isUsable(Member owner, Request request) {
        if (owner == null || request.silentOwners.containsKey(owner.zone())) {
            return false;
        }
        return cluster.isSelf(owner)
                ? cluster.hasLease()
                : silentUntil.getOrDefault(owner.incarnation(), 0L) <= environment.now();
    }

    /** The request asks no longer; what it may have been granted meanwhile is given back. */
    void stop(Request request) {
        if (request.slotNumber == 0) {
            return;
        }
        asking.remove(request.slotNumber);
        request.answerTimer.run();
        if (cluster.isSelf(request.owner)) {
            ownedServices.cancel(request.service, request.slotKey);
        } else {
            environment.send(request.owner.host(), new SlotCancel(request.service, request.slotKey));
        }
        request.slotNumber = 0;
    }

    private void askAgain(Request request) {
        if (!request.over) {
            stop(request);
            ask(request);
        }
    }

    private void askAgainAfter(long nanos, Request request, long number) {
        environment.schedule(nanos, () -> {
            if (request.slotNumber == number) {
                askAgain(request);
            }
        });
    }

    /** After this proxy stood still the slots that it asked for may have been granted and taken back. */
    void askAllAgain() {
        List.copyOf(asking.values()).forEach(this::askAgain);
    }

    private void unanswered(Request request, long number) {
        if (request.slotNumber == number) {
            if (!cluster.isSelf(request.owner)) {
                silentUntil.put(request.owner.incarnation(), environment.now() + heartbeat / 2);
            }
            request.silentOwners.put(request.owner.zone(), silent(request.owner));
            askAgain(request);
        }
    }

    private Request.SilentOwner silent(Member owner) {
        return new Request.SilentOwner(owner == null ? "" : owner.incarnation(), environment.now());
    }

    /**
     * Whether an owner that did not answer this request may answer it now: another owns the service there by now, or it
     * was passed by for long enough. The request then asks all zones again. Guards against a request that waits, where
     * no instance is to come, for those of an owner that has long been replaced or goes on.
     */
    private boolean reachesMore(Request request) {
        return request.silentOwners.entrySet().removeIf(entry -> {
            Member owner = cluster.owner(request.service, entry.getKey());
            Request.SilentOwner silent = entry.getValue();
            if (owner == null) {
                return false;
            }
            boolean passedBy = environment.now() - silent.at() < heartbeat / 2
                    || silentUntil.getOrDefault(owner.incarnation(), 0L) > environment.now();
            return !owner.incarnation().equals(silent.life()) || !passedBy;
        });
    }

    /** A connection to another process has ended: what was asked there is asked elsewhere. */
    void unreachable(String host) {
        for (Request request : List.copyOf(asking.values())) {
            if (request.owner.host().equals(host) && !cluster.isSelf(request.owner)) {
                unanswered(request, request.slotNumber);
            }
        }
    }

    /** The members have changed: who waits at a member that is owner no longer asks the new one. */
    void ownersChanged() {
        for (Request request : List.copyOf(asking.values())) {
            Member owner = cluster.owner(request.service, request.owner.zone());
            boolean isReplaced = owner == null || !owner.incarnation().equals(request.owner.incarnation());
            if (reachesMore(request) || isReplaced) {
                askAgain(request);
            }
        }
    }

    /** These are members no longer. */
    void gone(Collection<Member> members) {
        members.forEach(member -> silentUntil.remove(member.incarnation()));
    }

    @Override
    public void granted(long number, Instance instance) {
        Request request = asking.get(number);
        if (request == null) {
            return; // its owner has been told that it asks no longer
        }
        if (environment.now() >= request.deadline) { // after a standstill: nothing is begun that cannot be answered
            outcome.refused(request, 0, "not done in time");
            return;
        }
        asking.remove(number);
        request.answerTimer.run();
        request.slotNumber = 0;
        outcome.granted(request, instance, number);
    }

    @Override
    public void queued(long number) {
        Request request = asking.get(number);
        if (request == null) {
            return;
        }
        if (refusesWaiting) {
            refuseWaiting(request);
            return;
        }
        request.answerTimer.run();
        request.answerTimer = environment.schedule(heartbeat, () -> unanswered(request, number));
        if (reachesMore(request)) {
            askAgainAfter(0, request, number); // not now: its owner may be this proxy, going through what waits
        }
    }

    @Override
    public void elsewhere(long number, String zone) {
        Request request = asking.get(number);
        if (request == null) {
            return;
        }
        Member there = cluster.owner(request.service, zone);
        if (there == null || request.silentOwners.containsKey(zone)) {
            request.silentOwners.putIfAbsent(zone, silent(there));
            askAgain(request);
            return;
        }
        asking.remove(number);
        request.answerTimer.run();
        request.owner = there;
        number(request);
        request.hops++;
        send(request, false);
    }

    @Override
    public void refused(long number, long pauseMillis) {
        Request request = asking.get(number);
        if (request != null) {
            outcome.refused(request, pauseMillis, "no instance can take it in time");
        }
    }

    @Override
    public void notOwned(long number) {
        Request request = asking.get(number);
        if (request != null) {
            request.silentOwners.put(cluster.zone(), silent(cluster.owner(request.service, cluster.zone())));
            askAgainAfter(NOT_OWNED_PAUSE, request, number);
        }
    }
}
