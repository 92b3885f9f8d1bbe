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
import saltdale.control.message.SessionMessage.ControlNodeLeaving;
import saltdale.control.message.SessionMessage.LeaseExpired;
import saltdale.control.message.SessionMessage.LeaseGrant;
import saltdale.control.message.SessionMessage.LeaseRenewal;
import saltdale.control.message.SessionMessage.QuorumLost;
import saltdale.control.message.SessionMessage.SessionUpdate;
import saltdale.control.message.SessionMessage.SnapshotPart;

/**
 * A proxy's connection to the control plane. The proxy renews its lease at one control node, which the
 * {@link ControlNodeSelector} chooses, and receives updates from it in sessions.
 */
final class ControlSession {
    /** Receives the updates of the control nodes, in the order in which they were sent. */
    interface Listener {
        /** A newer configuration is known; it is passed whole, as a tree of maps and lists. */
        void configurationChanged(Map<String, Object> configuration);

        /** The members have changed; all current ones are passed. */
        void membersChanged(List<Member> members);

        /** These instances of services that this proxy owns have changed. */
        void instancesChanged(List<Instance> instances);

        /** A session starts; it reports all instances again. */
        void sessionStarted();

        /** The lease has expired: this proxy has a new incarnation and is a different member from now on. */
        void leaseExpired();
    }

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Environment environment;
    private final ProxySettings settings;
    private final Listener listener;
    private final ControlNodeSelector selector;
    private final SessionUpdates updates;
    private final Map<Long, Long> renewalSentAt = new LinkedHashMap<>(); // by the count of the renewal
    private String incarnation;
    private String session = "";
    private long renewalCount;
    private boolean granted; // a renewal has been granted in this session
    private long renewedAt;
    private long leaseUntil = NEVER; // counted from the sending of the renewal that was granted
    private long configurationKnownAt = NEVER; // every configuration acknowledged before is in force here
    private long lastQuorumGrantAt = NEVER;
    private boolean leaving;

    /** {@code otherProxies}: the hosts of the other proxies, as far as they are known. */
    ControlSession(
            Environment environment, ProxySettings settings, Listener listener, Supplier<List<String>> otherProxies) {
        this.environment = environment;
        this.settings = settings;
        this.listener = listener;
        selector = new ControlNodeSelector(environment, settings, otherProxies, host -> restart());
        updates = new SessionUpdates(environment, listener, message -> environment.send(selector.host(), message));
        incarnation = randomId();
    }

    private String randomId() {
        return Long.toString(environment.random().nextLong() >>> 1, 36);
    }

    /** The random ID of this proxy as a member; a new one is drawn when the process starts and when its lease ends. */
    String incarnation() {
        return incarnation;
    }

    /** The host of the selected control node; null before the first one is found. */
    String controlNode() {
        return selector.host();
    }

    boolean hasLease() {
        return environment.now() < leaseUntil;
    }

    /**
     * A time such that every configuration acknowledged before it, or a newer one, is in force here; on the clock of
     * {@link Environment#now}.
     */
    long configurationKnownAt() {
        return configurationKnownAt;
    }

    /** When a control node with a quorum last granted the lease. */
    long lastQuorumGrantAt() {
        return lastQuorumGrantAt;
    }

    /** Replaces the seed control nodes after the settings were reloaded. */
    void updateSeeds(List<String> hosts) {
        selector.updateSeeds(hosts);
    }

    void start() {
        tick();
    }

    private long renewalIntervalNanos() {
        return settings.heartbeatNanos() / 4;
    }

    private void tick() {
        environment.schedule(selector.tickNanos(), this::tick);
        environment.runGuarded(selector::tick);
        // Until the first grant of a session, renewals are sent at every tick, since messages may be lost.
        if (!granted || environment.now() - renewedAt >= renewalIntervalNanos()) {
            renewLease();
        }
        updates.retryFetchAfter(renewalIntervalNanos());
    }

    /** Reports that a connection to this host was lost. */
    void connectionLost(String host) {
        if (host.equals(selector.host()) && selector.connectionLost()) {
            renewLease(); // the control node may still work: connections are reset for other reasons too
        }
    }

