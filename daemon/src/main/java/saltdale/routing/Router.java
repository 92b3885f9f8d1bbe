package saltdale.routing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import saltdale.decision.Dispatcher;
import saltdale.decision.Preview;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.Durations;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.overload.AdmissionControl;
import saltdale.protocol.Head;
import saltdale.protocol.HostListUpdate;
import saltdale.protocol.HttpParser;
import saltdale.protocol.JobUpdate;
import saltdale.serving.ServerConnection;
import saltdale.settings.LoadReportColumns;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Connects a dispatcher to the network: passes the events of its sockets to the dispatcher and carries out the actions
 * that the dispatcher decides on. It maps the ids in messages to requests, attempts and runners.
 */
public final class Router implements DispatcherActions, ServerConnection.Handler {
    private static final Logger LOG = Logger.getLogger(Router.class.getName());
    /** Idle connections to runners are closed after this share of the time after which the runners close them. */
    private static final double IDLE_LIMIT_SHARE = 0.8;

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final HttpParser.Limits REQUEST_LIMITS =
            new HttpParser.Limits(HttpParser.MAX_HEAD_BYTES, HttpParser.MAX_REQUEST_BODY_BYTES);
    /** How long a request may take to arrive. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(2500);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final DispatcherSettings settings;
    private final RequestDecoder decoder;
    private final GracefulShutdown shutdown;
    private final Counters counters = new Counters();
    private final RunnerRegistry registry;
    private final DiscoveryClient discovery;
    private final Dispatcher dispatcher;
    private final Map<String, PendingRequest> pendingById = new HashMap<>();
    private final Map<Request, PendingRequest> pendingByRequest = new HashMap<>();
    private final Set<ServerConnection> clients = new HashSet<>();
    private final List<Runnable> plannedActions = new ArrayList<>();
    private boolean hasEvents;
    private Preview preview;
    private long loggedLevelChanges;

    /**
     * Creates a router.
     *
     * @param runnerIdleTimeout the idle time after which runners close a connection
     * @param discoveryAddress the address of the discovery service
     * @param startMillis the Unix time at which the clock of the event loop started
     */
    public Router(
            EventLoop loop,
            SocketBudget sockets,
            DispatcherSettings settings,
            Duration runnerIdleTimeout,
            InetSocketAddress discoveryAddress,
            long startMillis,
            SplittableRandom random) {
        this.loop = loop;
        this.sockets = sockets;
        this.settings = settings;
        this.decoder = new RequestDecoder(settings);
        this.shutdown = new GracefulShutdown(loop, sockets, settings);
        Duration idleLimit = Durations.ofSeconds(Durations.seconds(runnerIdleTimeout) * IDLE_LIMIT_SHARE);
        registry = new RunnerRegistry(
                address -> new ConnectionPool(loop, sockets, address, settings.connectTimeout, idleLimit),
                startMillis,
                Durations.max(settings.warmUpTime, settings.maxClientTimeout()));
        discovery = new DiscoveryClient(
                loop,
                sockets,
                discoveryAddress,
                counters,
                random.split(),
                list -> applyRunnerList(list, false),
                settings.subscribes ? this::runnerListFailed : null);
        dispatcher = new Dispatcher(settings, this, random);
    }

    /** Sets the action that accepts the client connections that have arrived and closes the listener. */
    public void setListenerCloser(Runnable closer) {
        shutdown.setListenerCloser(closer);
    }

