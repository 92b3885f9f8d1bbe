package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.model.Workload;
import saltdale.rig.fleet.RunnerJob;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.judge.EventObserver.ListedHealth;

/**
 * One simulated dispatcher process: carries out the actions of its {@link SimulatedDispatcher} over the simulated
 * network.
 */
final class SimulatedNode implements DispatcherActions, RunnerLoadView {
    private final Simulation sim;
    final int number;
    private final SplittableRandom random;
    private final DispatcherSettings settings;
    private SimulatedDispatcher dispatcher;
    /** Incremented at each start and kill: events scheduled in an earlier incarnation are ignored. */
    private int incarnation;

    private boolean actionsScheduled;
    private final List<Runner> runners = new ArrayList<>();
    private final Map<Runner, Integer> runnerNumbers = new IdentityHashMap<>();
    private final Map<Request, HeldRequest> requests = new LinkedHashMap<>(); // a kill ends all, in this order
    private final Map<String, HeldRequest> requestsById = new HashMap<>();
    private final Set<Integer> connectedRunners = new HashSet<>();

    /** A request that this dispatcher holds, and its attempts. */
    private static final class HeldRequest {
        final Simulation.ClientTry clientTry;
        final Request request;
        final Map<Attempt, InFlightAttempt> attempts = new IdentityHashMap<>(2);
        boolean answered;

        HeldRequest(Simulation.ClientTry clientTry, Request request) {
            this.clientTry = clientTry;
            this.request = request;
        }
    }

    SimulatedNode(Simulation sim, int number, SplittableRandom random) {
        this.sim = sim;
        this.number = number;
        this.random = random;
        this.settings = sim.day.dispatcherSettings(number);
    }

    boolean isUp() {
        return dispatcher != null;
    }

    private Duration now() {
        return sim.eventQueue.now();
    }

    // ---- Lifecycle.

    void start(Simulation.DispatcherFactory factory) {
        incarnation++;
        runners.clear();
        runnerNumbers.clear();
        for (int i = 0; i < sim.day.runnerCount; i++) {
            Runner runner = new Runner();
            runners.add(runner);
            runnerNumbers.put(runner, i);
        }
        dispatcher = factory.create(settings, this, random.split());
        sim.reportNodeState(number, false);
        dispatcher.onStart(now());
        sendFullList();
    }

    void kill() {
        sim.judge.dispatcherKilled(now(), number);
        sim.reportNodeState(number, true);
        incarnation++;
        dispatcher = null;
        requests.values().forEach(held -> {
            held.attempts.values().forEach(InFlightAttempt::abandon);
            if (!held.answered) {
                respondToClient(held.clientTry, Simulation.TryOutcome.UNREACHABLE, null, null);
            }
        });
        requests.clear();
        requestsById.clear();
        connectedRunners.clear();
    }

    private void scheduleActions() {
        if (!actionsScheduled && dispatcher != null) {
            actionsScheduled = true;
            int ownIncarnation = incarnation;
            sim.eventQueue.scheduleAt(
                    now(),
                    () -> { // after all events due at this time
                        actionsScheduled = false;
                        if (ownIncarnation == incarnation) {
                            dispatcher.applyActions(now());
                        }
                    });
        }
    }

    /** Runs this after a delay, unless the process is killed before. */
    private void schedule(Duration delay, Runnable action) {
        int ownIncarnation = incarnation;
        sim.eventQueue.scheduleAfter(delay, () -> {
            if (ownIncarnation == incarnation && dispatcher != null) {
                action.run();
            }
        });
    }

    // ---- Runner list.

    void sendFullList() {
        if (dispatcher == null) {
            return;
        }
        List<RunnerListEntry> entries = new ArrayList<>();
        for (int i = 0; i < runners.size(); i++) {
            entries.add(listEntry(i));
        }
        dispatcher.onRunnerList(now(), entries, true, false);
        scheduleActions();
    }

    void sendListUpdate(int runner) {
        if (dispatcher != null) {
            dispatcher.onRunnerList(now(), List.of(listEntry(runner)), false, false);
            scheduleActions();
        }
    }

