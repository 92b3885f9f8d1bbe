package saltdale.proxy;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import saltdale.control.Configuration;
import saltdale.control.Counter;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Invariant;
import saltdale.control.MalformedMessage;
import saltdale.control.Member;
import saltdale.control.message.ContactMessage;
import saltdale.control.message.Message;
import saltdale.control.message.SessionMessage;
import saltdale.control.message.SlotMessage;
import saltdale.control.message.SlotMessage.SlotCancel;
import saltdale.control.message.SlotMessage.SlotGrant;
import saltdale.control.message.SlotMessage.SlotQueued;
import saltdale.control.message.SlotMessage.SlotRedirect;
import saltdale.control.message.SlotMessage.SlotRefusal;
import saltdale.control.message.SlotMessage.SlotRequest;
import saltdale.control.message.SlotMessage.SlotReturn;
import saltdale.control.message.SlotMessage.SlotsHeld;

/**
 * The core of a proxy: it dispatches the messages of other processes to its parts, which handle the requests in
 * progress, the services that this proxy owns, and the session with a control node. It does no I/O and reads no clock
 * itself: both come from the {@link Environment} and the {@link Transport}.
 */
public final class Proxy {
    private final Environment environment;
    private final ProxySettings settings;
    private final Transport transport;
    private final ClusterView cluster;
    private final ControlSession controlSession;
    private final OwnedServices ownedServices;
    private final RequestLifecycle requests;
    private final SlotRequester slotRequester;
    private long lastActiveAt;
    private boolean shuttingDown;

    public Proxy(Environment environment, ProxySettings settings, Transport transport) {
        this.environment = environment;
        this.settings = settings;
        this.transport = transport;
        cluster = new ClusterView(environment, settings);
        ownedServices = new OwnedServices(environment, cluster, transport, settings.heartbeatNanos());
        requests = new RequestLifecycle(environment, settings, cluster, ownedServices, transport);
        slotRequester = requests.slotRequester();
        ownedServices.setLocalReplyHandler(slotRequester);
        controlSession = new ControlSession(environment, settings, new UpdateListener(), this::otherProxies);
        cluster.setSession(controlSession);
    }

    /** Hosts of the other proxies. */
    private List<String> otherProxies() {
        return cluster.members().stream()
                .map(Member::host)
                .filter(host -> !host.equals(settings.host()))
                .toList();
    }

    /** Starts the session with a control node and the periodic work. */
    public void start() {
        controlSession.start();
        tick();
    }

    private void tick() {
        environment.schedule(settings.heartbeatNanos() / 6, this::tick); // even if this run fails
        environment.runGuarded(this::detectPause);
        ownedServices.tick();
    }

    /**
     * Repeats all slot requests after a pause of this process: slots may have been granted and expired in the
     * meantime.
     */
    private void detectPause() {
        long now = environment.now();
        boolean wasPaused = now - lastActiveAt > settings.heartbeatNanos();
        lastActiveAt = now;
        if (wasPaused) {
            slotRequester.requestAllAgain();
        }
    }

    /** Whether it can serve requests: it has a configuration and a list of members that includes itself. */
    public boolean isReady() {
        return knowsConfiguration() && !shuttingDown && cluster.isMember();
    }

    /** Whether a configuration is in force. */
    public boolean knowsConfiguration() {
        return cluster.configuration() != null;
    }

    /** The revision of the configuration in force; -1 before the first one is known. */
    public long revision() {
        return cluster.revision();
    }

    /** The configuration in force; null before the first one is known. */
    public Configuration configuration() {
        return cluster.configuration();
    }

    /**
     * How long ago, in nanoseconds, this proxy was last certain to have every configuration acknowledged by then; very
     * large if it never was.
     */
    public long configurationAge() {
        return environment.now() - controlSession.configurationKnownAt();
    }

    /** Number of requests that have no final answer yet. */
    public int openRequests() {
        return requests.openRequests();
    }

    /** Replaces the seed control nodes after the settings were reloaded. */
    public void updateSeeds(List<String> hosts) {
        controlSession.updateSeeds(hosts);
    }

    /**
     * Starts a graceful shutdown: the proxy is no longer ready, but still serves the requests that it gets. Requests
     * that wait for a slot after the given time are rejected.
     */
    public void shutDown(long queueGraceNanos) {
        shuttingDown = true;
        controlSession.leave();
        environment.schedule(queueGraceNanos, slotRequester::rejectQueued);
    }

    /** Answers all requests in progress with an error, right before the process exits. */
    public void failOpenRequests() {
        slotRequester.rejectQueued();
        requests.failOpenRequests();
    }

    // Requests.

    /**
     * Looks up the route of a request. A configuration that may be out of date denies none: a newer acknowledged one
     * may have the route.
     */
    public RouteDecision route(String hostname, String path) {
        Configuration configuration = cluster.configuration();
        Configuration.Route route = configuration == null ? null : configuration.route(hostname, path);
        boolean mayBeOutdated = cluster.configurationMayBeOutdated();
        if (route != null) {
            if (mayBeOutdated) {
                environment.counters().increment(Counter.ROUTED_WITHOUT_CONTACT);
            }
            return new RouteDecision.Found(route);
        } else if (configuration == null || mayBeOutdated) {
            environment.counters().increment(Counter.ROUTES_UNDECIDED);
            return new RouteDecision.Undecided();
        }
        environment.counters().increment(Counter.ROUTES_DENIED);
        environment.check(
                Invariant.DENIED_IN_CONTACT,
                environment.now() - controlSession.lastQuorumGrantAt() <= settings.configApplyNanos(),
                () -> path + " by revision " + cluster.revision());
        return new RouteDecision.Denied();
    }

