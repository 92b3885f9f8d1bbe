package saltdale.proxy;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.control.Instance;
import saltdale.control.Member;
import saltdale.control.ServiceOwnership;
import saltdale.control.message.SlotMessage.HeldSlot;

/**
 * Requests from their arrival to their one final answer: each asks for a slot, is sent to the instance that it is
 * granted, and is answered, sent again or given up by what became of that attempt.
 */
final class RequestLifecycle implements SlotRequester.Outcome {
    private static final long MARGIN = Environment.millisToNanos(15); // before a client's deadline, for the way back
    private static final int NESTED = -1; // the priority of requests that instances make while they hold a slot
    private static final int MOST_ATTEMPTS = 6; // of one request, those included that instances turned away
    private static final long NOT_TAKEN_PAUSE_MILLIS = 100;

    private final Environment environment;
    private final ClusterView cluster;
    private final OwnedServices ownedServices;
    private final Transport transport;
    private final RetryBudget retryBudget;
    private final SlotRequester slotRequester;
    private final Set<Attempt> attempts = new HashSet<>(); // under way
    private final Set<String> instanceHosts = new HashSet<>(); // requests from there are nested

    RequestLifecycle(
            Environment environment,
            ProxySettings settings,
            ClusterView cluster,
            OwnedServices ownedServices,
            Transport transport) {
        this.environment = environment;
        this.cluster = cluster;
        this.ownedServices = ownedServices;
        this.transport = transport;
        retryBudget = new RetryBudget(settings.retryRatio(), settings.retryWindow(), settings.retrySlack());
        slotRequester = new SlotRequester(environment, cluster, ownedServices, this, settings.heartbeat());
    }

    SlotRequester slotRequester() {
        return slotRequester;
    }

    /** Requests that have no final answer yet. */
    int open() {
        return slotRequester.asking() + attempts.size();
    }

    void knows(Instance instance) {
        instanceHosts.add(host(instance));
    }

    private static String host(Instance instance) {
        return instance.address().substring(0, Math.max(0, instance.address().lastIndexOf(':')));
    }

    Request arrived(String id, Configuration.Route route, long leftNanos, String peer, Object clientContext) {
        long now = environment.now();
        int priority = instanceHosts.contains(peer) ? NESTED : route.priority();
        long deadline = now + Math.min(leftNanos - MARGIN, route.timeoutMs() * 1_000_000);
        Request request = new Request(id, route, service(route), clientContext, priority, now, deadline);
        retryBudget.first(request.service, now);
        request.deadlineTimer = environment.schedule(Math.max(0, deadline - now), () -> overdue(request));
        slotRequester.ask(request);
        return request;
    }

    private String service(Configuration.Route route) {
        if (route.services().size() == 1) {
            return route.services().get(0);
        }
        double draw = environment.random().nextDouble()
                * route.weights().stream().mapToDouble(w -> w).sum();
        for (int i = 0; i < route.services().size(); i++) {
            draw -= route.weights().get(i);
            if (draw < 0) {
                return route.services().get(i);
            }
        }
        return route.services().get(route.services().size() - 1);
    }

    /** The client has gone: nothing more is done for it. */
    void left(Request request) {
        if (!request.over) {
            finish(request);
        }
    }

    private void overdue(Request request) {
        if (!request.over) {
            giveUp(request, 504, 0, "not done in time");
        }
    }

    /** Every request under way is answered now, as true as what is known. */
    void endNow() {
        for (Attempt attempt : List.copyOf(attempts)) {
            giveUp(attempt.request, 502, 0, "the proxy ends");
        }
    }

    @Override
    public void refused(Request request, long pauseMillis, String why) {
        giveUp(request, 502, pauseMillis, why);
    }