    private RunnerListEntry listEntry(int runner) {
        ListedHealth health = sim.health(runner);
        sim.judge.listEntryReceived(now(), number, runner, health, sim.fleet.listedStart(runner));
        Runner.Mode mode = switch (health) {
            case UP -> Runner.Mode.READY;
            case DRAINING -> Runner.Mode.DRAINING;
            case GONE -> Runner.Mode.GONE;
        };
        return new RunnerListEntry(
                runners.get(runner),
                sim.fleet.make(runner).name(),
                sim.day.zone(runner),
                1,
                mode,
                sim.day.cell(runner),
                sim.fleet.listedStart(runner));
    }

    // ---- Clients.

    void receive(Simulation.ClientTry clientTry) {
        Request request =
                new Request(clientTry.arrival().plannedWorkload().workload(), now(), clientTry.clientTimeout());
        request.markedAsRetry = clientTry.number > 1;
        HeldRequest held = new HeldRequest(clientTry, request);
        requests.put(request, held);
        requestsById.put(clientTry.id, held);
        schedule(clientTry.clientTimeout(), () -> onClientTimeout(held));
        dispatcher.onRequest(now(), request);
        scheduleActions();
    }

    private void onClientTimeout(HeldRequest held) {
        for (InFlightAttempt inFlight : List.copyOf(held.attempts.values())) {
            if (inFlight.attempt.outcome == null) {
                inFlight.cancel(false);
                endAttempt(held, inFlight, Outcome.TIMED_OUT, null, null);
            }
        }
        removeIfFinished(held);
    }

    void onClientLeft(Simulation.ClientTry clientTry) {
        HeldRequest held = requestsById.get(clientTry.id);
        if (held != null) {
            held.answered = true;
            dispatcher.close(held.request);
            scheduleActions();
            removeIfFinished(held);
        }
    }

    private void respond(HeldRequest held, Simulation.TryOutcome outcome, Duration retryAfter, String result) {
        if (!held.answered) {
            held.answered = true;
            respondToClient(held.clientTry, outcome, retryAfter, result);
        } else if (outcome != Simulation.TryOutcome.FULFILLED) {
            respondToClient(held.clientTry, outcome, retryAfter, result); // a second answer: visible to the judge
        }
        removeIfFinished(held);
    }

    private void respondToClient(
            Simulation.ClientTry clientTry, Simulation.TryOutcome outcome, Duration retryAfter, String result) {
        sim.eventQueue.scheduleAfter(sim.latency(0, 0), () -> {
            if (outcome == Simulation.TryOutcome.UNREACHABLE) {
                sim.judge.connectionLost(now(), clientTry.id);
            } else {
                sim.judge.answerReceived(now(), clientTry.id, outcome.finalAnswer, result);
            }
            clientTry.client.onTryEnd(clientTry, outcome, retryAfter, result);
        });
    }

    private void removeIfFinished(HeldRequest held) {
        if (held.answered && held.request.isFinished() && requests.remove(held.request) != null) {
            requestsById.remove(held.clientTry.id);
        }
    }

    private void endAttempt(
            HeldRequest held, InFlightAttempt inFlight, Outcome outcome, LoadReport report, String result) {
        if (inFlight.attempt.outcome != null || dispatcher == null) {
            return;
        }
        boolean served = outcome == Outcome.FULFILLED && !held.request.closed;
        dispatcher.onAttemptEnd(now(), inFlight.attempt, outcome, held.request.closed || served, report);
        inFlight.attempt.outcome = outcome;
        scheduleActions();
        if (served) {
            held.request.closed = true;
            respond(held, Simulation.TryOutcome.FULFILLED, null, result);
        } else {
            removeIfFinished(held);
        }
    }

    // ---- Attempts.

    /** An attempt between this dispatcher and a runner. */
    final class InFlightAttempt {
        private final HeldRequest held;
        private final Attempt attempt;
        private final int runner;
        private final int ownIncarnation = incarnation;
        private Duration arrivesAt;
        private Duration lastMessageAt = Duration.ZERO;
        private boolean cancelled;

        private InFlightAttempt(HeldRequest held, Attempt attempt, int runner) {
            this.held = held;
            this.attempt = attempt;
            this.runner = runner;
        }

        private int zone() {
            return sim.zoneOf(runner);
        }

        private boolean isReachable() {
            return !sim.fleet.isSilent(runner) && sim.areConnected(sim.zoneOf(number), zone());
        }

