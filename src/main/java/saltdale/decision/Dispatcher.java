// All decisions of one dispatcher. A protocol adapter builds it with the standing orders, a Door to act through
// (its interface: saltdale.model.Door) and the chance of its seed; for each event it calls one of the event
// methods below (began ... woken), and after a round's last event settle(), the only one that acts.
package saltdale.decision;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Door;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.StandingOrders;
import saltdale.model.Workload;

public final class Dispatcher {
    // The design's figures, under its own names.
    static final double C = 0.003;
    static final double ALPHA = 0.9;
    static final int PROBE_CAP = 4;
    static final double LAMBDA_MOST = 0.999;

    /** One row a workload: what is seen of its assignments. */
    static final class Row {
        /** Smoothed running time in seconds; over the hint, where hints come. 0 until one has ended. */
        double run;
        double runPerHint;
        /** The longest patience a client has come with: what a first try brings. */
        Duration patience = Duration.ZERO;
    }

    final StandingOrders orders;
    private final Door door;
    private final SplittableRandom chance;
    final List<Runner> runners = new ArrayList<>();
    private final Map<Workload, Row> rows = new HashMap<>();
    private final Set<Assignment> touched = new LinkedHashSet<>();
    private final Set<Assignment> held = new LinkedHashSet<>();

    // Smoothed figures of the design: λ', L̄, the probe round trip and the running time whose ratio is CT.
    double lambdaSeen;
    double meanQueue;
    double roundTrip;
    double runningTime;

    private double waitPerLoad;
    private double furtherTried;
    private double furtherGood;
    private double workSent;
    private Duration workSentAt = Duration.ZERO;
    private boolean subscribed;
    private Duration askAt;
    private Duration askGap;
    private final Map<Runner, Deque<double[]>> coldSends = new HashMap<>();
    private final Duration base;

    public Dispatcher(StandingOrders orders, Door door, SplittableRandom chance) {
        this.orders = orders;
        this.door = door;
        this.chance = chance;
        Duration shortest = Duration.ofDays(1);
        for (Workload workload : orders.workloads) {
            rows.put(workload, new Row());
            shortest = workload.patience.compareTo(shortest) < 0 ? workload.patience : shortest;
        }
        base = shortest.dividedBy(4);
    }

    // ---- Events. None of these acts: they note what was seen and change what is wanted.

    public void began(Duration now) {
        if (orders.mustSubscribe) {
            askAt = now;
            askGap = orders.askWithin.dividedBy(20);
        }
    }

    public void listed(Duration now, List<Sighting> sightings, boolean whole, boolean cached) {
        Set<Runner> seen = new LinkedHashSet<>();
        for (Sighting s : sightings) {
            Runner r = s.runner();
            seen.add(r);
            if (!runners.contains(r)) {
                runners.add(r);
            }
            if (s.startedAt() != null && !s.startedAt().equals(r.startedAt)) {
                r.good = r.bad = r.slowness = r.slownessSeen = 0;  // a fresh process has no record
                r.trickle = null;
            }
            r.kind = s.kind();
            r.zone = s.zone();
            r.power = s.power();
            r.cell = s.cell();
            r.startedAt = s.startedAt();
            r.mode = s.mode();
        }
        for (Runner r : runners) {
            if (whole && !seen.contains(r)) {
                r.mode = Runner.Mode.GONE;
            }
            if (r.mode == Runner.Mode.GONE) {
                for (Dispatch d : r.out) {
                    touched.add(d.assignment);
                }
            }
        }
        if (!cached && orders.mustSubscribe) {
            subscribed = true;
            askAt = null;
            askGap = orders.askWithin.dividedBy(20);
        }
        for (Assignment a : held) {
            consider(now, a);
        }
    }