    /** Handles a probe of a proxy that searches for a control node, or a reply to a probe of our own. */
    void handleMessage(String from, ContactMessage message) {
        selector.handleMessage(from, message);
    }

    // The session and its lease.

    /** Starts a session: the control node learns what is known here and sends only what differs. */
    private void startSession() {
        session = randomId();
        updates.startSession(session, incarnation);
        granted = false;
        selector.served();
        renewalSentAt.clear();
        environment.counters().increment(Counter.SESSIONS_BEGUN);
        listener.sessionStarted();
    }

    /** Starts a new session, at another control node or after an error in the current session. */
    private void restart() {
        startSession();
        renewLease();
    }

    private void renewLease() {
        if (selector.host() == null) {
            return;
        }
        long now = environment.now();
        renewedAt = now;
        renewalSentAt.put(++renewalCount, now);
        renewalSentAt.values().removeIf(at -> now - at > 4 * settings.heartbeatNanos());
        environment.send(
                selector.host(),
                new LeaseRenewal(
                        new Member(incarnation, settings.name(), settings.zone(), settings.host(), leaving),
                        renewalCount,
                        session,
                        updates.revision(),
                        granted ? "" : updates.configurationDigest(),
                        granted ? "" : updates.membersDigest()));
    }

    /** Announces at once that this proxy is leaving and should get no new requests. */
    void leave() {
        leaving = true;
        renewLease();
    }

    /** Handles a message of a control node. */
    void handleMessage(String from, SessionMessage message) throws MalformedMessage {
        if (!from.equals(selector.host())) {
            return; // from a control node that is no longer selected
        }
        if (message instanceof QuorumLost) {
            selector.quorumLost();
        } else if (message instanceof ControlNodeLeaving) {
            selector.controlNodeLeaves();
        } else if (message instanceof LeaseGrant grant) {
            leaseGranted(grant);
        } else if (message instanceof LeaseExpired expired) {
            if (renewalSentAt.remove(expired.count()) != null) {
                leaseExpired();
            }
        } else if (message instanceof SessionUpdate update && update.session().equals(session)) {
            applyUpdate(update);
        } else if (message instanceof SnapshotPart part
                && updates.isFetchingSnapshot()
                && part.session().equals(session)) {
            selector.served();
            updates.addSnapshotPart(part);
        }
    }

    private void applyUpdate(SessionUpdate update) throws MalformedMessage {
        boolean applied = false;
        try {
            applied = updates.apply(update);
        } finally {
            if (!applied) {
                restart();
            }
        }
    }

    private void leaseExpired() {
        incarnation = randomId();
        leaseUntil = NEVER;
        environment.log("lease expired; new incarnation: " + incarnation);
        listener.leaseExpired();
        restart();
    }

    private void leaseGranted(LeaseGrant grant) {
        Long sentAt = renewalSentAt.remove(grant.count());
        if (sentAt == null) {
            return;
        }
        if (!grant.hasQuorum()) {
            environment.counters().increment(Counter.GRANTS_WITHOUT_QUORUM);
            environment.log("control node " + selector.host() + " has no quorum");
            selector.repliedWithoutQuorum(grant.controlHosts());
            return;
        }
        selector.repliedWithQuorum(grant.controlHosts());
        lastQuorumGrantAt = environment.now();
        long until = sentAt + grant.validMillis() * 1_000_000;
        leaseUntil = Math.max(leaseUntil, until);
        if (grant.session().equals(session)) {
            granted = true;
            checkCompleteness(grant, until);
        }
    }

    /** Checks that all updates sent before this grant have arrived. */
    private void checkCompleteness(LeaseGrant grant, long until) {
        if (!updates.hasAll(grant.updatesSent())) {
            environment.log(grant.updatesSent() + " updates were sent, " + updates.count() + " received");
            restart();
        } else if (!updates.isFetchingSnapshot()) {
            // When it replied, the control node knew everything chosen before its last contact with a majority.
            configurationKnownAt =
                    Math.max(configurationKnownAt, until - LeaseTimes.memberLeaseNanos(settings.heartbeatNanos()));
        }
    }
}
