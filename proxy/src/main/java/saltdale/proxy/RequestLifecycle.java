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
 * Handles requests from their arrival to their single final answer. Each request gets a slot first and is then sent to
 * the instance of that slot; the outcome of this attempt decides whether it is answered, retried or given up.
 */
final class RequestLifecycle implements SlotRequester.Callbacks {
    /** Requests are given up this much before the client's deadline, so that the answer arrives in time. */
    private static final long DEADLINE_MARGIN_NANOS = Environment.millisToNanos(15);

    private static final int NESTED_PRIORITY = -1; // of requests that instances make while they hold a slot
    private static final int MAX_ATTEMPTS = 6; // of a request, including those that instances turned away
    private static final long NOT_EXECUTED_RETRY_AFTER_MILLIS = 100;
    private static final int MAX_INSTANCE_HOSTS = 8192; // a multiple of the instances that run at a time

    private final Environment environment;
    private final ClusterView cluster;
    private final OwnedServices ownedServices;
    private final Transport transport;
    private final RetryBudget retryBudget;
    private final SlotRequester slotRequester;
    private final Set<Attempt> attempts = new HashSet<>(); // in progress
    /** Requests from these hosts are nested. Most instances belong to owners that do not tell us when they are gone. */
    private final RecentlyUsed<String, String> instanceHosts = new RecentlyUsed<>(MAX_INSTANCE_HOSTS, host -> {});

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
        retryBudget = new RetryBudget(
                settings.retryBudgetRatio(), settings.retryBudgetWindowNanos(), settings.retryBudgetSlack());
        slotRequester = new SlotRequester(environment, cluster, ownedServices, this, settings.heartbeatNanos());
    }

    SlotRequester slotRequester() {
        return slotRequester;
    }

    /** Number of requests that have no final answer yet. */
    int openRequests() {
        return slotRequester.pendingCount() + attempts.size();
    }

    /** Remembers the host of an instance, to recognise nested requests. */
    void addInstanceHost(Instance instance) {
        instanceHosts.use(host(instance), host -> host);
    }

    private static String host(Instance instance) {
        return instance.address().substring(0, Math.max(0, instance.address().lastIndexOf(':')));
    }

    Request handleRequest(
            String id, Configuration.Route route, long remainingNanos, String clientHost, Object clientContext) {
        long now = environment.now();
        int priority = instanceHosts.contains(clientHost) ? NESTED_PRIORITY : route.priority();
        long deadline = now + Math.min(remainingNanos - DEADLINE_MARGIN_NANOS, route.timeoutMs() * 1_000_000);
        Request request = new Request(id, route, chooseService(route), clientContext, priority, now, deadline);
        retryBudget.countRequest(request.service, now);
        request.cancelDeadlineTimer =
                environment.schedule(Math.max(0, deadline - now), () -> deadlineExceeded(request));
        slotRequester.requestSlot(request);
        return request;
    }

    /** Draws one of the route's services by their weights. */
    private String chooseService(Configuration.Route route) {
        if (route.services().size() == 1) {
            return route.services().get(0);
        }
        double draw = environment.random().nextDouble()
                * route.weights().stream().mapToDouble(weight -> weight).sum();
        for (int i = 0; i < route.services().size(); i++) {
            draw -= route.weights().get(i);
            if (draw < 0) {
                return route.services().get(i);
            }
        }
        return route.services().get(route.services().size() - 1);
    }

    /** Ends the work on a request whose client has disconnected. */
    void clientDisconnected(Request request) {
        if (!request.finished) {
            finish(request);
        }
    }

    private void deadlineExceeded(Request request) {
        if (!request.finished) {
            giveUp(request, 504, 0, "deadline exceeded");
        }
    }

    /** Answers every request in progress with an error, as exact as its known execution status allows. */
    void failOpenRequests() {
        for (Attempt attempt : List.copyOf(attempts)) {
            giveUp(attempt.request, 502, 0, "the proxy is shutting down");
        }
    }

    @Override
    public void rejected(Request request, long retryAfterMillis, String reason) {
        giveUp(request, 502, retryAfterMillis, reason);
    }

    /**
     * Answers with 503 if no instance can have executed the request or will, else with the given status, which makes no
     * such promise.
     */
    private void giveUp(Request request, int statusIfPossiblyExecuted, long retryAfterMillis, String reason) {
        if (request.finished) {
            return;
        }
        finish(request);
        int status = request.status == ExecutionStatus.NOT_EXECUTED ? 503 : statusIfPossiblyExecuted;
        transport.sendError(request, status, retryAfterMillis, reason);
    }

    private void finish(Request request) {
        request.finished = true;
        request.cancelDeadlineTimer.run();
        slotRequester.cancel(request);
        if (request.attempt != null) {
            Attempt attempt = request.attempt;
            request.attempt = null;
            boolean unsent = transport.abandon(attempt);
            Attempt.Outcome outcome = unsent ? Attempt.Outcome.UNSENT : Attempt.Outcome.ABANDONED;
            request.status = request.status.combine(outcome.executionStatus());
            returnSlot(attempt, outcome);
        }
    }

    @Override
    public void granted(Request request, Instance instance, long number) {
        addInstanceHost(instance);
        Attempt attempt =
                new Attempt(request, instance, request.slotOwner, cluster.incarnation(), number, environment.now());
        request.attempt = attempt;
        request.attempts++;
        attempts.add(attempt);
        transport.send(attempt);
    }

    /** Handles the outcome of an attempt: answers the request, retries it or gives it up. */
    void attemptEnded(Attempt attempt, Attempt.Outcome outcome) {
        if (attempt.finished) {
            return;
        }
        returnSlot(attempt, outcome);
        Request request = attempt.request;
        if (request.finished) {
            return;
        }
        request.attempt = null;
        request.status = request.status.combine(outcome.executionStatus());
        request.possibleExecutions += outcome.executionStatus() == ExecutionStatus.NOT_EXECUTED ? 0 : 1;
        if (outcome == Attempt.Outcome.ANSWERED) {
            request.finished = true;
            request.cancelDeadlineTimer.run();
            transport.deliverAnswer(attempt);
            return;
        }
        request.avoidedInstances.add(attempt.instanceId);
        if (mayRetry(request, outcome)) {
            slotRequester.requestSlot(request);
        } else {
            boolean notExecuted = request.status == ExecutionStatus.NOT_EXECUTED;
            giveUp(
                    request,
                    502,
                    notExecuted ? NOT_EXECUTED_RETRY_AFTER_MILLIS : 0,
                    notExecuted ? "no instance accepted the request" : "the answer of the instance was lost");
        }
    }

    private boolean mayRetry(Request request, Attempt.Outcome outcome) {
        boolean reachedInstance = outcome == Attempt.Outcome.TURNED_AWAY
                || outcome == Attempt.Outcome.BROKEN
                || outcome == Attempt.Outcome.MISDIRECTED;
        return request.status.allowsRetry(request.route.idempotent())
                && request.possibleExecutions < request.route.maxAttempts()
                && request.attempts < Math.max(MAX_ATTEMPTS, request.route.maxAttempts())
                && (!reachedInstance
                        || retryBudget.tryRetry(
                                request.service,
                                environment.now(),
                                cluster.members().size()));
    }

    private void returnSlot(Attempt attempt, Attempt.Outcome outcome) {
        attempt.finished = true;
        attempts.remove(attempt);
        long ranNanos = environment.now() - attempt.sentAt;
        ownedServices.returnSlot(
                attempt.owner, attempt.request.service, attempt.slotKey, attempt.instanceId, outcome, ranNanos);
    }

    /** Reports the slots in use whose owner has changed to the new owner. */
    void ownersChanged(Collection<Member> previousMembers) {
        HeldSlotsByHost heldSlots = new HeldSlotsByHost();
        for (Attempt attempt : attempts) {
            Member previousOwner = ServiceOwnership.ownerOf(attempt.request.service, attempt.zone, previousMembers);
            Member owner = cluster.owner(attempt.request.service, attempt.zone);
            boolean ownerChanged = previousOwner == null
                    || owner != null && !previousOwner.incarnation().equals(owner.incarnation());
            boolean incarnationChanged = !attempt.incarnation.equals(cluster.incarnation());
            if (owner != null && (ownerChanged || incarnationChanged)) {
                attempt.owner = owner;
                attempt.incarnation = cluster.incarnation();
                heldSlots.add(owner.host(), heldSlot(attempt));
            }
        }
        heldSlots.send(environment);
    }

    private HeldSlot heldSlot(Attempt attempt) {
        return new HeldSlot(
                attempt.request.service,
                attempt.instanceId,
                attempt.slotKey,
                attempt.incarnation,
                Math.max(0, (attempt.deadline - environment.now()) / 1_000_000));
    }
}