    public void listFailed(Duration now) {
        // Jitter, and a gap that doubles: the list service has a fixed capacity for all of us.
        subscribed = false;
        askAt = now.plus(scaled(askGap, 0.5 + chance.nextDouble()));
        Duration most = orders.askWithin.dividedBy(2);
        askGap = askGap.multipliedBy(2).compareTo(most) < 0 ? askGap.multipliedBy(2) : most;
    }

    public void arrived(Duration now, Assignment a) {
        Row row = rows.get(a.workload);
        Duration budget = a.deadline.minus(a.arrivedAt);
        row.patience = budget.compareTo(row.patience) > 0 ? budget : row.patience;
        consider(now, a);
    }

    public void started(Duration now, Dispatch d) {
        d.startedAt = now;
        d.heardAt = now;
        if (d.load >= 0.5) {
            waitPerLoad = smooth(waitPerLoad, secs(now.minus(d.sentAt)) / d.load);
        }
        touch(d.assignment);
    }

    public void progressed(Duration now, Dispatch d, double done) {
        d.heardAt = now;
        d.done = done;
    }

    public void streaming(Duration now, Dispatch d) {
        d.assignment.streaming = true;
        for (Dispatch other : d.assignment.dispatches) {
            other.cancelWanted |= other != d && other.outcome == null;
        }
        touch(d.assignment);
    }

    public void ended(Duration now, Dispatch d, Outcome outcome, boolean over, LoadReport report) {
        Assignment a = d.assignment;
        Runner r = d.runner;
        d.outcome = outcome;
        r.out.remove(d);
        if (report != null) {
            r.report = report;
        }
        learn(now, d);
        touch(a);
        if (over) {
            a.closed = true;
            held.remove(a);
        } else if (!a.closed && pending(a) == null && a.wantedRunner == null) {
            a.secondLook = false;
            furtherOrAnswer(now, a);
        }
    }