        private void send() {
            Duration sentAt = now();
            boolean newConnection = connectedRunners.add(runner);
            Duration latency = sim.latency(sim.zoneOf(number), zone());
            arrivesAt = now().plus(latency.multipliedBy(newConnection ? 3 : 1));
            sim.eventQueue.scheduleAt(arrivesAt, () -> arrive(sentAt, newConnection));
        }

        private void arrive(Duration sentAt, boolean newConnection) {
            if (!isReachable()) {
                connectedRunners.remove(runner);
                if (newConnection) {
                    schedule(settings.connectTimeout, () -> endAttempt(held, this, Outcome.NOT_CONNECTED, null, null));
                }
                return; // an open connection gets no response: the attempt times out
            }
            if (!sim.fleet.isUp(runner)) {
                deliver(() -> endAttempt(held, this, Outcome.NOT_CONNECTED, null, null));
                return;
            }
            String id = held.clientTry.id;
            Workload workload = held.request.workload;
            RunnerJob job = new RunnerJob(
                    id,
                    workload.repeatSafety == Workload.RepeatSafety.RECEIPTED ? held.clientTry.receipt() : null,
                    workload,
                    held.clientTry.arrival().workSeconds(),
                    number);
            job.attachment = this;
            sim.judge.attemptReceived(sentAt, now(), id, runner, number, job.sizeSeconds);
            RunnerModel.OfferResult offer = sim.fleet.offer(runner, job);
            LoadReport report = offer == RunnerModel.OfferResult.ACCEPTED || offer == RunnerModel.OfferResult.CRASHED
                    ? null
                    : sim.fleet.report(runner);
            switch (offer) {
                case FULL, DRAINING -> {
                    sim.judge.attemptNotStarted(now(), id, runner);
                    deliver(() -> endAttempt(held, this, Outcome.TURNED_AWAY, report, null));
                }
                case ERROR -> {
                    sim.judge.attemptEnded(now(), id, runner);
                    deliver(() -> endAttempt(held, this, Outcome.ERROR, report, null));
                }
                case CRASHED -> {
                    sim.judge.attemptEnded(now(), id, runner);
                    deliver(() -> endAttempt(held, this, Outcome.BROKEN, null, null));
                }
                default -> {} // accepted: the runner reports its progress and end
            }
        }

        /** Delivers a message of the runner to the dispatcher, in the order of sending. */
        private void deliver(Runnable message) {
            if (!isReachable()) {
                return;
            }
            Duration at = now().plus(sim.latency(zone(), sim.zoneOf(number)));
            lastMessageAt = at.compareTo(lastMessageAt) > 0 ? at : lastMessageAt;
            sim.eventQueue.scheduleAt(lastMessageAt, () -> {
                if (ownIncarnation == incarnation) {
                    message.run();
                }
            });
        }

        void started() {
            deliver(() -> {
                if (attempt.outcome == null && attempt.startedAt == null) {
                    dispatcher.onStarted(now(), attempt);
                    scheduleActions();
                }
            });
        }

        void progressed() {
            deliver(() -> {
                if (attempt.outcome == null) {
                    dispatcher.onProgress(now(), attempt);
                    scheduleActions();
                }
            });
        }

        void ended(RunnerModel.JobEnd end, String result) {
            LoadReport report = end == RunnerModel.JobEnd.LOST ? null : sim.fleet.report(runner);
            Outcome outcome = switch (end) {
                case DONE -> Outcome.FULFILLED;
                case FAILED -> Outcome.ERROR;
                case RETURNED, SHED -> Outcome.TURNED_AWAY;
                case LOST -> Outcome.BROKEN;
            };
            deliver(() -> endAttempt(held, this, outcome, report, result));
        }

        /** Cancels the job at the runner; with {@code awaitConfirmation}, the attempt ends once that is confirmed. */
        private void cancel(boolean awaitConfirmation) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            Duration at = now().plus(sim.latency(sim.zoneOf(number), zone()));
            sim.eventQueue.scheduleAt(at.compareTo(arrivesAt) > 0 ? at : arrivesAt, () -> {
                if (!isReachable() || !sim.fleet.isUp(runner)) {
                    if (awaitConfirmation) {
                        schedule(settings.connectTimeout, () -> endAttempt(held, this, Outcome.CANCELLED, null, null));
                    }
                    return;
                }
                sim.fleet.cancel(runner, held.clientTry.id, number);
                sim.judge.attemptEnded(now(), held.clientTry.id, runner);
                if (awaitConfirmation) {
                    deliver(() -> endAttempt(held, this, Outcome.CANCELLED, null, null));
                }
            });
        }

