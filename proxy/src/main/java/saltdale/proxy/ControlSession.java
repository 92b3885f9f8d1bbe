package saltdale.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.control.Counter;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.ConfigurationOffer;
import saltdale.control.message.SessionMessage.InstancesNews;
import saltdale.control.message.SessionMessage.LeaseGrant;
import saltdale.control.message.SessionMessage.LeaseOver;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.MembersChange;
import saltdale.control.message.SessionMessage.News;
import saltdale.control.message.SessionMessage.QuorumLost;
import saltdale.control.message.SessionMessage.SnapshotPart;
import saltdale.control.message.SessionMessage.SnapshotRequest;

/**
 * A proxy's tie to the core: it renews its lease at one control node and takes its news there, and goes on to
 * another when
 * that one is silent or has lost the majority.
 */
final class ControlSession {
    /** What control nodes tell, in the order in which they sent it. */
    interface Reader {
        /** A newer configuration, whole, as fields and lists. */
        void configuration(Map<String, Object> whole);

        /** All members as they are now. */
        void members(List<Member> members);

        /** Instances of services that we own, those that changed. */
        void instances(List<Instance> instances);

        /** A session begins: what was told before about instances is told again. */
        void begins();

        /** Our lease is over: we are another member now. */
        void over();
    }

    private final Environment environment;
    private final ProxySettings proxySettings;
    private final Reader reader;
    private final ConfigurationReplica configuration = new ConfigurationReplica();
    private final MembersReplica members = new MembersReplica();
    private final Set<String> controlNodes = new LinkedHashSet<>();
    private final Map<Long, Long> sentAt = new LinkedHashMap<>();
    private String life;
    private String controlNode;
    private String session = "";
    private long count;
    private long news; // of this session, so many came
    private boolean granted; // in this session
    private boolean fetches; // the parts of a snapshot
    private long fetchedAt; // when the last part was asked for
    private long heardAt;
    private long renewedAt;
    private long leaseUntil = Long.MIN_VALUE / 2; // counted from when that was sent which a control node answered
    private int alone; // so often in a row it had no majority
    private boolean leaving;

    ControlSession(Environment environment, ProxySettings proxySettings, Reader reader) {
        this.environment = environment;
        this.proxySettings = proxySettings;
        this.reader = reader;
        controlNodes.addAll(proxySettings.seeds());
        life = fresh();
    }

    private String fresh() {
        return Long.toString(environment.chance().nextLong() >>> 1, 36);
    }

    String life() {
        return life;
    }

    String controlNode() {
        return controlNode;
    }

    boolean hasLease() {
        return environment.now() < leaseUntil;
    }

    void begin() {
        move("it begins");
        turn();
    }

    private void turn() {
        long now = environment.now();
        if (now - heardAt > proxySettings.heartbeat() * 2 / 3) {
            move("silent for " + (now - heardAt) / 1_000_000 + " ms");
        }
        // Until the first grant has come it asks more often: a control node may start later than we do.
        if (!granted || now - renewedAt >= proxySettings.heartbeat() / 4) {
            renew();
        }
        if (fetches && now - fetchedAt >= proxySettings.heartbeat() / 4) {
            fetch(); // what was asked for, or the answer, is lost
        }
        environment.after(proxySettings.heartbeat() / 8, this::turn);
    }

    /** Another control node, another session; {@code cause}: for the log. */
    private void move(String cause) {
        List<String> all = new ArrayList<>(controlNodes);
        all.remove(controlNode);
        if (!all.isEmpty()) {
            String left = controlNode;
            controlNode = all.get(environment.chance().nextInt(all.size()));
            environment.note("goes to control node " + controlNode + ", left " + left + ": " + cause + "; knows "
                    + controlNodes + ", lease " + (hasLease() ? "held" : "over"));
            environment.counters().count(Counter.CONTROL_NODE_CHANGES);
        }
        alone = 0;
        resume();
    }

    /** A new session: the control node is told what we have, and tells what differs from that. */
    private void resume() {
        session = fresh();
        news = 0;
        granted = false;
        fetches = false;
        heardAt = environment.now();
        sentAt.clear();
        environment.counters().count(Counter.SESSIONS_BEGUN);
        reader.begins();
    }

