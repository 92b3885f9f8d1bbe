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
 * The sessions of the proxies that take their news from this control node: each is sent what it does not have yet. Of
 * the configuration and the members a proxy tells, when a session begins, what it has; from then on it is told what
 * differs. Who has no base that is known here is offered a snapshot and fetches it in parts, one at a time, so that
 * leases and news go between them on the narrowest link.
 */
final class Subscriptions {
    /** So many bytes of a snapshot go at once. */
    private static final int PART = 8192;

    /** Makes one piece of news of a session, given its number. */
    private interface Numbered {
        SessionUpdate of(long number);
    }

    private static final class Subscriber {
        final String host;
        final String session;
        Member member;
        long heardAt;
        long sent; // pieces of news in this session
        long revision; // of the configuration that it has once it has read all that it was sent
        String digest;
        boolean fetches; // it was offered a snapshot, and has not been sent the last part
        MembershipTable.View members; // that it was told; null where it knows none
        long instances = -1; // the edition of the instances
        long ownedOf = -1; // the edition of the membership by which its instances were chosen
        final Map<String, Instance.Phase> told = new HashMap<>(); // by instance

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
    private final Map<String, Subscriber> subscribers = new LinkedHashMap<>(); // by life
    private final Map<String, String> owners = new HashMap<>(); // lives, by service and zone
    private long ownersOf = -1; // the edition of the membership by which these are the owners

    /** {@code isCurrent}: whether what is known here is the newest, as far as the lease goes. */
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

    /** A member has renewed its lease here; returns how many pieces of news its session was sent. */
    long renewed(String fromHost, LeaseRenewal renewal) {
        String life = renewal.member().life();
        Subscriber subscriber = subscribers.get(life);
        if (subscriber == null || !subscriber.session.equals(renewal.session())) {
            subscriber = new Subscriber(fromHost, renewal.session());
            subscriber.revision = renewal.revision();
            subscriber.digest = renewal.digest();
            subscriber.members = members.known(renewal.membersDigest());
            subscribers.put(life, subscriber);
        }
        subscriber.member = renewal.member();
        subscriber.heardAt = environment.now();
        publish(subscriber);
        return subscriber.sent;
    }

    /** Sends the part of a snapshot that a proxy asks for, and behind the last part what has changed since. */
    void requested(SnapshotRequest request) {
        Subscriber to = subscribers.get(request.incarnation());
        boolean known = to != null && to.session.equals(request.session());
        // Without a majority nothing old is handed out: the proxy asks again, here or elsewhere.
        if (!known || configurations.newest() == null || !isCurrent.getAsBoolean()) {
            return;
        }
        ConfigurationSnapshot snapshot = configurations.snapshot(request.digest());
        byte[] bytes = snapshot.bytes();
        boolean continues = snapshot.digest().equals(request.digest()) && request.offset() < bytes.length;
        int offset = continues ? request.offset() : 0;
        int end = Math.min(bytes.length, offset + PART);
        checkQuorum("a snapshot");
        environment.send(
                to.host,
                new SnapshotPart(
                        to.session, snapshot.digest(), offset, bytes.length, Arrays.copyOfRange(bytes, offset, end)));
        if (end == bytes.length && to.fetches) {
            to.fetches = false;
            to.revision = snapshot.tree().revision();
            to.digest = snapshot.tree().digest();
            publish(to);
        }
    }

    /** The life is over: it takes no more news. */
    void end(String life) {
        subscribers.remove(life);
    }

    /** Sends this to all: that this control node may not know the newest any more, or that it ends. */
    void tellAll(SessionMessage message) {
        subscribers.values().forEach(subscriber -> environment.send(subscriber.host, message));
    }

    /** Sends each what has changed for it. */
    void publish() {
        long now = environment.now();
        subscribers.values().removeIf(subscriber -> now - subscriber.heardAt > 4 * settings.heartbeat());
        subscribers.values().forEach(this::publish);
    }

