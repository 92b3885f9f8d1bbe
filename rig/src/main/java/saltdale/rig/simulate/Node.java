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
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.Work;
import saltdale.rig.judge.Witness.Health;

/** One simulated dispatcher: the Door of what decides, with the timeline and the network behind it. */
final class Node implements DispatcherActions, Sight {
    private final Simulation sim;
    final int number;
    private final SplittableRandom chance;
    private final DispatcherSettings orders;
    private SimulatedDispatcher mind;
    /** Counts its lives: what was set for an earlier one is not for this one. */
    private int life;

    private boolean settling;
    private final List<Runner> runners = new ArrayList<>();
    private final Map<Runner, Integer> numbers = new IdentityHashMap<>();
    private final Map<Request, Held> held = new LinkedHashMap<>(); // in order: a kill answers all of them
    private final Map<String, Held> byId = new HashMap<>();
    private final Set<Integer> connected = new HashSet<>();

    private static final class Held {
        final Simulation.Try of;
        final Request assignment;
        final Map<Attempt, Flight> flights = new IdentityHashMap<>(2);
        boolean answered;

        Held(Simulation.Try of, Request assignment) {
            this.of = of;
            this.assignment = assignment;
        }
    }

    Node(Simulation sim, int number, SplittableRandom chance) {
        this.sim = sim;
        this.number = number;
        this.chance = chance;
        this.orders = sim.day.orders(number);
    }

    boolean isUp() {
        return mind != null;
    }

    private Duration now() {
        return sim.time.now();
    }

    // ---- Its life.

    void start(Simulation.Minds minds) {
        life++;
        runners.clear();
        numbers.clear();
        for (int i = 0; i < sim.day.runners; i++) {
            Runner runner = new Runner();
            runners.add(runner);
            numbers.put(runner, i);
        }
        mind = minds.of(orders, this, chance.split());
        sim.front(number, false);
        mind.began(now());
        listWhole();
    }

    void kill() {
        sim.judge.killed(now(), number);
        sim.front(number, true);
        life++;
        mind = null;
        held.values().forEach(each -> {
            each.flights.values().forEach(Flight::abandoned);
            if (!each.answered) {
                client(each.of, Simulation.Outcome.UNREACHABLE, null, null);
            }
        });
        held.clear();
        byId.clear();
        connected.clear();
    }

    private void eventful() {
        if (!settling && mind != null) {
            settling = true;
            int mine = life;
            sim.time.at(
                    now(),
                    () -> { // after all that is due at this moment
                        settling = false;
                        if (mine == life) {
                            mind.settle(now());
                        }
                    });
        }
    }

    private void after(Duration span, Runnable what) {
        int mine = life;
        sim.time.after(span, () -> {
            if (mine == life && mind != null) {
                what.run();
            }
        });
    }

    // ---- The list.

    void listWhole() {
        if (mind == null) {
            return;
        }
        List<RunnerListEntry> all = new ArrayList<>();
        for (int i = 0; i < runners.size(); i++) {
            all.add(sighting(i));
        }
        mind.listed(now(), all, true, false);
        eventful();
    }

    void listChanged(int runner) {
        if (mind != null) {
            mind.listed(now(), List.of(sighting(runner)), false, false);
            eventful();
        }
    }