    private void renew() {
        if (controlNode == null) {
            return;
        }
        long now = environment.now();
        renewedAt = now;
        sentAt.put(++count, now);
        sentAt.values().removeIf(at -> now - at > 4 * proxySettings.heartbeat());
        environment.send(
                controlNode,
                new LeaseRenewal(
                        new Member(life, proxySettings.name(), proxySettings.zone(), proxySettings.host(), leaving),
                        count,
                        session,
                        configuration.revision(),
                        granted ? "" : configuration.digest(),
                        granted ? "" : members.digest()));
    }

    /** Tells at once that nothing new is to come here. */
    void leave() {
        leaving = true;
        renew();
    }

    /** Takes a message of a control node. */
    void message(String from, SessionMessage message) throws MalformedMessage {
        if (message instanceof QuorumLost) {
            // The control node has just lost its majority: another may know of newer versions.
            if (from.equals(controlNode)) {
                move("it has lost its quorum");
                renew();
            }
        } else if (message instanceof LeaseGrant grant) {
            granted(from, grant);
        } else if (message instanceof LeaseOver over) {
            if (sentAt.remove(over.count()) != null && from.equals(controlNode)) {
                over();
            }
        } else if (message instanceof News news && news.session().equals(session) && from.equals(controlNode)) {
            told(news);
        } else if (message instanceof SnapshotPart part
                && fetches
                && part.session().equals(session)
                && from.equals(controlNode)) {
            fetched(part);
        }
    }

    private void told(News message) throws MalformedMessage {
        if (message.number() != news + 1) {
            begin("news " + message.number() + " came after " + news);
            return;
        }
        news++;
        try {
            take(message);
        } catch (MalformedMessage e) {
            begin("news " + message.number() + " cannot be taken");
            throw e;
        }
    }

    private void take(News message) throws MalformedMessage {
        if (message instanceof ConfigurationChange change) {
            changed(change);
        } else if (message instanceof ConfigurationOffer) {
            fetches = true;
            fetch();
        } else if (message instanceof MembersChange change) {
            if (members.change(change)) {
                reader.members(members.all());
            } else {
                begin("the members told have another digest");
            }
        } else if (message instanceof InstancesNews told) {
            reader.instances(told.instances());
        }
    }

    /** A new session at the same control node, since this one has a fault. */
    private void begin(String fault) {
        environment.note(fault);
        resume();
        renew();
    }

    private void changed(ConfigurationChange change) throws MalformedMessage {
        switch (configuration.change(change)) {
            case TAKEN -> reader.configuration(configuration.tree().whole());
            case REFUSED ->
                begin("the change to configuration " + change.revision() + " does not fit " + configuration.revision());
            default -> {}
        }
    }

    /** Asks for the next part of a snapshot; one at a time, so that other messages go between them. */
    private void fetch() {
        fetchedAt = environment.now();
        environment.send(
                controlNode,
                new SnapshotRequest(life, session, configuration.snapshotDigest(), configuration.snapshotOffset()));
    }

    private void fetched(SnapshotPart part) throws MalformedMessage {
        heardAt = environment.now();
        int before = configuration.snapshotOffset();
        if (configuration.part(part)) {
            fetches = false;
            reader.configuration(configuration.tree().whole());
        } else if (configuration.snapshotOffset() != before) {
            fetch();
        }
    }

    private void over() {
        life = fresh();
        leaseUntil = Long.MIN_VALUE / 2;
        environment.note("the lease is over; a new life: " + life);
        reader.over();
        resume();
        renew();
    }

    private void granted(String from, LeaseGrant grant) {
        Long sent = sentAt.remove(grant.count());
        if (!from.equals(controlNode) || sent == null) {
            return;
        }
        if (!grant.hasQuorum()) {
            alone++;
            environment.counters().count(Counter.GRANTS_WITHOUT_QUORUM);
            environment.note("control node " + from + " has no quorum");
            if (alone > 1) { // it may not know what is in force
                move("it has no quorum");
                renew();
            }
            return;
        }
        alone = 0;
        heardAt = environment.now();
        granted |= grant.session().equals(session);
        leaseUntil = Math.max(leaseUntil, sent + grant.validMillis() * 1_000_000);
        controlNodes.addAll(grant.controlHosts());
        if (grant.session().equals(session) && grant.newsSent() != news) {
            environment.note(grant.newsSent() + " news were sent, " + news + " came");
            resume();
            renew();
        }
    }
}