    private void publish(Subscriber to) {
        if (configurations.newest() == null) {
            return;
        }
        // Without a majority nothing old is handed out; instances are: the platform tells of those itself.
        if (isCurrent.getAsBoolean()) {
            publishConfiguration(to);
            MembershipTable.View present = members.view();
            if (to.members != present) {
                publishMembers(to, present);
            }
        }
        if (to.instances != instances.changeNumber() || to.ownedOf != members.edition()) {
            publishInstances(to);
        }
    }

    private void publishConfiguration(Subscriber to) {
        ConfigurationTree newest = configurations.newest();
        boolean current = to.revision == newest.revision() && to.digest.equals(newest.digest());
        if (current || to.fetches || to.revision > newest.revision()) {
            return;
        }
        long base = to.revision;
        String baseDigest = to.digest;
        Map<String, Object> change = configurations.changeSince(base, baseDigest);
        if (change == null) {
            to.fetches = true;
            tell(to, number -> new ConfigurationOffer(to.session, number, newest.revision()));
            return;
        }
        to.revision = newest.revision();
        to.digest = newest.digest();
        tell(
                to,
                number ->
                        new ConfigurationChange(to.session, number, base, baseDigest, to.revision, to.digest, change));
    }

    private void publishMembers(Subscriber to, MembershipTable.View present) {
        Map<String, Member> before = to.members == null ? Map.of() : to.members.byLife();
        to.members = present;
        List<Member> changed = present.byLife().values().stream()
                .filter(member -> !member.equals(before.get(member.life())))
                .toList();
        List<String> gone = before.keySet().stream()
                .filter(life -> !present.byLife().containsKey(life))
                .toList();
        boolean whole = before.isEmpty();
        if (whole || !changed.isEmpty() || !gone.isEmpty()) {
            tell(to, number -> new MembersChange(to.session, number, whole, changed, gone, present.digest()));
        }
    }

    /** Of the instances, a proxy is told those of services that it owns. */
    private void publishInstances(Subscriber to) {
        boolean first = to.instances < 0; // what went while it had no session is told too: it may still count on it
        boolean moved = to.ownedOf != members.edition();
        List<Instance> candidates = moved ? new ArrayList<>(instances.all()) : instances.changedAfter(to.instances);
        List<Instance> news = new ArrayList<>();
        for (Instance instance : candidates) {
            boolean owns =
                    owns(instance.service(), to.member.zone(), to) || owns(instance.service(), instance.zone(), to);
            Instance.Phase told = to.told.get(instance.id());
            boolean matters = first || told != null || instance.phase() != Instance.Phase.GONE;
            if (owns && matters && instance.phase() != told) {
                to.told.put(instance.id(), instance.phase());
                news.add(instance);
            } else if (!owns && told != null) {
                to.told.remove(instance.id()); // its next owner is told; this one forgets it with its services
            }
        }
        to.instances = instances.changeNumber();
        to.ownedOf = members.edition();
        if (!news.isEmpty()) {
            tell(to, number -> new InstancesChange(to.session, number, news));
        }
    }

    private boolean owns(String service, String zone, Subscriber who) {
        if (ownersOf != members.edition()) {
            ownersOf = members.edition();
            owners.clear();
        }
        String owner = owners.computeIfAbsent(service + "@" + zone, key -> {
            Member found = ServiceOwnership.ownerOf(service, zone, members.all());
            return found == null ? "" : found.life();
        });
        return owner.equals(who.member.life());
    }

    private void tell(Subscriber to, Numbered numbered) {
        SessionUpdate news = numbered.of(++to.sent);
        if (!(news instanceof InstancesChange)) {
            checkQuorum(news.kind().name());
        }
        environment.send(to.host, news);
    }

    private void checkQuorum(String what) {
        environment.check(Invariant.NEWS_WITH_QUORUM, isCurrent.getAsBoolean(), () -> "tells " + what + " without one");
    }
}
