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

/** Stands between the decisions and the sockets: ids become objects, events calls, and actions messages. */
public final class Router implements DispatcherActions, ServerConnection.Handler {
    private static final Logger LOG = Logger.getLogger(Router.class.getName());
    private static final double IDLE_PART = 0.8; // of the idle time after which a runner closes a connection
    private static final byte[] NOTHING = new byte[0];
    private static final HttpParser.Limits REQUESTS =
            new HttpParser.Limits(HttpParser.MAX_HEAD_BYTES, HttpParser.MAX_REQUEST_BODY_BYTES);
    private static final Duration WHOLE_WITHIN = Duration.ofMillis(2500); // for a request to come

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final DispatcherSettings orders;
    private final Intake intake;
    private final Ending ending;
    private final Counters counters = new Counters();
    private final Fleet fleet;
    private final Discovery discovery;
    private final Dispatcher dispatcher;
    private final Map<String, Held> heldById = new HashMap<>();
    private final Map<Request, Held> held = new HashMap<>();
    private final Set<ServerConnection> clients = new HashSet<>();
    private final List<Runnable> acts = new ArrayList<>();
    private boolean eventful;
    private Preview preview;
    private long levelChanges;

    public Router(
            EventLoop loop,
            SocketBudget sockets,
            DispatcherSettings orders,
            Duration idleClose,
            InetSocketAddress lists,
            long startMillis,
            SplittableRandom chance) {
        this.loop = loop;
        this.sockets = sockets;
        this.orders = orders;
        this.intake = new Intake(orders);
        this.ending = new Ending(loop, sockets, orders);
        Duration idleLimit = Durations.ofSeconds(Durations.seconds(idleClose) * IDLE_PART);
        fleet = new Fleet(
                to -> new ConnectionPool(loop, sockets, to, orders.connectTimeout, idleLimit),
                startMillis,
                Durations.max(orders.warmUpTime, orders.maxClientTimeout()));
        discovery = new Discovery(
                loop,
                sockets,
                lists,
                counters,
                chance.split(),
                list -> listed(list, false),
                orders.subscribes ? this::listFailed : null);
        dispatcher = new Dispatcher(orders, this, chance);
    }

    /** Where clients come in: what ends that, all that has come by then taken in. */
    public void listening(Runnable end) {
        ending.listening(end);
    }