    private RunnerListEntry sighting(int runner) {
        Health health = sim.health(runner);
        sim.judge.told(now(), number, runner, health, sim.fleet.bornAt(runner));
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
                sim.fleet.bornAt(runner));
    }

    // ---- Clients.

    void take(Simulation.Try request) {
        Request a = new Request(request.ask().job().workload(), now(), request.patience());
        a.markedAsRetry = request.number > 1;
        Held taken = new Held(request, a);
        held.put(a, taken);
        byId.put(request.id, taken);
        after(request.patience(), () -> outOfTime(taken));
        mind.arrived(now(), a);
        eventful();
    }

    private void outOfTime(Held late) {
        for (Flight flight : List.copyOf(late.flights.values())) {
            if (flight.dispatch.outcome == null) {
                flight.callOff(false);
                ended(late, flight, Outcome.TIMED_OUT, null, null);
            }
        }
        forgetIfOver(late);
    }

    void clientGone(Simulation.Try request) {
        Held left = byId.get(request.id);
        if (left != null) {
            left.answered = true;
            mind.close(left.assignment);
            eventful();
            forgetIfOver(left);
        }
    }

    private void answer(Held to, Simulation.Outcome how, Duration pause, String result) {
        if (!to.answered) {
            to.answered = true;
            client(to.of, how, pause, result);
        } else if (how != Simulation.Outcome.FULFILLED) {
            client(to.of, how, pause, result); // what decides has answered twice: so it is seen
        }
        forgetIfOver(to);
    }

    private void client(Simulation.Try request, Simulation.Outcome how, Duration pause, String result) {
        sim.time.after(sim.hop(0, 0), () -> {
            if (how == Simulation.Outcome.UNREACHABLE) {
                sim.judge.cut(now(), request.id);
            } else {
                sim.judge.answered(now(), request.id, how.how, result);
            }
            request.customer.answered(request, how, pause, result);
        });
    }

    private void forgetIfOver(Held done) {
        if (done.answered && done.assignment.isFinished() && held.remove(done.assignment) != null) {
            byId.remove(done.of.id);
        }
    }

    private void ended(Held of, Flight flight, Outcome outcome, LoadReport report, String result) {
        if (flight.dispatch.outcome != null || mind == null) {
            return;
        }
        boolean served = outcome == Outcome.FULFILLED && !of.assignment.closed;
        mind.ended(now(), flight.dispatch, outcome, of.assignment.closed || served, report);
        flight.dispatch.outcome = outcome;
        eventful();
        if (served) {
            of.assignment.closed = true;
            answer(of, Simulation.Outcome.FULFILLED, null, result);
        } else {
            forgetIfOver(of);
        }
    }

    // ---- A dispatch on its way.

    final class Flight {
        private final Held of;
        private final Attempt dispatch;
        private final int runner;
        private final int mine = life;
        private Duration arrivesAt;
        private Duration lastWord = Duration.ZERO;
        private boolean calledOff;

        private Flight(Held of, Attempt dispatch, int runner) {
            this.of = of;
            this.dispatch = dispatch;
            this.runner = runner;
        }

        private int zone() {
            return sim.zoneOf(runner);
        }

        private boolean linked() {
            return !sim.fleet.isSilent(runner) && sim.reachable(sim.zoneOf(number), zone());
        }

        private void begin() {
            Duration sentAt = now();
            boolean fresh = connected.add(runner);
            Duration hop = sim.hop(sim.zoneOf(number), zone());
            arrivesAt = now().plus(hop.multipliedBy(fresh ? 3 : 1));
            sim.time.at(arrivesAt, () -> arrive(sentAt, fresh));
        }

        private void arrive(Duration sentAt, boolean fresh) {
            if (!linked()) {
                connected.remove(runner);
                if (fresh) {
                    after(orders.connectTimeout, () -> ended(of, this, Outcome.NOT_CONNECTED, null, null));
                }
                return; // on an open connection nothing is heard: it times out
            }
            if (!sim.fleet.isUp(runner)) {
                word(() -> ended(of, this, Outcome.NOT_CONNECTED, null, null));
                return;
            }
            String id = of.of.id;
            Workload workload = of.assignment.workload;
            Work work = new Work(
                    id,
                    workload.repeatSafety == Workload.RepeatSafety.RECEIPTED ? of.of.receipt() : null,
                    workload,
                    of.of.ask().size(),
                    number);
            work.mark = this;
            sim.judge.reached(sentAt, now(), id, runner, number, work.size);
            RunnerModel.Offer offer = sim.fleet.offer(runner, work);
            LoadReport report = offer == RunnerModel.Offer.TAKEN || offer == RunnerModel.Offer.FELL
                    ? null
                    : sim.fleet.report(runner);
            switch (offer) {
                case FULL, DRAINING -> {
                    sim.judge.unstarted(now(), id, runner);
                    word(() -> ended(of, this, Outcome.TURNED_AWAY, report, null));
                }
                case ERROR -> {
                    sim.judge.over(now(), id, runner);
                    word(() -> ended(of, this, Outcome.ERROR, report, null));
                }
                case FELL -> {
                    sim.judge.over(now(), id, runner);
                    word(() -> ended(of, this, Outcome.BROKEN, null, null));
                }
                default -> {} // its news will tell
            }
        }

        /** Something the runner says reaches the dispatcher, in the order in which it was said. */
        private void word(Runnable what) {
            if (!linked()) {
                return;
            }
            Duration at = now().plus(sim.hop(zone(), sim.zoneOf(number)));
            lastWord = at.compareTo(lastWord) > 0 ? at : lastWord;
            sim.time.at(lastWord, () -> {
                if (mine == life) {
                    what.run();
                }
            });
        }

        void started() {
            word(() -> {
                if (dispatch.outcome == null && dispatch.startedAt == null) {
                    mind.started(now(), dispatch);
                    eventful();
                }
            });
        }

        void running() {
            word(() -> {
                if (dispatch.outcome == null) {
                    mind.progressed(now(), dispatch);
                    eventful();
                }
            });
        }

        void told(RunnerModel.End how, String result) {
            LoadReport report = how == RunnerModel.End.LOST ? null : sim.fleet.report(runner);
            Outcome outcome = switch (how) {
                case DONE -> Outcome.FULFILLED;
                case FAILED -> Outcome.ERROR;
                case RETURNED, SHED -> Outcome.TURNED_AWAY;
                case LOST -> Outcome.BROKEN;
            };
            word(() -> ended(of, this, outcome, report, result));
        }

        /** Takes it back at the runner; where it is wanted, it ends when that has been answered. */
        private void callOff(boolean ends) {
            if (calledOff) {
                return;
            }
            calledOff = true;
            Duration at = now().plus(sim.hop(sim.zoneOf(number), zone()));
            sim.time.at(at.compareTo(arrivesAt) > 0 ? at : arrivesAt, () -> {
                if (!linked() || !sim.fleet.isUp(runner)) {
                    if (ends) {
                        after(orders.connectTimeout, () -> ended(of, this, Outcome.CANCELLED, null, null));
                    }
                    return;
                }
                sim.fleet.takeBack(runner, of.of.id, number);
                sim.judge.over(now(), of.of.id, runner);
                if (ends) {
                    word(() -> ended(of, this, Outcome.CANCELLED, null, null));
                }
            });
        }

        /** The dispatcher was killed: its connections end, and the jobs that nobody waits for run on. */
        private void abandoned() {
            sim.judge.over(now(), of.of.id, runner);
        }
    }

    @Override
    public double held(Runner runner) {
        return sim.fleet.isUp(numbers.get(runner))
                ? sim.fleet.report(numbers.get(runner)).inFlight()
                : Double.POSITIVE_INFINITY;
    }

    // ---- The door.

    @Override
    public void dispatch(Attempt dispatch, Duration timeOut) {
        Held of = held.get(dispatch.request);
        if (of == null) {
            // over already, and forgotten; what decides is at fault, and the judge has seen the answer
            return;
        }
        Flight flight = new Flight(of, dispatch, numbers.get(dispatch.runner));
        of.flights.put(dispatch, flight);
        flight.begin();
        if (timeOut != null) {
            after(timeOut, () -> {
                if (dispatch.outcome == null) {
                    flight.callOff(false);
                    ended(of, flight, Outcome.TIMED_OUT, null, null);
                }
            });
        }
    }

    @Override
    public void cancel(Attempt dispatch) {
        Held of = held.get(dispatch.request);
        if (of != null) {
            of.flights.get(dispatch).callOff(true);
        }
    }

    @Override
    public void shed(Request assignment, Duration pause) {
        finalWord(assignment, Simulation.Outcome.SHED, pause);
    }

    @Override
    public void giveUp(Request assignment) {
        finalWord(assignment, Simulation.Outcome.GIVEN_UP, null);
    }

    private void finalWord(Request assignment, Simulation.Outcome how, Duration pause) {
        Held of = held.get(assignment);
        if (of != null) {
            answer(of, how, pause, null);
        }
    }

    @Override
    public void probe(Runner runner) {
        int asked = numbers.get(runner);
        sim.probed();
        Duration sentAt = now();
        Duration there = sim.hop(sim.zoneOf(number), sim.zoneOf(asked));
        after(there, () -> {
            if (sim.fleet.isSilent(asked) || !sim.reachable(sim.zoneOf(number), sim.zoneOf(asked))) {
                after(orders.connectTimeout.multipliedBy(2), () -> probed(runner, false, sentAt, null));
                return;
            }
            boolean up = sim.fleet.isUp(asked);
            LoadReport report = up ? sim.fleet.report(asked) : null;
            after(sim.hop(sim.zoneOf(asked), sim.zoneOf(number)), () -> probed(runner, up, sentAt, report));
        });
    }

    private void probed(Runner runner, boolean answered, Duration sentAt, LoadReport report) {
        mind.probed(now(), runner, answered, now().minus(sentAt), report);
        eventful();
    }

    @Override
    public void setTimer(Duration after, Object what) {
        // A wake comes a round later at the soonest: where time stands still in a turn, one at once could go
        // on for ever.
        after(after.compareTo(orders.roundInterval) > 0 ? after : orders.roundInterval, () -> {
            mind.woken(now(), what);
            eventful();
        });
    }

    @Override
    public void subscribe(boolean on) {
        if (on) {
            after(sim.hop(0, 0), this::listWhole);
        }
    }

    @Override
    public void requestRunnerList() {
        after(sim.hop(0, 0), this::listWhole);
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        connected.remove(numbers.get(runner));
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        // Dispatchers share nothing here.
    }

    @Override
    public void log(String line) {
        // Nobody reads it in simulated time.
    }
}