    public void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report) {
        Assignment a = null;
        while (a == null && !r.asking.isEmpty()) {
            a = r.asking.poll();
            a = a.asked == r ? a : null;
        }
        double load = Double.POSITIVE_INFINITY;
        if (answered) {
            roundTrip = smooth(roundTrip, secs(took));
            r.report = report;
            r.everSent = true;
            load = load(r);
            meanQueue = smooth(meanQueue, load);
            lambdaSeen = smooth(lambdaSeen, idle(r, a == null ? 1 : a.slots) ? 0 : 1);
        }
        if (a == null) {
            return;
        }
        a.asked = null;
        touch(a);
        if (a.closed) {
            return;
        }
        if (answered && idle(r, a.slots) && sendable(now, a, r)) {
            take(now, a, r, 0);
        } else {
            a.probed.add(r);
            a.loads.add(load);
            search(now, a);
        }
    }

    public void clientGone(Duration now, Assignment a) {
        a.closed = true;
        held.remove(a);
        touch(a);
    }

    public void told(Duration now, int dispatcher, String message) {
        // Messages between dispatchers carry nothing yet.
    }

    public void woken(Duration now, Object what) {
        if (what instanceof Assignment a && !a.closed) {
            a.timerAt = null;
            consider(now, a);
        }
    }

    // ---- The search: probe ready runners one by one, as the design has it.

    /** One look at an assignment: what should be done about it now. */
    void consider(Duration now, Assignment a) {
        touch(a);
        a.wantedLook = lastCall(a);
        Dispatch out = pending(a);
        if (a.streaming || a.closed) {
            a.wantedLook = null;
        } else if (now.compareTo(lastCall(a)) >= 0) {
            answer(a, null);
        } else if (a.asked != null || out == null && a.wantedRunner == null) {
            search(now, a);
        } else if (out != null) {
            watch(now, a, out);
        }
    }

    /** The last moment for an answer of our own, safely before patience ends. */
    private Duration lastCall(Assignment a) {
        return a.deadline.minus(orders.round.multipliedBy(4));
    }

    private void search(Duration now, Assignment a) {
        if (a.asked != null) {
            Duration limit = a.askedAt.plus(probeLimit(a));
            if (now.compareTo(limit) < 0) {
                look(a, limit);
                return;
            }
            // Guards against silent or busy runners holding an assignment up: the answer no longer counts.
            a.probed.add(a.asked);
            a.loads.add(2 * meanQueue + 1);
            a.asked = null;
        }
        while (a.probed.isEmpty() || worthAnother(a)) {
            Runner next = pick(now, a);
            if (next == null) {
                break;
            }
            if (orders.probes) {
                a.wantedProbe = next;
                look(a, now.plus(probeLimit(a)));
                return;
            }
            if (next.out.isEmpty()) {
                take(now, a, next, 0);
                return;
            }
            a.probed.add(next);
            a.loads.add(load(next));
        }
        Runner best = null;
        double least = Double.POSITIVE_INFINITY;
        int ties = 0;
        for (int i = 0; i < a.probed.size(); i++) {
            double load = a.loads.get(i);
            if (load > least || load == Double.POSITIVE_INFINITY || !sendable(now, a, a.probed.get(i))) {
                continue;
            }
            ties = load < least ? 1 : ties + 1;
            if (chance.nextInt(ties) == 0) {
                best = a.probed.get(i);
            }
            least = load;
        }
        if (a.secondLook) {
            endSecondLook(now, a);
        } else if (best != null) {
            take(now, a, best, least);
        } else {
            // Nobody may be sent to just now: hold it, and begin again before long.
            a.probed.clear();
            a.loads.clear();
            held.add(a);
            look(a, now.plus(a.workload.promised.dividedBy(4)));
        }
    }

    /** Whether the payoff B of another probe beats its cost CT + L̄·C. */
    boolean worthAnother(Assignment a) {
        int d = a.probed.size();
        double qMin = Double.POSITIVE_INFINITY;
        for (double load : a.loads) {
            qMin = Math.min(qMin, load);
        }
        return d < PROBE_CAP && payoff(qMin, lambda(lambdaSeen, d), d) > cost();
    }

    double cost() {
        return runningTime == 0 ? 0 : roundTrip / runningTime + meanQueue * C;
    }

    static double lambda(double lambdaSeen, int d) {
        double spare = 1 - 2 * C * d;
        return spare <= 0 ? LAMBDA_MOST : Math.min(LAMBDA_MOST, lambdaSeen / spare);
    }

    /** B = Σ (Qmin − i)·p(i), with p(i) = s(i) − s(i+1). */
    static double payoff(double qMin, double lambda, int d) {
        if (qMin == Double.POSITIVE_INFINITY) {
            return qMin;
        }
        double b = 0;
        for (int i = 0; i <= qMin; i++) {
            b += (qMin - i) * (s(i, lambda, d) - s(i + 1, lambda, d));
        }
        return b;
    }

    static double s(int i, double lambda, int d) {
        return Math.pow(lambda, d == 1 ? i : (Math.pow(d, i) - 1) / (d - 1));
    }

    /** The runner's load: its reported queue, else its jobs in flight, else what we sent it, else the mean. */
    double load(Runner r) {
        int waiting = 0;
        for (Dispatch d : r.out) {
            waiting += orders.tellsStart && d.startedAt == null ? 1 : 0;
        }
        if (r.report != null && !Double.isNaN(r.report.queue())) {
            return Math.max(r.report.queue(), waiting);
        }
        if (r.report != null && !Double.isNaN(r.report.inFlight())) {
            return Math.max(r.report.inFlight(), r.out.size());
        }
        return r.everSent ? r.out.size() : meanSent();
    }

    private double meanSent() {
        double sum = 0;
        int n = 0;
        for (Runner r : runners) {
            if (r.everSent && r.mode == Runner.Mode.READY) {
                sum += r.out.size();
                n++;
            }
        }
        return n == 0 ? 0 : sum / n;
    }

    /** Idle: nothing queued, and enough free slots for this job where they are reported. */
    boolean idle(Runner r, double slots) {
        double ours = 0;
        for (Dispatch d : r.out) {
            // A report is older than our last sends: what has not started yet waits there, seen or not.
            ours += orders.tellsStart && d.startedAt == null ? d.assignment.slots : 0;
        }
        LoadReport report = r.report;
        boolean queueKnown = report != null && !Double.isNaN(report.queue());
        if (report != null && !Double.isNaN(report.freeSlots())) {
            return (!queueKnown || report.queue() < 0.5) && report.freeSlots() - ours >= slots - 0.25;
        }
        return queueKnown ? report.queue() + ours < 0.5 : load(r) < 0.5;
    }

    private Runner pick(Duration now, Assignment a) {
        int ready = 0;
        int aside = 0;
        for (Runner r : runners) {
            ready += r.mode == Runner.Mode.READY ? 1 : 0;
            aside += r.mode == Runner.Mode.READY && r.trickle != null ? 1 : 0;
        }
        boolean panic = 2 * aside > ready;  // when most do badly, it is not them: nobody is set aside
        List<Runner> good = new ArrayList<>();
        List<Runner> rest = new ArrayList<>();
        for (Runner r : runners) {
            if (!sendable(now, a, r) || a.probed.contains(r)) {
                continue;
            }
            boolean trusted = r.trickle == null || panic || now.compareTo(r.trickleAt) >= 0;
            boolean fresh = true;
            for (Dispatch d : a.dispatches) {
                fresh &= d.runner != r;
            }
            (trusted && fresh ? good : rest).add(r);
        }
        List<Runner> from = good.isEmpty() && a.probed.isEmpty() && !a.secondLook ? rest : good;
        return from.isEmpty() ? null : from.get(chance.nextInt(from.size()));
    }

    /** Whether this assignment may go to this runner now: the list, its kind, rule 2 and the cold budget. */
    private boolean sendable(Duration now, Assignment a, Runner r) {
        return r.mode == Runner.Mode.READY && (a.workload.kind == null || a.workload.kind.equals(r.kind))
                && repeatable(now, a, r) && coldBudget(now, a, r);
    }

    /** Rule 2: what may have run goes again only where a repeat is harmless. */
    boolean repeatable(Duration now, Assignment a, Runner r) {
        Workload w = a.workload;
        for (Dispatch d : a.dispatches) {
            boolean ran = d.outcome == null || !d.outcome.neverRan();
            if (!ran || w.repeat == Workload.Repeat.PURE) {
                continue;
            }
            boolean inGroup = w.group == Workload.Group.ALL
                    || w.group == Workload.Group.ZONE && r.zone.equals(d.runner.zone)
                    || w.group == Workload.Group.CELL && r.cell == d.runner.cell;
            Duration remembered = d.sentAt.plus(w.window).minus(orders.round.multipliedBy(4));
            if (w.repeat == Workload.Repeat.EFFECTFUL || !inGroup || now.compareTo(remembered) >= 0) {
                return false;
            }
        }
        return true;
    }

    /** Rule 2: a shed reply says that trying again is harmless. */
    boolean mayShed(Assignment a) {
        Workload w = a.workload;
        if (w.repeat == Workload.Repeat.PURE
                || w.repeat == Workload.Repeat.RECEIPTED && w.group == Workload.Group.ALL) {
            return true;
        }
        for (Dispatch d : a.dispatches) {
            if (d.outcome == null || !d.outcome.neverRan()) {
                return false;
            }
        }
        return true;
    }

    // ---- Taking a runner, or shedding.

    private void take(Duration now, Assignment a, Runner r, double load) {
        Dispatch out = pending(a);
        if (a.secondLook && out != null) {
            // The first dispatch still waits or is silent; this one has an idle runner.
            out.cancelWanted |= out.startedAt == null || !orders.parallel;
            if (out.cancelWanted && !orders.cancels) {
                endSecondLook(now, a);
                return;
            }
            furtherTried++;
        } else if (a.workload.lateImportance == 0 && mayShed(a)) {
            // Guards against an overload in which all are served late: a shed now is worth more than a late answer.
            double over = secs(elapsed(now, a)) + load * waitPerLoad - slack(a);
            if (over > 0) {
                Duration pause = orders.pauses ? ofSecs(load * waitPerLoad) : null;
                answer(a, pause);
                return;
            }
        }
        a.secondLook = false;
        a.wantedRunner = r;
        a.wantedLoad = load;
    }

    /** The time this client has been waiting over all its tries. */
    private Duration elapsed(Duration now, Assignment a) {
        Duration budget = a.deadline.minus(a.arrivedAt);
        return now.minus(a.arrivedAt).plus(rows.get(a.workload).patience.minus(budget));
    }

    /** How long it may wait, in seconds, and still end in the promised time. */
    private double slack(Assignment a) {
        double run = expectedRun(a);
        return secs(a.workload.promised) + Math.max(-run, (a.workload.stretch - 1) * run);
    }

    private double expectedRun(Assignment a) {
        Row row = rows.get(a.workload);
        return a.hint != null && row.runPerHint > 0 ? secs(a.hint) * row.runPerHint : row.run;
    }

    private void answer(Assignment a, Duration pause) {
        a.wantedAnswer = mayShed(a) ? Assignment.Answer.SHED : Assignment.Answer.GIVEN_UP;
        a.wantedPause = pause;
        a.wantedRunner = null;
        a.wantedProbe = null;
    }

    private void furtherOrAnswer(Duration now, Assignment a) {
        double success = (furtherGood + 1) / (furtherTried + 1);
        boolean rationed = chance.nextDouble() > Math.max(0.125, success * 2);
        if (a.dispatches.size() >= orders.mostDispatches || rationed || now.compareTo(lastCall(a)) >= 0) {
            answer(a, null);
            return;
        }
        furtherTried++;
        a.probed.clear();
        a.loads.clear();
        consider(now, a);
    }

    // ---- Watching what is out.

    private void watch(Duration now, Assignment a, Dispatch out) {
        boolean waiting = orders.tellsStart && out.startedAt == null;
        Duration limit;
        if (waiting) {
            Duration wait = ofSecs(2 * out.load * waitPerLoad);
            Duration half = a.workload.promised.dividedBy(2);
            limit = out.sentAt.plus(wait.compareTo(half) > 0 ? wait : half);
        } else if (orders.progressEvery.isZero()) {
            return;
        } else {
            limit = out.heardAt.plus(orders.progressEvery.multipliedBy(3));
        }
        if (a.lookGap != null) {
            limit = limit.plus(a.lookGap);
        }
        boolean may = a.dispatches.size() < orders.mostDispatches && !out.cancelWanted && out == lastOf(a)
                && a.workload.repeat != Workload.Repeat.EFFECTFUL;
        if (!may) {
            return;
        }
        if (now.compareTo(limit) < 0) {
            look(a, limit);
            return;
        }
        if (!waiting) {
            bad(now, out.runner, 1);
        }
        a.lookGap = now.minus(out.sentAt);
        a.secondLook = true;
        a.probed.clear();
        a.loads.clear();
        search(now, a);
    }

    private void endSecondLook(Duration now, Assignment a) {
        a.secondLook = false;
        look(a, now.plus(a.lookGap));
    }

    private static Dispatch lastOf(Assignment a) {
        return a.dispatches.get(a.dispatches.size() - 1);
    }

    static Dispatch pending(Assignment a) {
        for (Dispatch d : a.dispatches) {
            if (d.outcome == null) {
                return d;
            }
        }
        return null;
    }

    // ---- Learning: running times, and each runner's standing.

    private void learn(Duration now, Dispatch d) {
        Runner r = d.runner;
        Assignment a = d.assignment;
        switch (d.outcome) {
            case FULFILLED -> {
                double run = secs(now.minus(d.startedAt == null ? d.sentAt : d.startedAt));
                double usual = expectedRun(a);
                Row row = rows.get(a.workload);
                row.run = smooth(row.run, run);
                runningTime = smooth(runningTime, run);
                if (a.hint != null) {
                    row.runPerHint = smooth(row.runPerHint, run / secs(a.hint));
                }
                if (usual > 0) {
                    r.slowness = 0.8 * r.slowness + 0.2 * Math.log(Math.max(run, 1e-4) / usual);
                    r.slownessSeen++;
                }
                good(now, r);
                furtherGood += a.dispatches.size() > 1 ? 1 : 0;
                if (furtherTried > 32) {
                    furtherTried /= 2;
                    furtherGood /= 2;
                }
            }
            case ERROR -> bad(now, r, 1);
            case BROKEN, NOT_CONNECTED, TIMED_OUT -> bad(now, r, 2);
            default -> { }
        }
    }

    private void good(Duration now, Runner r) {
        r.good++;
        if (r.good + r.bad > 16) {
            r.good /= 2;
            r.bad /= 2;
        }
        if (r.trickle != null) {
            r.trickle = r.trickle.dividedBy(2);
            if (r.trickle.compareTo(base.dividedBy(16)) < 0) {
                r.trickle = null;
                r.bad = 0;
            }
        }
    }

    /** A failure counts; a runner with a poor share of them is set aside, and gets a trickle. */
    private void bad(Duration now, Runner r, double weight) {
        r.bad += weight;
        if (r.trickle != null) {
            Duration twice = r.trickle.multipliedBy(2);
            r.trickle = twice.compareTo(base.multipliedBy(4)) < 0 ? twice : base.multipliedBy(4);
            r.trickleAt = now.plus(r.trickle);
        } else if (r.bad >= 2 && r.bad > 0.3 * (r.good + r.bad)) {
            r.trickle = base;
            r.trickleAt = now.plus(base);
        }
    }

    // ---- Cold runners (rule 4).

    private double coldShare(Duration now, Runner r) {
        if (r.startedAt == null || now.compareTo(r.startedAt.plus(orders.warmWithin)) >= 0) {
            return 1;
        }
        double age = Math.max(0, secs(now.minus(r.startedAt)) / secs(orders.warmWithin));
        return orders.coldFrom + (1 - orders.coldFrom) * age;
    }

    /**
     * Within the budget of a cold runner. What we send an average warm runner stands for our part of its
     * capacity: if every dispatcher keeps its sends within multiple x share of that, all together keep the rule.
     */
    private boolean coldBudget(Duration now, Assignment a, Runner r) {
        double share = coldShare(now, r);
        if (share >= 1) {
            return true;
        }
        int warm = 0;
        for (Runner other : runners) {
            warm += other.mode == Runner.Mode.READY && coldShare(now, other) >= 1 ? 1 : 0;
        }
        if (warm == 0) {
            return r.out.isEmpty();
        }
        double rate = workSent * fade(now) / secs(orders.warmWithin) / warm;
        double budget = 0.6 * orders.tipMultiple * share * rate * secs(orders.fall);
        Deque<double[]> sends = coldSends.computeIfAbsent(r, x -> new ArrayDeque<>());
        while (!sends.isEmpty() && sends.peek()[0] < secs(now) - secs(orders.fall)) {
            sends.poll();
        }
        double spent = work(a);
        for (double[] send : sends) {
            spent += send[1];
        }
        return spent <= budget;
    }

    private double work(Assignment a) {
        double run = expectedRun(a);
        return (run == 0 ? 1 : run) * a.slots;
    }

    private double fade(Duration now) {
        return Math.exp(-secs(now.minus(workSentAt)) / secs(orders.warmWithin));
    }

    private void countSend(Duration now, Assignment a, Runner r) {
        if (coldShare(now, r) < 1) {
            coldSends.computeIfAbsent(r, x -> new ArrayDeque<>()).add(new double[] {secs(now), work(a)});
        } else if (!orders.warmWithin.isZero()) {
            workSent = workSent * fade(now) + work(a);
            workSentAt = now;
        }
    }

    // ---- The one place that acts: the difference between what is wanted and what is.

    public void settle(Duration now) {
        if (askAt != null) {
            if (now.compareTo(askAt) >= 0 && !subscribed) {
                door.subscribe(true);
                askAt = now.plus(orders.askWithin.dividedBy(2));  // asked again should no answer come
            }
            door.wake(askAt.minus(now), this);
        }
        for (Assignment a : List.copyOf(touched)) {
            settle(now, a);
        }
        touched.clear();
    }

    private void settle(Duration now, Assignment a) {
        if (!a.closed && a.wantedAnswer != null) {
            a.closed = true;
            held.remove(a);
            cancelAll(a);
            if (a.wantedAnswer == Assignment.Answer.SHED) {
                door.shed(a, a.wantedPause);
            } else {
                door.giveUp(a);
            }
            return;
        }
        if (a.closed) {
            cancelAll(a);
            return;
        }
        for (Dispatch d : a.dispatches) {
            cancel(d);
        }
        if (a.wantedRunner != null && (orders.parallel || pending(a) == null)) {
            Runner r = a.wantedRunner;
            a.wantedRunner = null;
            if (sendable(now, a, r)) {  // re-checked: the list, the window or the budget may have changed since
                dispatch(now, a, r);
            } else {
                a.probed.clear();
                a.loads.clear();
                consider(now, a);
            }
        }
        if (a.wantedProbe != null) {
            Runner r = a.wantedProbe;
            a.wantedProbe = null;
            a.asked = r;
            a.askedAt = now;
            r.asking.add(a);
            door.probe(r);
        }
        if (a.wantedLook != null && (a.timerAt == null || a.wantedLook.compareTo(a.timerAt) < 0)) {
            a.timerAt = a.wantedLook;
            Duration after = a.wantedLook.minus(now);
            door.wake(after.isNegative() ? Duration.ZERO : after, a);
        }
    }

    private void dispatch(Duration now, Assignment a, Runner r) {
        countSend(now, a, r);
        Dispatch d = new Dispatch(a, r, now);
        d.load = a.wantedLoad;
        a.dispatches.add(d);
        r.out.add(d);
        r.everSent = true;
        held.remove(a);
        if (r.trickle != null) {
            r.trickleAt = now.plus(r.trickle);
        }
        a.wantedLook = lastCall(a);
        a.lookGap = null;
        door.dispatch(d, null);
        watch(now, a, d);
    }

    private void cancelAll(Assignment a) {
        for (Dispatch d : a.dispatches) {
            d.cancelWanted |= d.outcome == null && !(a.streaming && d == lastOf(a));
            cancel(d);
        }
    }

    private void cancel(Dispatch d) {
        if (d.cancelWanted && !d.cancelSent && d.outcome == null && orders.cancels) {
            d.cancelSent = true;
            door.cancel(d);
        }
    }

    // ---- Small helpers.

    private Duration probeLimit(Assignment a) {
        Duration most = a.workload.promised.dividedBy(4);
        if (roundTrip == 0) {
            return most;
        }
        Duration usual = ofSecs(3 * roundTrip).plus(orders.round.multipliedBy(2));
        return usual.compareTo(most) < 0 ? usual : most;
    }

    private void look(Assignment a, Duration at) {
        touch(a);
        a.wantedLook = a.wantedLook == null || at.compareTo(a.wantedLook) < 0 ? at : a.wantedLook;
    }

    private void touch(Assignment a) {
        touched.add(a);
    }

    static double smooth(double old, double sample) {
        return ALPHA * old + (1 - ALPHA) * sample;
    }

    static double secs(Duration span) {
        return span.toNanos() / 1e9;
    }

    static Duration ofSecs(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private static Duration scaled(Duration span, double by) {
        return ofSecs(secs(span) * by);
    }
}