        /** Closes the connection after a kill of the dispatcher; the runner continues the job. */
        private void abandon() {
            sim.judge.attemptEnded(now(), held.clientTry.id, runner);
        }
    }

    @Override
    public double heldJobs(Runner runner) {
        return sim.fleet.isUp(runnerNumbers.get(runner))
                ? sim.fleet.report(runnerNumbers.get(runner)).inFlight()
                : Double.POSITIVE_INFINITY;
    }

    // ---- Actions of the dispatcher.

    @Override
    public void dispatch(Attempt attempt, Duration timeout) {
        HeldRequest held = requests.get(attempt.request);
        if (held == null) {
            // The request is finished and was discarded: a defect of the dispatcher. The judge has seen the answer.
            return;
        }
        InFlightAttempt inFlight = new InFlightAttempt(held, attempt, runnerNumbers.get(attempt.runner));
        held.attempts.put(attempt, inFlight);
        inFlight.send();
        if (timeout != null) {
            schedule(timeout, () -> {
                if (attempt.outcome == null) {
                    inFlight.cancel(false);
                    endAttempt(held, inFlight, Outcome.TIMED_OUT, null, null);
                }
            });
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        HeldRequest held = requests.get(attempt.request);
        if (held != null) {
            held.attempts.get(attempt).cancel(true);
        }
    }

    @Override
    public void shed(Request request, Duration retryAfter) {
        respondLocally(request, Simulation.TryOutcome.SHED, retryAfter);
    }

    @Override
    public void giveUp(Request request) {
        respondLocally(request, Simulation.TryOutcome.GIVEN_UP, null);
    }

    private void respondLocally(Request request, Simulation.TryOutcome outcome, Duration retryAfter) {
        HeldRequest held = requests.get(request);
        if (held != null) {
            respond(held, outcome, retryAfter, null);
        }
    }

    @Override
    public void probe(Runner runner) {
        int runnerNumber = runnerNumbers.get(runner);
        sim.countProbe();
        Duration sentAt = now();
        Duration latency = sim.latency(sim.zoneOf(number), sim.zoneOf(runnerNumber));
        schedule(latency, () -> {
            if (sim.fleet.isSilent(runnerNumber) || !sim.areConnected(sim.zoneOf(number), sim.zoneOf(runnerNumber))) {
                schedule(
                        settings.connectTimeout.multipliedBy(2), () -> deliverProbeResult(runner, false, sentAt, null));
                return;
            }
            boolean up = sim.fleet.isUp(runnerNumber);
            LoadReport report = up ? sim.fleet.report(runnerNumber) : null;
            schedule(
                    sim.latency(sim.zoneOf(runnerNumber), sim.zoneOf(number)),
                    () -> deliverProbeResult(runner, up, sentAt, report));
        });
    }

    private void deliverProbeResult(Runner runner, boolean answered, Duration sentAt, LoadReport report) {
        dispatcher.onProbeResult(now(), runner, answered, now().minus(sentAt), report);
        scheduleActions();
    }

    @Override
    public void setTimer(Duration delay, Object timerTarget) {
        // The delay is one round at least: simulated time stands still within an event, so that timers without a delay
        // could repeat forever.
        schedule(delay.compareTo(settings.roundInterval) > 0 ? delay : settings.roundInterval, () -> {
            dispatcher.onTimer(now(), timerTarget);
            scheduleActions();
        });
    }

    @Override
    public void subscribe(boolean enabled) {
        if (enabled) {
            schedule(sim.latency(0, 0), this::sendFullList);
        }
    }

    @Override
    public void requestRunnerList() {
        schedule(sim.latency(0, 0), this::sendFullList);
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        connectedRunners.remove(runnerNumbers.get(runner));
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        // Simulated dispatchers exchange no messages.
    }

    @Override
    public void log(String line) {
        // Discarded in simulations.
    }
}
