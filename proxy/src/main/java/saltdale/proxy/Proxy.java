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
 * A dispatcher that carries requests: it takes the messages of other processes and hands them to its parts, the
 * requests under way, the services that it owns, and its session with a control node. No I/O, no clock of its own.
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
    private long awakeAt;
    private boolean ending;

    public Proxy(Environment environment, ProxySettings settings, Transport transport) {
        this.environment = environment;
        this.settings = settings;
        this.transport = transport;
        cluster = new ClusterView(environment, settings);
        ownedServices = new OwnedServices(environment, cluster, transport, settings.heartbeat());
        requests = new RequestLifecycle(environment, settings, cluster, ownedServices, transport);
        slotRequester = requests.slotRequester();
        ownedServices.ownAnswers(slotRequester);
        controlSession = new ControlSession(environment, settings, new NewsReader(), this::fellowProxies);
        cluster.session(controlSession);
    }

    private List<String> fellowProxies() {
        return cluster.members().stream()
                .map(Member::host)
                .filter(host -> !host.equals(settings.host()))
                .toList();
    }

    public void begin() {
        controlSession.begin();
        turn();
    }

    private void turn() {
        awake();
        environment.after(settings.heartbeat() / 6, this::turn);
        ownedServices.turn();
    }

    /** After it stood still the slots it asked for may have been granted and taken back: it asks anew. */
    private void awake() {
        long now = environment.now();
        boolean stoodStill = now - awakeAt > settings.heartbeat();
        awakeAt = now;
        if (stoodStill) {
            slotRequester.askAllAgain();
        }
    }

    /** It can serve: it knows a configuration, and the members that it is one of. */
    public boolean isReady() {
        return knowsConfiguration() && !ending && cluster.isMember();
    }

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
     * How long ago, in nanoseconds, all that was acknowledged before was known to be in force here; very long where
     * that was never known.
     */
    public long configurationAge() {
        return environment.now() - controlSession.configurationKnownAt();
    }

    /** Requests that have no final answer yet. */
    public int open() {
        return requests.open();
    }

    /** The settings, read again, name these control nodes. */
    public void seeds(List<String> hosts) {
        controlSession.seeds(hosts);
    }

    /** Nothing new is to come; what is here is carried on. What still waits for a slot after so long is refused. */
    public void end(long waits) {
        ending = true;
        controlSession.leave();
        environment.after(waits, slotRequester::refuseWaiting);
    }

    /** The process ends now: who has no answer yet gets one, as true as what is known. */
    public void endNow() {
        slotRequester.refuseWaiting();
        requests.endNow();
    }

    // Requests.

    /**
     * Which route a request takes. None is denied by a configuration that may be old: an acknowledged one may have it.
     */
    public RouteDecision route(String hostname, String path) {
        Configuration configuration = cluster.configuration();
        Configuration.Route route = configuration == null ? null : configuration.route(hostname, path);
        boolean mayBeOld = cluster.configurationMayBeOld();
        if (route != null) {
            if (mayBeOld) {
                environment.counters().count(Counter.ROUTED_WITHOUT_CONTACT);
            }
            return new RouteDecision.Found(route);
        } else if (configuration == null || mayBeOld) {
            environment.counters().count(Counter.ROUTES_UNDECIDED);
            return new RouteDecision.Undecided();
        }
        environment.counters().count(Counter.ROUTES_DENIED);
        environment.check(
                Invariant.DENIED_IN_CONTACT,
                environment.now() - controlSession.servedAt() <= settings.configApply(),
                () -> path + " by revision " + cluster.revision());
        return new RouteDecision.Denied();
    }

    /** Takes a request in; {@code leftNanos} is how long its client waits, {@code peer} where it comes from. */
    public Request arrived(String id, Configuration.Route route, long leftNanos, String peer, Object clientContext) {
        return requests.arrived(id, route, leftNanos, peer, clientContext);
    }

    /** The client has gone: nothing more is done for it. */
    public void left(Request request) {
        requests.left(request);
    }

    /** An attempt has ended, in whatever way; only one that we abandoned is not told here. */
    public void ended(Attempt attempt, Attempt.End end) {
        requests.ended(attempt, end);
    }

    /** What came of a try whether an instance that is starting takes connections. */
    public void tried(String id, boolean takesConnections) {
        ownedServices.tried(id, takesConnections);
    }

    /** A connection to another process has ended: what was asked there is asked elsewhere. */
    public void unreachable(String host) {
        slotRequester.unreachable(host);
        controlSession.unreachable(host);
    }

    // News of the control plane.

    private final class NewsReader implements ControlSession.Reader {
        @Override
        public void configuration(Map<String, Object> whole) {
            cluster.configuration(whole);
        }

        @Override
        public void members(List<Member> members) {
            membersChanged(members);
        }

        @Override
        public void instances(List<Instance> instances) {
            instances.forEach(Proxy.this::heard);
        }

        @Override
        public void begins() {
            ownedServices.forgetInstances();
        }

        @Override
        public void over() {
            ownedServices.forgetAll();
        }
    }

    private void heard(Instance instance) {
        requests.knows(instance);
        ownedServices.heard(instance);
        if (instance.phase() == Instance.Phase.GONE) {
            transport.forget(instance.id());
        }
    }

    private void membersChanged(List<Member> next) {
        Collection<Member> before = cluster.members();
        cluster.members(next);
        ownedServices.membersChanged();
        requests.ownersChanged(before);
        List<Member> gone = before.stream()
                .filter(was -> next.stream().noneMatch(is -> is.life().equals(was.life())))
                .toList();
        ownedServices.gone(gone);
        slotRequester.gone(gone);
        slotRequester.ownersChanged();
    }

    // Messages of other processes.

    /** Takes a message; {@code from} is the host of its sender. */
    public void message(String from, Message message) throws MalformedMessage {
        awake();
        if (message instanceof SlotMessage slot) {
            slotMessage(from, slot);
        } else if (message instanceof SessionMessage session) {
            controlSession.message(from, session);
        } else if (message instanceof ContactMessage contact) {
            controlSession.message(from, contact);
        } else {
            throw new MalformedMessage("message " + message.kind() + " is not for a proxy");
        }
    }

    private void slotMessage(String from, SlotMessage message) {
        if (message instanceof SlotRequest request) {
            ownedServices.request(claim(from, request), request.service(), request.countsAsDemand());
        } else if (message instanceof SlotGrant grant) {
            slotRequester.granted(grant.number(), grant.instance());
        } else if (message instanceof SlotQueued queued) {
            slotRequester.queued(queued.number());
        } else if (message instanceof SlotRedirect elsewhere) {
            slotRequester.elsewhere(elsewhere.number(), elsewhere.zone());
        } else if (message instanceof SlotRefusal refusal) {
            slotRequester.refused(refusal.number(), refusal.retryAfterMillis());
        } else if (message instanceof SlotCancel cancel) {
            ownedServices.cancel(cancel.service(), cancel.key());
        } else if (message instanceof SlotReturn returned) {
            returned(returned);
        } else if (message instanceof SlotsHeld held) {
            ownedServices.held(held.slots());
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

    private void returned(SlotReturn returned) {
        if (returned.outcome() < Attempt.End.values().length) {
            ownedServices.returned(
                    returned.service(),
                    returned.key(),
                    returned.instance(),
                    Attempt.End.values()[returned.outcome()],
                    returned.runMicros() * 1000);
        }
    }
}
