package saltdale.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import saltdale.control.Counter;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.LeaseTimes;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;
import saltdale.control.message.ContactMessage;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SessionMessage.ControlNodeLeaves;
import saltdale.control.message.SessionMessage.LeaseGrant;
import saltdale.control.message.SessionMessage.LeaseOver;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.News;
import saltdale.control.message.SessionMessage.QuorumLost;
import saltdale.control.message.SessionMessage.SnapshotPart;

/**
 * A proxy's tie to the control plane: it renews its lease at one control node ({@link ControlNodeContact}) and takes
 * its news there, in sessions.
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

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Environment environment;
    private final ProxySettings settings;
    private final Reader reader;
    private final ControlNodeContact contact;
    private final SessionNews news;
    private final Map<Long, Long> sentAt = new LinkedHashMap<>(); // renewals, by count
    private String life;
    private String session = "";
    private long count;
    private boolean granted; // in this session
    private long renewedAt;
    private long leaseUntil = NEVER; // counted from when that was sent which a control node answered
    private long configurationKnownAt = NEVER; // all that was acknowledged before is in force here
    private long servedAt = NEVER; // when the last grant with a quorum came
    private boolean leaving;

    /** {@code fellowProxies}: hosts of the other proxies, as far as they are known. */
    ControlSession(
            Environment environment, ProxySettings settings, Reader reader, Supplier<List<String>> fellowProxies) {
        this.environment = environment;
        this.settings = settings;
        this.reader = reader;
        contact = new ControlNodeContact(environment, settings, fellowProxies, host -> beginAgain());
        news = new SessionNews(environment, reader, message -> environment.send(contact.host(), message));
        life = fresh();
    }

    private String fresh() {
        return Long.toString(environment.random().nextLong() >>> 1, 36);
    }

    String life() {
        return life;
    }

    /** The control node that is asked now; null before the first one is found. */
    String controlNode() {
        return contact.host();
    }

    boolean hasLease() {
        return environment.now() < leaseUntil;
    }

    /**
     * The moment before which every acknowledged configuration is in force here, or a later one; on the clock of
     * {@link Environment#now}.
     */
    long configurationKnownAt() {
        return configurationKnownAt;
    }

    /** When a control node with a quorum granted the lease the last time. */
    long servedAt() {
        return servedAt;
    }

    /** The settings name these control nodes now. */
    void seeds(List<String> hosts) {
        contact.seeds(hosts);
    }

    void begin() {
        turn();
    }

    private long renewEvery() {
        return settings.heartbeat() / 4;
    }

    private void turn() {
        environment.schedule(contact.turnEvery(), this::turn);
        contact.turn();
        // Until the first grant has come it asks more often: the question may be lost.
        if (!granted || environment.now() - renewedAt >= renewEvery()) {
            renew();
        }
        news.fetchAgainAfter(renewEvery());
    }

    /** A connection to this host has ended. */
    void unreachable(String host) {
        if (host.equals(contact.host()) && contact.disconnected()) {
            renew(); // it may be well: connections are reset for other reasons too
        }
    }

    /** Takes a question of a proxy that looks for a control node, or an answer to our own. */
    void message(String from, ContactMessage message) {
        contact.message(from, message);
    }

    // The session and its lease.

    /** A new session: the control node is told what we have, and tells what differs from that. */
    private void resume() {
        session = fresh();
        news.begin(session, life);
        granted = false;
        contact.serves();
        sentAt.clear();
        environment.counters().increment(Counter.SESSIONS_BEGUN);
        reader.begins();
    }

    /** A new session: at another control node, or since this one has a fault. */
    private void beginAgain() {
        resume();
        renew();
    }

    private void renew() {
        if (contact.host() == null) {
            return;
        }
        long now = environment.now();
        renewedAt = now;
        sentAt.put(++count, now);
        sentAt.values().removeIf(at -> now - at > 4 * settings.heartbeat());
        environment.send(
                contact.host(),
                new LeaseRenewal(
                        new Member(life, settings.name(), settings.zone(), settings.host(), leaving),
                        count,
                        session,
                        news.revision(),
                        granted ? "" : news.configurationDigest(),
                        granted ? "" : news.membersDigest()));
    }

    /** Tells at once that nothing new is to come here. */
    void leave() {
        leaving = true;
        renew();
    }

    /** Takes a message of a control node. */
    void message(String from, SessionMessage message) throws MalformedMessage {
        if (!from.equals(contact.host())) {
            return; // of one that was left
        }
        if (message instanceof QuorumLost) {
            contact.lostQuorum();
        } else if (message instanceof ControlNodeLeaves) {
            contact.leaves();
        } else if (message instanceof LeaseGrant grant) {
            granted(grant);
        } else if (message instanceof LeaseOver over) {
            if (sentAt.remove(over.count()) != null) {
                over();
            }
        } else if (message instanceof News told && told.session().equals(session)) {
            told(told);
        } else if (message instanceof SnapshotPart part
                && news.isFetching()
                && part.session().equals(session)) {
            contact.serves();
            news.take(part);
        }
    }

    private void told(News message) throws MalformedMessage {
        boolean fits = false;
        try {
            fits = news.take(message);
        } finally {
            if (!fits) {
                beginAgain();
            }
        }
    }

    private void over() {
        life = fresh();
        leaseUntil = NEVER;
        environment.log("the lease is over; a new life: " + life);
        reader.over();
        beginAgain();
    }

    private void granted(LeaseGrant grant) {
        Long sent = sentAt.remove(grant.count());
        if (sent == null) {
            return;
        }
        if (!grant.hasQuorum()) {
            environment.counters().increment(Counter.GRANTS_WITHOUT_QUORUM);
            environment.log("control node " + contact.host() + " has no quorum");
            contact.refused(grant.controlHosts());
            return;
        }
        contact.granted(grant.controlHosts());
        servedAt = environment.now();
        long until = sent + grant.validMillis() * 1_000_000;
        leaseUntil = Math.max(leaseUntil, until);
        if (grant.session().equals(session)) {
            granted = true;
            grantedInStep(grant, until);
        }
    }

    private void grantedInStep(LeaseGrant grant, long until) {
        if (!news.hasAll(grant.newsSent())) {
            environment.log(grant.newsSent() + " news were sent, " + news.count() + " came");
            beginAgain();
        } else if (!news.isFetching()) {
            // The control node knew, when it answered, all that was chosen before its last contact with a majority.
            configurationKnownAt =
                    Math.max(configurationKnownAt, until - LeaseTimes.memberLeaseNanos(settings.heartbeat()));
        }
    }
}