    /**
     * Answers with 503 where no instance can have run it or will, else with the status given, which promises
     * nothing.
     */
    private void giveUp(Request request, int statusIfItMayHaveRun, long pauseMillis, String why) {
        if (request.over) {
            return;
        }
        finish(request);
        int status = request.status == ExecutionStatus.NOT_RUN ? 503 : statusIfItMayHaveRun;
        transport.refuse(request, status, pauseMillis, why);
    }

    private void finish(Request request) {
        request.over = true;
        request.deadlineTimer.run();
        slotRequester.stop(request);
        if (request.attempt != null) {
            Attempt attempt = request.attempt;
            request.attempt = null;
            boolean unsent = transport.abandon(attempt);
            Attempt.End end = unsent ? Attempt.End.UNSENT : Attempt.End.ABANDONED;
            request.status = request.status.and(end.status());
            giveBack(attempt, end);
        }
    }

    @Override
    public void granted(Request request, Instance instance, long number) {
        knows(instance);
        Attempt attempt = new Attempt(request, instance, request.owner, cluster.life(), number, environment.now());
        request.attempt = attempt;
        request.attempts++;
        attempts.add(attempt);
        transport.carry(attempt);
    }

    void ended(Attempt attempt, Attempt.End end) {
        if (attempt.over) {
            return;
        }
        giveBack(attempt, end);
        Request request = attempt.request;
        if (request.over) {
            return;
        }
        request.attempt = null;
        request.status = request.status.and(end.status());
        request.possibleRuns += end.status() == ExecutionStatus.NOT_RUN ? 0 : 1;
        if (end == Attempt.End.ANSWERED) {
            request.over = true;
            request.deadlineTimer.run();
            transport.deliver(attempt);
            return;
        }
        request.avoidedInstances.add(attempt.instance);
        if (mayGoAgain(request, end)) {
            slotRequester.ask(request);
        } else {
            boolean notRun = request.status == ExecutionStatus.NOT_RUN;
            giveUp(
                    request,
                    502,
                    notRun ? NOT_TAKEN_PAUSE_MILLIS : 0,
                    notRun ? "no instance took it" : "its answer is lost");
        }
    }

    private boolean mayGoAgain(Request request, Attempt.End end) {
        boolean arrived = end == Attempt.End.TURNED_AWAY || end == Attempt.End.BROKEN || end == Attempt.End.MISDIRECTED;
        return request.status.allowsAnother(request.route.idempotent())
                && request.possibleRuns < request.route.maxAttempts()
                && request.attempts < Math.max(MOST_ATTEMPTS, request.route.maxAttempts())
                && (!arrived
                        || retryBudget.further(
                                request.service,
                                environment.now(),
                                cluster.members().size()));
    }

    private void giveBack(Attempt attempt, Attempt.End end) {
        attempt.over = true;
        attempts.remove(attempt);
        long ranNanos = environment.now() - attempt.sentAt;
        ownedServices.giveBack(
                attempt.owner, attempt.request.service, attempt.slotKey, attempt.instance, end, ranNanos);
    }

    /** The slots in use whose owner has changed are told to the new one. */
    void ownersChanged(Collection<Member> before) {
        HeldSlotsByHost held = new HeldSlotsByHost();
        for (Attempt attempt : attempts) {
            Member was = ServiceOwnership.of(attempt.request.service, attempt.zone, before);
            Member is = cluster.owner(attempt.request.service, attempt.zone);
            boolean moved = was == null || is != null && !was.incarnation().equals(is.incarnation());
            boolean renewed = !attempt.life.equals(cluster.life());
            if (is != null && (moved || renewed)) {
                attempt.owner = is;
                attempt.life = cluster.life();
                held.add(is.host(), heldSlot(attempt));
            }
        }
        held.send(environment);
    }

    private HeldSlot heldSlot(Attempt attempt) {
        return new HeldSlot(
                attempt.request.service,
                attempt.instance,
                attempt.slotKey,
                attempt.life,
                Math.max(0, (attempt.deadline - environment.now()) / 1_000_000));
    }
}