    /**
     * Accepts a request.
     *
     * @param remainingNanos how long its client still waits for the answer
     * @param clientHost the host that it comes from
     */
    public Request handleRequest(
            String id, Configuration.Route route, long remainingNanos, String clientHost, Object clientContext) {
        return requests.handleRequest(id, route, remainingNanos, clientHost, clientContext);
    }

    /** Ends the work on a request whose client has disconnected. */
    public void clientDisconnected(Request request) {
        requests.clientDisconnected(request);
    }

    /** Reports the end of an attempt; not called for attempts that this proxy abandoned. */
    public void attemptEnded(Attempt attempt, Attempt.Outcome outcome) {
        requests.attemptEnded(attempt, outcome);
    }

    /** Reports whether a booting instance accepted a test connection. */
    public void connectionTested(String instanceId, boolean accepted) {
        ownedServices.connectionTested(instanceId, accepted);
    }

    /** Reports that a connection to another process was lost: requests made there are repeated elsewhere. */
    public void connectionLost(String host) {
        slotRequester.connectionLost(host);
        controlSession.connectionLost(host);
    }

    // Updates from the control plane.

    private final class UpdateListener implements ControlSession.Listener {
        @Override
        public void configurationChanged(Map<String, Object> configuration) {
            cluster.updateConfiguration(configuration);
        }

        @Override
        public void membersChanged(List<Member> members) {
            Proxy.this.membersChanged(members);
        }

        @Override
        public void instancesChanged(List<Instance> instances) {
            instances.forEach(Proxy.this::updateInstance);
        }

        @Override
        public void sessionStarted() {
            ownedServices.forgetInstances();
        }

        @Override
        public void leaseExpired() {
            ownedServices.forgetOwnership();
        }
    }

    private void updateInstance(Instance instance) {
        requests.addInstanceHost(instance);
        ownedServices.updateInstance(instance);
        if (instance.phase() == Instance.Phase.GONE) {
            transport.forgetInstance(instance.id());
        }
    }

    private void membersChanged(List<Member> members) {
        Collection<Member> previous = cluster.members();
        cluster.updateMembers(members);
        ownedServices.membersChanged();
        requests.ownersChanged(previous);
        List<Member> gone = previous.stream()
                .filter(old -> members.stream()
                        .noneMatch(member -> member.incarnation().equals(old.incarnation())))
                .toList();
        ownedServices.membersGone(gone);
        slotRequester.membersGone(gone);
        slotRequester.ownersChanged();
    }

    // Messages of other processes.

    /** Handles a message; {@code from} is the host of its sender. */
    public void handleMessage(String from, Message message) throws MalformedMessage {
        detectPause();
        if (message instanceof SlotMessage slotMessage) {
            handleSlotMessage(from, slotMessage);
        } else if (message instanceof SessionMessage sessionMessage) {
            controlSession.handleMessage(from, sessionMessage);
        } else if (message instanceof ContactMessage contactMessage) {
            controlSession.handleMessage(from, contactMessage);
        } else {
            throw new MalformedMessage("a proxy does not handle messages of kind " + message.kind());
        }
    }

    private void handleSlotMessage(String from, SlotMessage message) {
        if (message instanceof SlotRequest request) {
            ownedServices.handleClaim(claim(from, request), request.service(), request.countsAsDemand());
        } else if (message instanceof SlotGrant grant) {
            slotRequester.granted(grant.number(), grant.instance());
        } else if (message instanceof SlotQueued queued) {
            slotRequester.queued(queued.number());
        } else if (message instanceof SlotRedirect redirect) {
            slotRequester.redirected(redirect.number(), redirect.zone());
        } else if (message instanceof SlotRefusal refusal) {
            slotRequester.rejected(refusal.number(), refusal.retryAfterMillis());
        } else if (message instanceof SlotCancel cancel) {
            ownedServices.cancel(cancel.service(), cancel.key());
        } else if (message instanceof SlotReturn returned) {
            slotReturned(returned);
        } else if (message instanceof SlotsHeld held) {
            ownedServices.slotsHeld(held.slots());
        }
    }

    private SlotClaim claim(String from, SlotRequest request) {
        long now = environment.now();
        return new SlotClaim(
                SlotClaim.key(request.incarnation(), request.number()),
                request.incarnation(),
                from,
                request.number(),
                request.zone(),
                now + request.remainingMillis() * 1_000_000,
                now + request.targetRemainingMillis() * 1_000_000,
                request.priority(),
                new HashSet<>(request.avoidedInstances()),
                request.hops());
    }

    private void slotReturned(SlotReturn returned) {
        if (returned.outcome() < Attempt.Outcome.values().length) {
            ownedServices.slotReturned(
                    returned.service(),
                    returned.key(),
                    returned.instance(),
                    Attempt.Outcome.values()[returned.outcome()],
                    returned.runMicros() * 1000);
        }
    }
}