    /** Begins with the list as it was last known; null where there is none. */
    public void begin(HostListUpdate known) {
        dispatcher.onStart(loop.now());
        if (known != null) {
            discovery.knows(known.seq);
            listed(known, true);
        }
        if (!orders.subscribes) {
            discovery.follow();
        }
        eventful();
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public SocketBudget socketBudget() {
        return sockets;
    }

    /** The assignment held under this id; null where none is. */
    Held held(String id) {
        return heldById.get(id);
    }

    Counters counters() {
        return counters;
    }

    /** How long a runner may take to answer what it answers at once. */
    Duration answerLimit() {
        return orders.connectTimeout;
    }

    @Override
    public boolean closesAfter(int status) {
        return ending.closes(status);
    }

    @Override
    public HttpParser.Limits requestLimits() {
        return REQUESTS;
    }

    @Override
    public Duration requestTimeout() {
        return WHOLE_WITHIN;
    }

    @Override
    public void requestRejected(boolean tooSlow) {
        if (tooSlow) {
            counters.tooSlow++;
        } else {
            counters.badRequests++;
        }
    }

    public String counted() {
        AdmissionControl levels = dispatcher.admissionControl();
        return counters.lines(heldById.size(), sockets.openCount(), loop.exceptionCount())
                + (levels == null
                        ? ""
                        : "overload_level " + levels.level() + "\noverload_level_changes " + levels.changeCount()
                                + "\noverload_turned_away " + levels.rejectedCount() + "\n")
                + (preview == null ? "" : preview.lines());
    }

    /** Counts from now on where these settings would have decided otherwise; what is decided stays as it is. */
    public void preview(DispatcherSettings other) {
        preview = new Preview(dispatcher, other);
    }

    // ---- The turn.

    private void eventful() {
        eventful = true;
    }

    /** All that was ready has been gathered: the dispatcher decides once, then its wishes are carried out. */
    public void turnEnd() {
        if (eventful) {
            eventful = false;
            try {
                dispatcher.applyActions(loop.now());
                tellLevel();
            } finally {
                List<Runnable> wished = List.copyOf(acts);
                acts.clear();
                wished.forEach(loop::runGuarded);
            }
            if (eventful) {
                loop.defer(() -> {});
            }
        }
        ending.look(clients, held.isEmpty());
    }

    /** Each change of the level stands in the log with its reason; the terms bound how often that can be. */
    private void tellLevel() {
        AdmissionControl levels = dispatcher.admissionControl();
        if (levels != null && levels.changeCount() != levelChanges) {
            levelChanges = levels.changeCount();
            LOG.info(() -> "overload: " + levels.lastChange());
        }
    }

    // ---- From clients.

    public void accepted(Connection connection, boolean full) {
        clients.add(new ServerConnection(this, connection, full));
    }

    @Override
    public void connectionClosed(ServerConnection client) {
        clients.remove(client);
    }

    @Override
    public void handleRequest(ServerConnection client, Head head, byte[] body) {
        switch (head.path()) {
            case "/up" -> own(client, head, "GET", () -> client.respond(!ending.hasBegun() ? 200 : 503, "", NOTHING));
            case "/counters" ->
                own(client, head, "GET", () -> client.respond(200, "", counted().strip()));
            case "/_jobs/news" -> own(client, head, "POST", () -> news(client, body));
            default -> assignment(client, head, body);
        }
    }

    private void own(ServerConnection client, Head head, String method, Runnable what) {
        if (head.method().equals(method)) {
            what.run();
        } else {
            turnDown(client, Intake.Refusal.method(method));
        }
    }

    private void turnDown(ServerConnection client, Intake.Refusal refusal) {
        counters.badRequests++;
        client.respond(refusal.status(), refusal.header(), refusal.why());
    }

    private void assignment(ServerConnection client, Head head, byte[] body) {
        Intake.Refusal refusal = intake.refusal(head, heldById::containsKey);
        if (refusal != null) {
            turnDown(client, refusal);
            return;
        } else if (client.isOverLimit()) {
            // Guards against requests that wait unread in the kernel until their clients give up. Nothing has run.
            counters.turnedAway++;
            client.respond(503, "", NOTHING);
            return;
        }
        Request a = intake.assignment(head, loop.now().minus(loop.stallDuration()));
        Held taken = new Held(Intake.id(head), a, head, body, client);
        heldById.put(taken.id, taken);
        held.put(a, taken);
        client.currentRequest = taken;
        counters.taken++;
        taken.patience = loop.schedule(a.deadline.minus(loop.now()), () -> outOfTime(taken));
        dispatcher.onRequest(loop.now(), a);
        eventful();
    }

    private void outOfTime(Held late) {
        for (Sending sending : List.copyOf(late.sendings)) {
            sending.stop(Outcome.TIMED_OUT);
            sending.end(Outcome.TIMED_OUT, null); // nothing follows that the runner's word should be awaited for
        }
    }

    @Override
    public void requestAborted(ServerConnection client) {
        if (client.currentRequest instanceof Held served) {
            clientGone(served);
        }
    }

    private void clientGone(Held left) {
        counters.clientsGone++;
        left.client = null;
        dispatcher.close(left.assignment);
        eventful();
        forgetIfOver(left);
    }

    private void answer(Held to, int status, String more, byte[] body) {
        ServerConnection client = to.client;
        to.client = null;
        if (client != null) {
            client.respond(status, more, body);
        }
        forgetIfOver(to);
    }

    private void forgetIfOver(Held done) {
        if (done.assignment.isFinished() && done.client == null && held.remove(done.assignment) != null) {
            heldById.remove(done.id);
            done.patience.cancel();
        }
    }

    // ---- The end.

    /** Told to end: what is held is answered before the process can be killed outright. */
    public void end() {
        if (!ending.hasBegun()) {
            LOG.info(() -> "told to end; " + heldById.size() + " assignments held");
            ending.begin();
            held.keySet().forEach(a -> dispatcher.onTimer(loop.now(), a));
            eventful();
        }
    }

    // ---- From runners.

    private void news(ServerConnection client, byte[] body) {
        JobUpdate news = JobUpdate.parse(body);
        if (news == null) {
            counters.badCallBacks++;
            client.respond(400, "", "no job's news");
            return;
        }
        counters.callBacks++;
        client.respond(204, "", NOTHING);
        Target target = fleet.named(news.runner);
        Held about = heldById.get(news.jobId);
        Sending sending = target == null || about == null ? null : about.outAt(target);
        if (sending == null) {
            counters.callBacksUnmatched++;
            return;
        }
        LoadReport report = report(news.load);
        switch (news.state) {
            case STARTED -> {
                if (sending.dispatch.startedAt == null) { // a runner tells again what we did not seem to hear
                    dispatcher.onStarted(loop.now(), sending.dispatch);
                }
            }
            case RUNNING -> dispatcher.onProgress(loop.now(), sending.dispatch);
            case FAILED -> sending.end(Outcome.ERROR, report);
            case RETURNED -> sending.end(Outcome.TURNED_AWAY, report);
            case LOST -> sending.end(Outcome.BROKEN, report);
            case DONE -> {
                sending.result = news.result;
                sending.end(Outcome.FULFILLED, report);
            }
        }
        eventful();
    }

    /** A dispatch has ended, however it did. */
    void ended(Sending sending, Outcome outcome, LoadReport report) {
        Held of = sending.held();
        counters.ended(outcome);
        boolean served = outcome == Outcome.FULFILLED && !of.assignment.closed;
        dispatcher.onAttemptEnd(loop.now(), sending.dispatch, outcome, of.assignment.closed || served, report);
        eventful();
        if (served) {
            counters.fulfilled++;
            answer(of, 200, "", sending.result);
        } else {
            forgetIfOver(of);
        }
    }

    /** The report of these values; null where there are none. */
    static LoadReport report(Map<String, Double> values) {
        return values == null ? null : LoadReportColumns.toLoadReport(name -> values.getOrDefault(name, Double.NaN));
    }

    // ---- From discovery.

    private void listed(HostListUpdate list, boolean cached) {
        dispatcher.onRunnerList(loop.now(), fleet.sightings(loop.now(), list), list.complete, cached);
        eventful();
    }

    /** Discovery is at another address from now on. */
    public void discoveryAt(InetSocketAddress address) {
        discovery.moveTo(address);
    }

    private void listFailed() {
        dispatcher.onRunnerListFailure(loop.now());
        eventful();
    }

    // ---- The door: what is wished is noted, and carried out when the dispatcher has settled.

    @Override
    public void dispatch(Attempt dispatch, Duration timeOut) {
        Held of = held.get(dispatch.request);
        Sending sending = new Sending(this, of, dispatch, fleet.of(dispatch.runner));
        of.sendings.add(sending);
        counters.dispatches++;
        acts.add(() -> {
            // By the clock, not the turn's time: guards against a process that was stopped in the midst of a turn.
            long left = dispatch.request.deadline.minus(loop.elapsed()).toMillis();
            if (left > 0) {
                sending.begin(left, timeOut);
            } else {
                sending.end(Outcome.NEVER_SENT, null);
            }
        });
    }

    @Override
    public void cancel(Attempt dispatch) {
        Sending sending = held.get(dispatch.request).of(dispatch);
        counters.cancels++;
        acts.add(() -> sending.stop(Outcome.CANCELLED));
    }

    @Override
    public void shed(Request assignment, Duration pause) {
        Held of = held.get(assignment);
        counters.shed++;
        String advice = pause == null || pause.isZero()
                ? ""
                : String.format(Locale.ROOT, "Retry-After: %.3f\r\n", Durations.seconds(pause));
        acts.add(() -> answer(of, 503, advice, NOTHING));
    }

    @Override
    public void giveUp(Request assignment) {
        Held of = held.get(assignment);
        counters.givenUp++;
        acts.add(() -> answer(of, 502, "", NOTHING));
    }

    @Override
    public void probe(Runner runner) {
        counters.probes++;
        Target target = fleet.of(runner);
        acts.add(() -> new Probe(this, target).begin());
    }

    void probed(Target target, Map<String, Double> values, Duration took) {
        counters.probesUnanswered += values == null ? 1 : 0;
        dispatcher.onProbeResult(loop.now(), target.runner, values != null, took, report(values));
        eventful();
    }

    @Override
    public void setTimer(Duration after, Object what) {
        loop.schedule(after, () -> {
            dispatcher.onTimer(loop.now(), what);
            eventful();
        });
    }

    @Override
    public void subscribe(boolean on) {
        acts.add(on ? discovery::watch : discovery::unwatch);
    }

    @Override
    public void requestRunnerList() {
        acts.add(() -> discovery.read(came -> {
            if (!came) {
                listFailed();
            }
        }));
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        acts.add(() -> {
            Target target = fleet.of(runner);
            if (target != null) {
                target.pool.closeIdle();
            }
        });
    }

    @Override
    public void sendToPeer(int number, String message) {
        // The protocol on sockets carries no messages between dispatchers.
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }
}
