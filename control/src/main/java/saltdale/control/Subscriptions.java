package saltdale.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.InstancesChange;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.MembersChange;
import saltdale.control.message.SessionMessage.SessionUpdate;
import saltdale.control.message.SessionMessage.SnapshotPart;
import saltdale.control.message.SessionMessage.SnapshotRequest;

/**
 * The sessions of the proxies that receive their news from this control node; each proxy is sent what it does not have
 * yet. When a session begins, the proxy reports which configuration and members it has; from then on it is sent the
 * differences. A proxy whose base is not known here is offered a snapshot and fetches it in parts, one at a time, so
 * that leases and news still get through between them on the slowest link.
 */
final class Subscriptions {
    /** The number of bytes of a snapshot that are sent at once. */
    private static final int SNAPSHOT_PART_BYTES = 8192;

    /** Creates a news message of a session, given its sequence number. */
    private interface NewsFactory {
        SessionUpdate create(long number);
    }

    /** The session of one proxy, and what it has been sent. */
    private static final class Subscriber {
        final String host;
        final String session;
        Member member;
        long lastRenewalAt;
        long newsSent; // number of news messages sent in this session
        long revision; // of the configuration that it has once it has processed all it was sent
        String digest;
        boolean fetchingSnapshot; // it was offered a snapshot, and has not been sent the last part yet
        MembershipTable.View knownMembers; // the members it was sent; null if it knows none
        long instancesEdition = -1; // the edition of the instance table sent last; -1 if none was sent
        long membersEdition = -1; // the edition of the membership by which its instances were selected
        final Map<String, Instance.Phase> sentPhases = new HashMap<>(); // the phase sent last, by instance

        Subscriber(String host, String session) {
            this.host = host;
            this.session = session;
        }
    }

    private final Environment environment;
    private final ControlNodeSettings settings;
    private final ConfigurationHistory configurations;
    private final MembershipTable members;
    private final InstanceTable instances;
    private final BooleanSupplier isCurrent;
    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>(); // by incarnation
    private final Map<String, String> owners = new HashMap<>(); // incarnations, by service and zone
    private long ownersEdition = -1; // the edition of the membership for which owners holds

    /** {@code isCurrent}: whether the data of this node is the newest, as far as its lease guarantees that. */
    Subscriptions(
            Environment environment,
            ControlNodeSettings settings,
            ConfigurationHistory configurations,
            MembershipTable members,
            InstanceTable instances,
            BooleanSupplier isCurrent) {
        this.environment = environment;
        this.settings = settings;
        this.configurations = configurations;
        this.members = members;
        this.instances = instances;
        this.isCurrent = isCurrent;
    }

    /** Handles a lease renewal of a member; returns how many news messages its session was sent. */
    long onRenewal(String fromHost, LeaseRenewal renewal) {
        String incarnation = renewal.member().incarnation();
        Subscriber subscriber = subscribers.get(incarnation);
        if (subscriber == null || !subscriber.session.equals(renewal.session())) {
            subscriber = new Subscriber(fromHost, renewal.session());
            subscriber.revision = renewal.revision();
            subscriber.digest = renewal.digest();
            subscriber.knownMembers = members.recentView(renewal.membersDigest());
            subscribers.put(incarnation, subscriber);
        }
        subscriber.member = renewal.member();
        subscriber.lastRenewalAt = environment.now();
        publish(subscriber);
        return subscriber.newsSent;
    }

    /** Sends the part of a snapshot that a proxy requests, and after the last part whatever has changed since. */
    void onSnapshotRequest(SnapshotRequest request) {
        Subscriber subscriber = subscribers.get(request.incarnation());
        boolean isKnownSession = subscriber != null && subscriber.session.equals(request.session());
        // No outdated data is sent; the proxy requests it again, here or elsewhere.
        if (!isKnownSession
                || configurations.newest() == null
                || configurations.isOutdated()
                || !isCurrent.getAsBoolean()) {
            return;
        }
        ConfigurationSnapshot snapshot = configurations.snapshot(request.digest());
        byte[] bytes = snapshot.bytes();
        boolean continues = snapshot.digest().equals(request.digest()) && request.offset() < bytes.length;
        int offset = continues ? request.offset() : 0;
        int end = Math.min(bytes.length, offset + SNAPSHOT_PART_BYTES);
        if (!isCurrent.getAsBoolean()) {
            return; // the quorum was lost while the snapshot was made
        }
        checkQuorum("a snapshot");
        environment.send(
                subscriber.host,
                new SnapshotPart(
                        subscriber.session,
                        snapshot.digest(),
                        offset,
                        bytes.length,
                        Arrays.copyOfRange(bytes, offset, end)));
        if (end == bytes.length && subscriber.fetchingSnapshot) {
            subscriber.fetchingSnapshot = false;
            subscriber.revision = snapshot.revision();
            subscriber.digest = snapshot.treeDigest();
            publish(subscriber);
        }
    }

    /** Ends the session of a member whose lease is over. */
    void endSession(String incarnation) {
        subscribers.remove(incarnation);
    }

    /**
     * Sends a message to all proxies: that this control node may no longer know the newest state, or that it is
     * shutting down.
     */
    void broadcast(SessionMessage message) {
        subscribers.values().forEach(subscriber -> environment.send(subscriber.host, message));
    }

    /** Sends every proxy what has changed for it. */
    void publish() {
        long now = environment.now();
        subscribers.values().removeIf(subscriber -> now - subscriber.lastRenewalAt > 4 * settings.heartbeatNanos());
        subscribers.values().forEach(this::publish);
    }

    /** Sends a proxy what has changed for it; a failure must not keep the others, or its lease, waiting. */
    private void publish(Subscriber subscriber) {
        environment.runGuarded(() -> publishNews(subscriber));
    }