    /** Starts with the runner list as it was last known, or null. */
    public void start(HostListUpdate initialList) {
        dispatcher.onStart(loop.now());
        if (initialList != null) {
            discovery.setVersion(initialList.seq);
            applyRunnerList(initialList, true);
        }
        if (!settings.subscribes) {
            discovery.follow();
        }
        markEvents();
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public SocketBudget socketBudget() {
        return sockets;
    }

    /** Returns the pending request with this id, or null if there is none. */
    PendingRequest pendingRequest(String id) {
        return pendingById.get(id);
    }

    Counters counters() {
        return counters;
    }

    /** Returns the time limit for responses that runners send immediately. */
    Duration responseTimeout() {
        return settings.connectTimeout;
    }

    @Override
    public boolean closesAfter(int status) {
        return shutdown.closesAfter(status);
    }

    @Override
    public HttpParser.Limits requestLimits() {
        return REQUEST_LIMITS;
    }

    @Override
    public Duration requestTimeout() {
        return REQUEST_TIMEOUT;
    }

    @Override
    public void requestRejected(boolean tooSlow) {
        if (tooSlow) {
            counters.requestTimeouts++;
        } else {
            counters.invalidRequests++;
        }
    }

    /** Returns the metrics, one line each: the name and the value. */
    public String metrics() {
        AdmissionControl admission = dispatcher.admissionControl();
        return counters.lines(pendingById.size(), sockets.openCount(), loop.failureCount())
                + (admission == null
                        ? ""
                        : "overload_level " + admission.level() + "\noverload_level_changes " + admission.changeCount()
                                + "\noverload_turned_away " + admission.rejectedCount() + "\n")
                + (preview == null ? "" : preview.lines());
    }

    /**
     * Starts to count the decisions that would have been different with other settings. The decisions themselves do
     * not change.
     */
    public void enablePreview(DispatcherSettings other) {
        preview = new Preview(dispatcher, other);
    }

    // ---- Rounds of the event loop.

    private void markEvents() {
        hasEvents = true;
    }

    /**
     * Ends a round of the event loop, after all events that were ready have been handled: the dispatcher decides once,
     * then its actions are carried out.
     */
    public void endRound() {
        if (hasEvents) {
            hasEvents = false;
            try {
                dispatcher.applyActions(loop.now());
                logLevelChange();
            } finally {
                List<Runnable> actions = List.copyOf(plannedActions);
                plannedActions.clear();
                actions.forEach(loop::runGuarded);
            }
            if (hasEvents) {
                loop.defer(() -> {});
            }
        }
        shutdown.advance(clients, pendingByRequest.isEmpty());
    }

    /** Logs each change of the overload level with its reason; the overload settings limit how often it can change. */
    private void logLevelChange() {
        AdmissionControl admission = dispatcher.admissionControl();
        if (admission != null && admission.changeCount() != loggedLevelChanges) {
            loggedLevelChanges = admission.changeCount();
            LOG.info(() -> "overload: " + admission.lastChange());
        }
    }

    // ---- Messages from clients.

    /** Serves an accepted client connection; with {@code overLimit}, it is rejected for lack of sockets. */
    public void connectionAccepted(Connection connection, boolean overLimit) {
        clients.add(new ServerConnection(this, connection, overLimit));
    }

    @Override
    public void connectionClosed(ServerConnection client) {
        clients.remove(client);
    }

    @Override
    public void handleRequest(ServerConnection client, Head head, byte[] body) {
        switch (head.path()) {
            case "/up" ->
                serveOwnPath(
                        client, head, "GET", () -> client.respond(!shutdown.hasBegun() ? 200 : 503, "", EMPTY_BODY));
            case "/counters" ->
                serveOwnPath(
                        client,
                        head,
                        "GET",
                        () -> client.respond(200, "", metrics().strip()));
            case "/_jobs/news" -> serveOwnPath(client, head, "POST", () -> handleJobUpdate(client, body));
            default -> handleJob(client, head, body);
        }
    }

    /** Serves a path of the dispatcher itself, as opposed to the path of a workload. */
    private void serveOwnPath(ServerConnection client, Head head, String method, Runnable action) {
        if (head.method().equals(method)) {
            action.run();
        } else {
            reject(client, RequestDecoder.Rejection.methodNotAllowed(method));
        }
    }

    private void reject(ServerConnection client, RequestDecoder.Rejection rejection) {
        counters.invalidRequests++;
        client.respond(rejection.status(), rejection.header(), rejection.reason());
    }

    private void handleJob(ServerConnection client, Head head, byte[] body) {
        RequestDecoder.Rejection rejection = decoder.validate(head, pendingById::containsKey);
        if (rejection != null) {
            reject(client, rejection);
            return;
        } else if (client.isOverLimit()) {
            // Otherwise requests would wait unread in the kernel until their clients time out. Nothing has run yet.
            counters.rejectedOverSocketLimit++;
            client.respond(503, "", EMPTY_BODY);
            return;
        }
        Request request = decoder.decode(head, loop.now().minus(loop.stallDuration()));
        PendingRequest pending = new PendingRequest(RequestDecoder.id(head), request, head, body, client);
        pendingById.put(pending.id, pending);
        pendingByRequest.put(request, pending);
        client.currentRequest = pending;
        counters.acceptedRequests++;
        pending.deadlineTimer = loop.schedule(request.deadline.minus(loop.now()), () -> expire(pending));
        dispatcher.onRequest(loop.now(), request);
        markEvents();
    }

    /** Ends the attempts of a request whose client has reached its timeout. */
    private void expire(PendingRequest pending) {
        for (OutgoingAttempt outgoing : List.copyOf(pending.attempts)) {
            outgoing.stop(Outcome.TIMED_OUT);
            outgoing.end(Outcome.TIMED_OUT, null); // no further attempt depends on the cancellation
        }
    }

    @Override
    public void requestAborted(ServerConnection client) {
        if (client.currentRequest instanceof PendingRequest pending) {
            clientDisconnected(pending);
        }
    }

    private void clientDisconnected(PendingRequest pending) {
        counters.clientDisconnects++;
        pending.client = null;
        dispatcher.close(pending.request);
        markEvents();
        removeIfFinished(pending);
    }

    private void respondTo(PendingRequest pending, int status, String headerLines, byte[] body) {
        ServerConnection client = pending.client;
        pending.client = null;
        if (client != null) {
            client.respond(status, headerLines, body);
        }
        removeIfFinished(pending);
    }

    private void removeIfFinished(PendingRequest pending) {
        if (pending.request.isFinished()
                && pending.client == null
                && pendingByRequest.remove(pending.request) != null) {
            pendingById.remove(pending.id);
            pending.deadlineTimer.cancel();
        }
    }

    // ---- Shutdown.

    /** Begins the shutdown: pending requests are answered before the platform may kill the process. */
    public void beginShutdown() {
        if (!shutdown.hasBegun()) {
            LOG.info(() -> "shutting down; " + pendingById.size() + " pending requests");
            shutdown.begin();
            pendingByRequest.keySet().forEach(request -> dispatcher.onTimer(loop.now(), request));
            markEvents();
        }
    }

    // ---- Messages from runners.

    private void handleJobUpdate(ServerConnection client, byte[] body) {
        JobUpdate update = JobUpdate.parse(body);
        if (update == null) {
            counters.malformedJobUpdates++;
            client.respond(400, "", "malformed job update");
            return;
        }
        counters.jobUpdates++;
        client.respond(204, "", EMPTY_BODY);
        RunnerEndpoint endpoint = registry.endpointNamed(update.runner);
        PendingRequest pending = pendingById.get(update.jobId);
        OutgoingAttempt outgoing = endpoint == null || pending == null ? null : pending.activeAttemptAt(endpoint);
        if (outgoing == null) {
            counters.unmatchedJobUpdates++;
            return;
        }
        LoadReport report = toLoadReport(update.load);
        switch (update.state) {
            case STARTED -> {
                if (outgoing.attempt.startedAt == null) { // runners repeat updates that seem to be lost
                    dispatcher.onStarted(loop.now(), outgoing.attempt);
                }
            }
            case RUNNING -> dispatcher.onProgress(loop.now(), outgoing.attempt);
            case FAILED -> outgoing.end(Outcome.ERROR, report);
            case RETURNED -> outgoing.end(Outcome.TURNED_AWAY, report);
            case LOST -> outgoing.end(Outcome.BROKEN, report);
            case DONE -> {
                outgoing.result = update.result;
                outgoing.end(Outcome.FULFILLED, report);
            }
        }
        markEvents();
    }

    /** Reports the end of an attempt to the dispatcher and responds to the client if the attempt succeeded. */
    void attemptEnded(OutgoingAttempt outgoing, Outcome outcome, LoadReport report) {
        PendingRequest pending = outgoing.pendingRequest();
        counters.countOutcome(outcome);
        boolean fulfilled = outcome == Outcome.FULFILLED && !pending.request.closed;
        dispatcher.onAttemptEnd(loop.now(), outgoing.attempt, outcome, pending.request.closed || fulfilled, report);
        markEvents();
        if (fulfilled) {
            counters.fulfilled++;
            respondTo(pending, 200, "", outgoing.result);
        } else {
            removeIfFinished(pending);
        }
    }

    /** Converts the values to a load report; returns null for null. */
    static LoadReport toLoadReport(Map<String, Double> values) {
        return values == null ? null : LoadReportColumns.toLoadReport(name -> values.getOrDefault(name, Double.NaN));
    }

    // ---- The runner list.

    private void applyRunnerList(HostListUpdate list, boolean cached) {
        dispatcher.onRunnerList(loop.now(), registry.update(loop.now(), list), list.complete, cached);
        markEvents();
    }

    /** Changes the address of the discovery service. */
    public void setDiscoveryAddress(InetSocketAddress address) {
        discovery.moveTo(address);
    }

    private void runnerListFailed() {
        dispatcher.onRunnerListFailure(loop.now());
        markEvents();
    }

    // ---- Actions of the dispatcher: recorded while it decides and carried out at the end of the round.

    @Override
    public void dispatch(Attempt attempt, Duration timeout) {
        PendingRequest pending = pendingByRequest.get(attempt.request);
        OutgoingAttempt outgoing = new OutgoingAttempt(this, pending, attempt, registry.endpointOf(attempt.runner));
        pending.attempts.add(outgoing);
        counters.attempts++;
        plannedActions.add(() -> {
            // Uses the clock instead of the time of the round: the process may have been suspended during the round.
            long remainingMillis =
                    attempt.request.deadline.minus(loop.elapsed()).toMillis();
            if (remainingMillis > 0) {
                outgoing.start(remainingMillis, timeout);
            } else {
                outgoing.end(Outcome.NEVER_SENT, null);
            }
        });
    }

    @Override
    public void cancel(Attempt attempt) {
        OutgoingAttempt outgoing = pendingByRequest.get(attempt.request).outgoingOf(attempt);
        counters.cancellations++;
        plannedActions.add(() -> outgoing.stop(Outcome.CANCELLED));
    }

    @Override
    public void shed(Request request, Duration retryAfter) {
        PendingRequest pending = pendingByRequest.get(request);
        counters.shed++;
        String headerLines = retryAfter == null || retryAfter.isZero()
                ? ""
                : String.format(Locale.ROOT, "Retry-After: %.3f\r\n", Durations.seconds(retryAfter));
        plannedActions.add(() -> respondTo(pending, 503, headerLines, EMPTY_BODY));
    }

    @Override
    public void giveUp(Request request) {
        PendingRequest pending = pendingByRequest.get(request);
        counters.givenUp++;
        plannedActions.add(() -> respondTo(pending, 502, "", EMPTY_BODY));
    }

    @Override
    public void probe(Runner runner) {
        counters.probes++;
        RunnerEndpoint endpoint = registry.endpointOf(runner);
        plannedActions.add(() -> new LoadProbe(this, endpoint).start());
    }

    void probeCompleted(RunnerEndpoint endpoint, Map<String, Double> values, Duration duration) {
        counters.failedProbes += values == null ? 1 : 0;
        dispatcher.onProbeResult(loop.now(), endpoint.runner, values != null, duration, toLoadReport(values));
        markEvents();
    }

    @Override
    public void setTimer(Duration delay, Object timerTarget) {
        loop.schedule(delay, () -> {
            dispatcher.onTimer(loop.now(), timerTarget);
            markEvents();
        });
    }

    @Override
    public void subscribe(boolean enabled) {
        plannedActions.add(enabled ? discovery::watch : discovery::unwatch);
    }

    @Override
    public void requestRunnerList() {
        plannedActions.add(() -> discovery.read(received -> {
            if (!received) {
                runnerListFailed();
            }
        }));
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        plannedActions.add(() -> {
            RunnerEndpoint endpoint = registry.endpointOf(runner);
            if (endpoint != null) {
                endpoint.pool.closeIdle();
            }
        });
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        // The network protocol has no messages between dispatchers.
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