    private void publishNews(Subscriber subscriber) {
        if (configurations.newestAgreedRevision() < 0) {
            return; // before the first configuration there is nothing to serve
        }
        // Without a majority no outdated data is sent. Instances are: the platform itself reports those.
        if (isCurrent.getAsBoolean()) {
            publishConfiguration(subscriber);
            MembershipTable.View present = members.view();
            if (subscriber.knownMembers != present) {
                publishMembers(subscriber, present);
            }
        }
        if (subscriber.instancesEdition != instances.changeNumber() || subscriber.membersEdition != members.edition()) {
            publishInstances(subscriber);
        }
    }

    private void publishConfiguration(Subscriber subscriber) {
        if (subscriber.fetchingSnapshot) {
            return;
        } else if (configurations.isOutdated()) {
            // Until a version that can be sent is agreed on, the proxy must know that it lacks the newest one.
            offerSnapshot(subscriber, configurations.newestAgreedRevision());
            return;
        }
        ConfigurationTree newest = configurations.newest();
        boolean isUpToDate = subscriber.revision == newest.revision() && subscriber.digest.equals(newest.digest());
        if (isUpToDate || subscriber.revision > newest.revision()) {
            return;
        }
        long base = subscriber.revision;
        String baseDigest = subscriber.digest;
        Map<String, Object> change = configurations.changeSince(base, baseDigest);
        if (change == null) {
            offerSnapshot(subscriber, newest.revision());
            return;
        }
        boolean sent = sendNews(
                subscriber,
                number -> new ConfigurationChange(
                        subscriber.session, number, base, baseDigest, newest.revision(), newest.digest(), change));
        if (sent) {
            subscriber.revision = newest.revision();
            subscriber.digest = newest.digest();
        }
    }

    private void offerSnapshot(Subscriber subscriber, long revision) {
        subscriber.fetchingSnapshot =
                sendNews(subscriber, number -> new ConfigurationOffer(subscriber.session, number, revision));
    }

    private void publishMembers(Subscriber subscriber, MembershipTable.View present) {
        Map<String, Member> before =
                subscriber.knownMembers == null ? Map.of() : subscriber.knownMembers.byIncarnation();
        List<Member> changed = present.byIncarnation().values().stream()
                .filter(member -> !member.equals(before.get(member.incarnation())))
                .toList();
        List<String> gone = before.keySet().stream()
                .filter(incarnation -> !present.byIncarnation().containsKey(incarnation))
                .toList();
        boolean isComplete = before.isEmpty();
        boolean isNews = isComplete || !changed.isEmpty() || !gone.isEmpty();
        if (!isNews
                || sendNews(
                        subscriber,
                        number -> new MembersChange(
                                subscriber.session, number, isComplete, changed, gone, present.digest()))) {
            subscriber.knownMembers = present;
        }
    }

    /** Sends a proxy the instances of the services that it owns. */
    private void publishInstances(Subscriber subscriber) {
        // Instances that went while the proxy had no session are sent too: it may still use them.
        boolean isFirstUpdate = subscriber.instancesEdition < 0;
        boolean membersChanged = subscriber.membersEdition != members.edition();
        List<Instance> candidates =
                membersChanged ? new ArrayList<>(instances.all()) : instances.changedAfter(subscriber.instancesEdition);
        List<Instance> news = new ArrayList<>();
        for (Instance instance : candidates) {
            boolean owns = owns(instance.service(), subscriber.member.zone(), subscriber)
                    || owns(instance.service(), instance.zone(), subscriber);
            Instance.Phase sentPhase = subscriber.sentPhases.get(instance.id());
            boolean isRelevant = isFirstUpdate || sentPhase != null || instance.phase() != Instance.Phase.GONE;
            if (owns && isRelevant && instance.phase() != sentPhase) {
                subscriber.sentPhases.put(instance.id(), instance.phase());
                news.add(instance);
            } else if (!owns && sentPhase != null) {
                // The next owner is sent the instance; this proxy drops it together with its services.
                subscriber.sentPhases.remove(instance.id());
            }
        }
        subscriber.instancesEdition = instances.changeNumber();
        subscriber.membersEdition = members.edition();
        if (!news.isEmpty()) {
            sendNews(subscriber, number -> new InstancesChange(subscriber.session, number, news));
        }
    }

    /** Whether the subscriber owns a service in a zone. */
    private boolean owns(String service, String zone, Subscriber subscriber) {
        if (ownersEdition != members.edition()) {
            ownersEdition = members.edition();
            owners.clear();
        }
        String owner = owners.computeIfAbsent(service + "@" + zone, key -> {
            Member member = ServiceOwnership.ownerOf(service, zone, members.members());
            return member == null ? "" : member.incarnation();
        });
        return owner.equals(subscriber.member.incarnation());
    }

    /**
     * Sends news, unless they need a quorum and it was lost while they were made, which takes long if the process is
     * stopped meanwhile. Returns whether they were sent; if not, they are made again once there is a quorum.
     */
    private boolean sendNews(Subscriber subscriber, NewsFactory newsFactory) {
        SessionUpdate news = newsFactory.create(subscriber.newsSent + 1);
        boolean needsQuorum = !(news instanceof InstancesChange);
        if (needsQuorum && !isCurrent.getAsBoolean()) {
            return false;
        }
        subscriber.newsSent++;
        if (needsQuorum) {
            checkQuorum(news.kind().name());
        }
        environment.send(subscriber.host, news);
        return true;
    }

    private void checkQuorum(String subject) {
        environment.check(
                Invariant.NEWS_WITH_QUORUM, isCurrent.getAsBoolean(), () -> "sends " + subject + " without a quorum");
    }
}
