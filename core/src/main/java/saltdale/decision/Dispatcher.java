// All decisions of one dispatcher. An adapter builds it with the standing orders, a Door and chance, calls a
// method for each event, from began to woken, and settle after a round's last one: only settle acts.
package saltdale.decision;

import static saltdale.model.Spans.*;
import static saltdale.probing.Payoff.smooth;

import java.time.Duration;
import java.util.*;
import java.util.stream.Stream;
import saltdale.model.*;
import saltdale.overload.*;
import saltdale.probing.ProbeLoop;

/** One dispatcher of jobs: probes runners for each job, stops at the first idle one, and weighs further attempts. */
public final class Dispatcher {
    static final double SCARCE = 0.95;  // busy share above which the busy and unsteady are needed too
    static final double MOVABLE = 0.5;  // busy share up to which work that waits is moved
    static final double BELIEF = 4;  // so many runs at the usual pace are believed before any is seen
    static final double POOR = 0.3;  // a runner failing more than this share of late is set aside
    static final double HOMES = 3;  // runners that are home to a key, and so many times its share of all
    static final double REPEAT = 0.5;  // what a marked repeat earns beside a first try: its time is short
    static final double DOUBT = 0.7;  // the most that a runner is passed over for the silence of its zone

    StandingOrders orders;  // replaced for the length of a question by a preview alone
    Preview preview = Preview.NONE;
    private final Door door;
    private final SplittableRandom chance;
    final List<Runner> runners = new ArrayList<>();
    private final Map<Workload, WorkloadStats> stats = new HashMap<>();
    private final Pace pace = new Pace(16, null);  // of all runners; within it those of each kind
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Set<Assignment> touched = new LinkedHashSet<>();
    final ProbeLoop probing = new ProbeLoop();
    double waitPerLoad;  // smoothed: the wait that a load of 1 brings
    private double meanSize, meanWorth, arrivals;  // of all that arrived
    double unseen;  // jobs that likely reached a runner since the report that it answers with
    private final Map<String, Double> silent = new HashMap<>();  // by zone, how much of late went unanswered
    final Histogram further = Histogram.ofOdds(32);  // whether recent further dispatches succeeded
    double busyElsewhere;  // λ' of the runners where no bound work may run
    private final Keys keys = new Keys();
    private final Workload[] bound;  // those that may not run everywhere
    private static final Workload[] NONE = {};
    private Duration dropped, droppedAt;  // after which rest a connection was found dropped, and when
    final Histogram connects = Histogram.ofOdds(32);  // whether recent new connections came up
    private final FleetSurvey fleet;
    private final ColdBudget cold;
    private final boolean noPure;
    private Duration askAt, askGap;  // when to ask for the list (null while subscribed), and again
    private final Levels levels;  // null where overloads are not met by them
    private final Budget budget = new Budget();  // of further dispatches, likewise
    private final Duration spell, memory;  // the unit of setting aside; how long what was measured counts

    public Dispatcher(StandingOrders orders, Door door, SplittableRandom chance) {
        this.orders = orders;
        this.door = door;
        this.chance = chance;
        spell = orders.workloads.stream().map(w -> w.patience).reduce(orders.askWithin, Spans::least)
                .dividedBy(4);
        memory = most(spell, orders.warmWithin);
        fleet = new FleetSurvey(orders, runners, memory);
        cold = new ColdBudget(orders, fleet, stats.values(), memory, chance);
        levels = orders.relief == null ? null : new Levels(orders.relief, memory);
        orders.workloads.forEach(w -> stats.put(w, new WorkloadStats(levels)));
        bound = orders.workloads.stream().filter(Workload::isBound).toArray(Workload[]::new);
        noPure = orders.workloads.stream().noneMatch(w -> w.repeat == Workload.Repeat.PURE);
        askGap = orders.askWithin.dividedBy(20);
    }

    public void began(Duration now) {
        askAt = orders.mustSubscribe ? now : null;
    }

    public void listed(Duration now, List<Sighting> sightings, boolean whole, boolean cached) {
        Set<Runner> seen = new LinkedHashSet<>();
        for (Sighting s : sightings) {
            seen.add(s.runner());
            s.runner().sighted(s, kinds.computeIfAbsent(s.kind(), k -> new Kind(new Pace(64, pace))));
            // Guards against waiting for work that a process took with it: the one there now has none.
            s.runner().out.stream().filter(d -> s.startedAt() != null
                    && d.sentAt.compareTo(s.startedAt()) < 0).forEach(this::takeBack);
        }
        runners.stream().filter(r -> whole && !seen.contains(r)).forEach(r -> r.mode = Runner.Mode.GONE);
        seen.addAll(runners);
        runners.clear();
        runners.addAll(seen);
        runners.removeIf(r -> r.mode == Runner.Mode.GONE);
        if (!cached && orders.mustSubscribe) {
            askAt = null;
            askGap = orders.askWithin.dividedBy(20);
        }
    }

    /** Learnt of one, held against its zone too: each of us meets a runner seldom, but a lost zone often. */
    private void unheard(Duration now, Runner r) {
        r.unheard(now, spell);
        silent.merge(r.zone, smooth(0, 1), (share, first) -> smooth(share, 1));
    }

    private void takeBack(Dispatch d) {
        d.cancelWanted = true;
        touched.add(d.assignment);
    }

    public void listFailed(Duration now) {  // jitter, and a gap that doubles, spare the small list service
        askAt = now.plus(ofSecs(secs(askGap) * (0.5 + chance.nextDouble())));
        askGap = least(askGap.multipliedBy(2), orders.askWithin.dividedBy(2));
    }

    public void arrived(Duration now, Assignment a) {
        WorkloadStats seen = stats.get(a.workload);
        seen.patience = most(seen.patience, a.patience());
        if (a.hint != null) {
            seen.saw(secs(a.hint));
        }
        meanSize += (size(a) - meanSize) / Math.min(++arrivals, 99);
        meanWorth += (worth(a) - meanWorth) / Math.min(arrivals, 99);
        a.luck = chance.nextDouble();
        if (a.key != 0) {
            keys.add(a.key);
        }
        if (levels != null && a.workload.lateImportance == 0 && crowdedOut(now, a)) {
            answer(a, soon(a));
        } else {
            consider(now, a);
        }
    }

    // Guards against an overload in which what earns least for its work keeps out all that earns more.
    private boolean crowdedOut(Duration now, Assignment a) {
        Workload w = a.workload;
        WorkloadStats seen = stats.get(w);
        double earns = earns(w);
        double slack = secs(w.promised) + (w.stretch - 1) * seen.usual;
        double work = seen.ended == 0 ? seen.unit() : size(a);
        levels.offered(now, kind(a), work, isRepeat(a) ? REPEAT * earns : earns, slack, seen.ended);
        return levels.turnsAway(now, kind(a), a.luck);
    }

    private boolean isRepeat(Assignment a) {
        return orders.repeatsMarked && a.repeated;
    }

    private Levels.Kind kind(Assignment a) {
        return isRepeat(a) ? stats.get(a.workload).again : stats.get(a.workload).kind;
    }

    private void judged(Duration now, Assignment a, boolean missed) {
        if (levels != null) {
            levels.judged(now, kind(a), missed);
        }
    }

    /** When what is shed may come back: spread over the time in which it can still be served. */
    private Duration soon(Assignment a) {
        return ofSecs(aim(a) * a.luck / 4);
    }

    /** How overloads are met; null where that is not asked for. */
    public Levels levels() {
        return levels;
    }

    public void started(Duration now, Dispatch d) {
        begun(now, d);
        progressed(now, d);
        consider(now, d.assignment);
    }

    public void progressed(Duration now, Dispatch d) {
        if (d.startedAt == null) {  // no start is told: it was at most one period ago
            begun(most(d.sentAt, now.minus(orders.progressEvery)), d);
        }
        d.heardAt = now;
        d.runner.heard();
    }

    /** The wait that a load of 1 brings: as seen, until then as slots and the mean size tell. */
    private double waitPerLoad(Runner r) {
        double likely = waitPerLoad > 0 || r.of.slots == 0 ? waitPerLoad : meanSize / r.of.slots;
        // Guards against a start in an overload: with no wait known nothing is late, and queues fill at once.
        return likely == 0 && levels != null ? secs(spell) / 2 / Math.max(1, r.of.slots) : likely;
    }

    private void begun(Duration at, Dispatch d) {
        d.startedAt = at;
        double perLoad = waitPerLoad(d.runner), waited = secs(at.minus(d.sentAt));
        if (d.load == 0 && perLoad > 0 && Double.isNaN(d.runner.report.queue())) {
            // Guards against reports so old that each draws all: what a job waited for where it was found
            // idle had come unseen. A start known by progress alone is off by half a period.
            double ahead = waited - (orders.tellsStart ? 0 : secs(orders.progressEvery) / 2);
            unseen += Math.min(1, Math.max(0, ahead / perLoad / 4));
        }
        waitPerLoad = d.load < 0.5 ? waitPerLoad : smooth(perLoad, waited / d.load);
    }

    public void streaming(Duration now, Dispatch d) {
        d.assignment.stream = d;
        touched.add(d.assignment);
    }

    public void ended(Duration now, Dispatch d, Outcome outcome, boolean over, LoadReport report) {
        Assignment a = d.assignment;
        d.outcome = outcome;
        d.unproven = outcome == Outcome.TURNED_AWAY && orders.fullProvesNothing;
        d.runner.out.remove(d);
        d.runner.report = report == null ? d.runner.report : report;
        learn(now, d);
        if (over) {
            close(a);
        } else if (!a.closed && a.pending() == null && a.wantedRunner == null) {
            furtherOrAnswer(now, a);
        }
        touched.add(a);
    }

    public void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report) {
        Assignment a = r.asking.poll();
        while (a != null && a.asked != r) {  // it no longer waited
            a = r.asking.poll();
        }
        double load = Double.POSITIVE_INFINITY;
        boolean idle = false;
        if (!answered) {
            unheard(now, r);
        } else {
            r.heard();
            silent.remove(r.zone);  // it is not cut off, whatever holds for others in it
            r.report = report == null ? LoadReport.NONE : report;
            r.of.sawFree(r.report);
            r.known = true;
            unseen *= 0.99;
            load = load(r);
            idle = idle(now, r, a == null ? 1 : a.slots);
            preview.probed(now, a, r);
            probing.sawProbe(idle, load, secs(took));
            if (levels != null) {
                levels.waits(now, probing.meanQueue * waitPerLoad);
            }
            busyElsewhere = r.takesAny(bound) ? busyElsewhere : smooth(busyElsewhere, idle ? 0 : 1);
            r.busyAt = idle ? null : now;
        }
        if (a != null) {
            a.asked = null;
            double toll = toll(now, a, r);
            if (!a.closed && idle && sendable(now, a, r) && toll <= a.leastCost()) {
                take(now, a, r, 0);
            } else if (!a.closed) {
                // Guards against chance sends that gather in a cold queue: those go to an idle runner alone.
                boolean over = orders.warmth(now, r) < 1 && cold.room(now, r) < work(a);
                a.found(r, over ? Double.POSITIVE_INFINITY : weighed(now, r, load, idle), toll);
                search(now, a);
            }
        }
    }

    double weighed(Duration now, Runner r, double load, boolean idle) {
        return Math.max(load, idle ? 0 : 0.5) * pace(now, r) / pace.of(BELIEF, BELIEF);  // slots may be full
    }

    public void close(Assignment a) {
        a.closed = true;
        touched.add(a);
    }

    public void woken(Duration now, Object what) {
        if (what instanceof Assignment a) {
            a.timerAt = null;
            consider(now, a);
        }
    }

    private void consider(Duration now, Assignment a) {
        Dispatch out = a.pending();
        Duration lastCall = least(a.deadline, orders.endsAt).minus(orders.round.multipliedBy(4));  // ours
        a.wantedLook = null;
        if (a.stream != null || a.closed) {
            return;
        }
        look(a, lastCall);
        if (reached(now, lastCall)) {
            answer(a, null);
        } else if (a.asked != null || out == null && a.wantedRunner == null) {
            search(now, a);
        } else if (out != null) {
            watch(now, a, out);
        }
    }

    private void search(Duration now, Assignment a) {
        if (a.asked != null) {
            Duration limit = a.askedAt.plus(probeLimit(a));
            if (!reached(now, limit)) {
                look(a, limit);
                return;
            }
            a.found(a.asked, 2 * probing.meanQueue + 1, toll(now, a, a.asked));  // guards against a halt here
            unheard(now, a.asked);
            a.asked = null;
        }
        while (a.probed.isEmpty() || probing.worthAnother(a.probed.size(), Collections.min(a.loads))) {
            Runner next = pick(now, a);
            if (next == null) {
                break;
            } else if (orders.probes) {
                a.wantedProbe = next;
                look(a, now.plus(probeLimit(a)));
                return;
            } else if (idle(now, next, a.slots)) {
                take(now, a, next, 0);
                return;
            }
            a.found(next, load(next), toll(now, a, next));
        }
        int best = -1, ties = 0;
        for (int i = 0; i < a.probed.size(); i++) {
            double cost = a.costs.get(i), gap = best < 0 ? -1 : cost - a.costs.get(best);
            Runner r = a.probed.get(i);
            if (cost < Double.POSITIVE_INFINITY && gap <= 0 && sendable(now, a, r) && !r.isSilent(now)) {
                ties = gap < 0 ? 1 : ties + 1;
                best = chance.nextInt(ties) == 0 ? i : best;
            }
        }
        if (a.secondLook) {
            a.secondLook = false;
            look(a, now.plus(a.lookGap));
        } else if (best >= 0) {
            preview.chosen(now, a);
            take(now, a, a.probed.get(best), a.loads.get(best));
        } else if (a.workload.repeat != Workload.Repeat.PURE && a.mayHaveRun()
                && runners.stream().noneMatch(r -> repeatable(now, a, r))) {
            answer(a, null);  // guards against holding until its patience ends what nothing may follow
        } else {
            a.forgetSearch();  // nobody may be sent to just now: hold it, and begin again before long
            a.luck = chance.nextDouble();
            look(a, now.plus(a.workload.promised.dividedBy(4)));
        }
    }

    double load(Runner r) {
        if (!Double.isNaN(r.report.queue())) {
            // Guards against late reports: as many of each other dispatcher's jobs may wait there as of ours.
            return Math.max(r.report.queue(), orders.tellsStart ? r.waiting() * orders.dispatchers : 0);
        }
        double held = r.report.inFlight(), free = r.report.freeSlots();
        if (Double.isNaN(held) && orders.liveWeights && r.of.slots > 0 && r.power > 0) {
            held = (r.of.size / r.power - 1) * r.of.slots;
        }
        return (free < unseen ? unseen - free : 0)
                + (Double.isNaN(held) ? r.known ? r.out.size() : fleet.meanOut
                : Math.max(Math.max(held, r.out.size()) - r.of.slots, 0));
    }

    /** Idle: nothing queued, and enough free slots for this job where they are reported. */
    boolean idle(Duration now, Runner r, double slots) {
        if (orders.tellsStart && r.waitsSince(now.minus(fewRoundTrips()))) {
            return false;  // guards against late or untrue reports: the word of a start takes no longer
        }
        double ours = orders.tellsStart ? r.slotsWaiting() : 0;  // whether the report has seen it or not
        if (Double.isNaN(r.report.freeSlots())) {
            return Double.isNaN(r.report.queue()) ? load(r) < 0.5 : r.report.queue() + ours < 0.5;
        }
        return !(r.report.queue() >= 0.5) && r.report.freeSlots() - ours - unseen >= slots - 0.25;
    }

    // A random runner to probe next, new to this assignment: before all in good standing (at first, any will
    // do), quick enough to run it in time, not likely busy or silent, of our own zone until a crossing counts
    // less than the least found; last, slower ones are passed over by their pace.
    private Runner pick(Duration now, Assignment a) {
        fleet.take(now);
        boolean mostAside = 2 * fleet.aside > fleet.ready;  // then it is not them, and nobody is passed over
        stats.get(a.workload).sought.add(now, work(a), memory);
        // Homes of what it concerns are probed first: where all of us send it, what it needs is likely kept.
        Workload[] before = yieldsTo(a);
        Duration keeps = keeps(now);
        double homes = a.key == 0 ? 1 : HOMES * (1 / fleet.ready + keys.share(a.key));
        double aim = aim(a), size = size(a);
        double least = a.probed.isEmpty() ? 0 : a.leastCost();
        Runner best = null;
        int leastRank = a.probed.isEmpty() && !a.secondLook ? 64 : 32;
        for (int i = 0; i < runners.size() && leastRank > 0; i++) {
            Collections.swap(runners, i, i + chance.nextInt(runners.size() - i));  // draws without lists
            Runner r = runners.get(i);
            if (!a.probed.contains(r) && sendable(now, a, r)) {
                boolean trusted = (r.trickle == null || mostAside || mayTry(a) && reached(now, r.trickleAt))
                        && !r.refuses(now, a.workload) && !r.isSilent(now) && !a.sentTo(r);
                // Guards against asking again what is busy still, unless nearly all are.
                boolean unlikely = chance.nextDouble() < DOUBT * silent.getOrDefault(r.zone, 0.0)
                        || r.busyAt != null && probing.runningTime > 0 && probing.lambdaSeen <= SCARCE
                        && chance.nextDouble() < Math.exp(-secs(now.minus(r.busyAt)) / probing.runningTime);
                // Guards against finding out who errs by what may then go to few others: pure work does it.
                unlikely |= r.takesAny(before) || fleet.aside > 0 && a.workload.repeat != Workload.Repeat.PURE
                        && (r.failures.count() == 0 || r.failures.last() > POOR);
                double takes = pace(now, r), toll = toll(a, r, aim - takes * size, keeps, now);
                int rank = (trusted ? 0 : 32) + (aim >= takes * size ? 0 : 16)
                        + (a.key == 0 || Keys.isHome(a.key, r.hash, homes) ? 0 : 8)
                        + (unlikely ? 4 : 0) + (toll > least ? 2 : 0)
                        + (chance.nextDouble() * takes > pace.of(BELIEF, BELIEF) ? 1 : 0);
                best = rank < leastRank ? r : best;
                leastRank = Math.min(rank, leastRank);
            }
        }
        return best;
    }

    /** Guards against filling the only places of bound work that earns more, while the rest has room. */
    private Workload[] yieldsTo(Assignment a) {
        return a.workload.isBound() || bound.length == 0 || busyElsewhere >= SCARCE ? NONE
                : Stream.of(bound).filter(w -> earns(w) > earns(a.workload)).toArray(Workload[]::new);
    }

    /** What a second of its work earns in time. */
    private double earns(Workload w) {
        return w.importance * (orders.importanceByWork ? 1 : 1 / stats.get(w).unit());
    }

    // The load that a crossing to another zone and a new connection count as: the wait whose risk of being
    // late costs as much, in the tariffs' own units, so that long work crosses before short work of the same
    // workload does; and the wait for connections that fail first, by the share that failed of late.
    double toll(Duration now, Assignment a, Runner r) {
        return toll(a, r, slack(now, a, r), keeps(now), now);
    }

    private double toll(Assignment a, Runner r, double slack, Duration keeps, Duration now) {
        double perLoad = waitPerLoad(r);
        boolean opens = !r.isConnected(now, keeps);
        double price = (r.zone.equals(orders.zone) ? 0 : orders.crossZonePrice)
                + (opens ? orders.handshakePrice : 0);
        double fails = opens ? (connects.count() - connects.last()) / (connects.last() + 1) : 0;
        if (perLoad == 0 || price == 0 && fails == 0) {
            return 0;
        }
        double lost = Math.max(1e-9, orders.whole * (1 - a.workload.lateImportance) * worth(a) / meanWorth);
        return (price / lost * Math.max(0, slack) + fails * secs(orders.connectTime)) / perLoad;
    }

    // How long a connection that rests is kept. Guards against ones dropped unseen: what is sent on one
    // is reset, and may have run. Once that was seen we close earlier, by less as time goes on.
    private Duration keeps(Duration now) {
        return dropped == null ? orders.idleClose
                : least(orders.idleClose, ofSecs(secs(dropped) / Fading.part(now, droppedAt, memory)));
    }

    /** Guards against trickles that end jobs: failures cost least at first sendings of what may run twice. */
    private boolean mayTry(Assignment a) {
        return a.dispatches.isEmpty() && (a.workload.repeat == Workload.Repeat.PURE || noPure);
    }

    private boolean sendable(Duration now, Assignment a, Runner r) {
        return r.ready() && a.workload.mayRunOn(r)
                && repeatable(now, a, r) && cold.allows(now, r, work(a), a.luck);
    }

    /** Rule 2: what may have run goes again only where a repeat is harmless. */
    boolean repeatable(Duration now, Assignment a, Runner r) {
        Workload w = a.workload;
        if (w.repeat == Workload.Repeat.PURE || !a.mayHaveRun()) {
            return true;
        }
        Duration forgotten = now.minus(w.window).plus(orders.round.multipliedBy(4));
        return w.repeat == Workload.Repeat.RECEIPTED && a.dispatches.stream().filter(Dispatch::mayHaveRun)
                .allMatch(d -> w.sameGroup(r, d.runner) && !reached(forgotten, d.sentAt));
    }

    /** Rule 2: a shed reply says that trying again is harmless. */
    boolean mayShed(Assignment a) {
        Workload w = a.workload;
        return w.repeat == Workload.Repeat.PURE || !a.mayHaveRun()
                || w.repeat == Workload.Repeat.RECEIPTED && w.group == Workload.Group.ALL;
    }

    private void take(Duration now, Assignment a, Runner r, double load) {
        Dispatch out = a.pending();
        touched.add(a);
        if (a.secondLook && out != null) {  // it waits or is silent, and this runner is idle: move or copy it
            out.cancelWanted = out.startedAt == null || !orders.parallel;
        } else if (mayShed(a)) {  // guards against an overload in which all end late
            preview.taking(now, a, r);
            if (late(now, a, r, load)) {
                judged(now, a, true);
                answer(a, levels == null ? ofSecs(load * waitPerLoad(r)) : soon(a));
                return;
            }
        }
        a.secondLook = false;
        a.wantedRunner = r;
        a.wantedLoad = load;
    }

    boolean late(Duration now, Assignment a, Runner r, double load) {
        double wait = (load + toll(now, a, r)) * waitPerLoad(r);
        double slack = slack(now, a, r);
        double bears = levels == null ? slack
                : levels.bears(kind(a), slack, orders.repeatsMarked && !a.repeated);
        // Guards against an overload that lasts, in which all is late: what late work takes earns more in
        // time, so of it that part is shed which it would not earn.
        double earns = a.workload.lateImportance;
        boolean keepsTime = earns == 0 || probing.lambdaSeen > SCARCE && a.luck >= earns;
        return keepsTime && secs(elapsed(now, a)) + wait > bears
                || secs(orders.endsAt.minus(now)) < wait + pace(now, r) * size(a);  // we end before it
    }

    /** How long this client has waited over all its tries: what a later try lacks, but not a first one. */
    private Duration elapsed(Duration now, Assignment a) {
        boolean first = orders.repeatsMarked && !a.repeated;
        return now.minus(first ? a.arrivedAt : a.deadline.minus(stats.get(a.workload).patience));
    }

    private double slack(Duration now, Assignment a, Runner r) {
        return aim(a) - pace(now, r) * size(a);
    }

    private double worth(Assignment a) {
        double size = a.hint == null ? stats.get(a.workload).unit() : size(a);
        return Math.max(1e-9, a.workload.importance * (orders.importanceByWork ? size : 1));
    }

    private double aim(Assignment a) {
        // Guards against work for clients who wait less than the promised time, by habit or on one bad day.
        return Math.min(secs(a.workload.promised) + a.workload.stretch * size(a),
                secs(elapsed(a.deadline, a).minus(orders.round)));
    }

    /** How long runs take there beside what is expected: the fleet's, its kind's in that, its own in that. */
    double pace(Duration now, Runner r) {
        return r.pace.of(BELIEF / Fading.part(now, r.pacedAt, memory), BELIEF);
    }

    /** The running time to expect at speed 1: the workload's mean; beside it a rough hint counts half. */
    private double size(Assignment a) {
        double usual = stats.get(a.workload).usual;
        return a.hint == null ? usual : Math.sqrt(usual * secs(a.hint));
    }

    private void answer(Assignment a, Duration pause) {
        a.wantedAnswer = mayShed(a) ? Assignment.Answer.SHED : Assignment.Answer.GIVEN_UP;
        a.wantedPause = orders.pauses && pause != null ? least(pause, orders.longestPause) : null;
        touched.add(a);
    }

    /** After a failure: again, rationed once under half of the recent further ones succeeded; or answered. */
    private void furtherOrAnswer(Duration now, Assignment a) {
        double odds = (further.last() + 1) / (further.count() + 1);
        boolean moved = a.last().outcome == Outcome.CANCELLED;  // that is no failure, and no load more
        if (a.dispatches.size() >= orders.mostDispatches || !moved && !mayFollow(2 * odds)) {
            answer(a, null);
        } else {
            a.forgetSearch();
            consider(now, a);
        }
    }

    private boolean mayFollow(double odds) {
        boolean lucky = chance.nextDouble() <= odds;
        return levels == null || odds >= 1 ? lucky : budget.further();
    }

    private void watch(Duration now, Assignment a, Dispatch out) {
        boolean waiting = out.startedAt == null;
        double left = slack(now, a, out.runner) - secs(elapsed(now, a));
        if (waiting && orders.tellsStart && a.workload.lateImportance == 0 && mayShed(a)) {
            look(a, now.plus(ofSecs(Math.max(0, left))));
            if (left <= 0) {  // guards against spending an overload on what is worth nothing any more
                answer(a, null);
                return;
            }
        }
        if (a.dispatches.size() >= orders.mostDispatches || out.cancelWanted || out != a.last()
                || a.workload.repeat == Workload.Repeat.EFFECTFUL || !orders.cancels
                || !waiting && orders.progressEvery.isZero()) {
            return;
        }
        Duration limit = !waiting ? out.heardAt
                : out.sentAt.plus(most(ofSecs(2 * out.load * waitPerLoad), a.workload.promised.dividedBy(2)));
        limit = limit.plus(orders.progressEvery.multipliedBy(waiting && orders.tellsStart ? 0 : 3))
                .plus(a.lookGap == null ? Duration.ZERO : a.lookGap);
        if (!reached(now, limit)) {
            look(a, limit);
            return;
        }
        if (!waiting) {
            mark(now, out.runner, true);
        }
        if (out.runner.isUnheard() && a.workload.repeat == Workload.Repeat.PURE) {
            takeBack(out);  // guards against waiting for an idle runner while the one it is at says nothing
            return;
        }
        a.lookGap = now.minus(out.sentAt);
        if (probing.lambdaSeen > MOVABLE) {  // guards against running twice what goes on where called off
            look(a, now.plus(a.lookGap));
            return;
        }
        a.forgetSearch();
        a.secondLook = true;
        search(now, a);
    }

    private void learn(Duration now, Dispatch d) {
        Assignment a = d.assignment;
        if (d != a.dispatches.get(0) && d.outcome != Outcome.CANCELLED) {  // to be moved is no failure
            further.add(d.outcome == Outcome.FULFILLED);
        }
        if (EnumSet.of(Outcome.FULFILLED, Outcome.ERROR, Outcome.TURNED_AWAY).contains(d.outcome)) {
            d.runner.rests(now, orders.idleClose);
        }
        if (d.rested == null && d.outcome != Outcome.CANCELLED && d.outcome != Outcome.NEVER_SENT) {
            connects.add(d.outcome != Outcome.NOT_CONNECTED);
        }
        if (d.outcome == Outcome.BROKEN && d.rested != null && d.startedAt == null
                && !reached(now, d.sentAt.plus(fewRoundTrips()))) {
            dropped = most(d.rested, orders.round);
            droppedAt = now;
        }
        switch (d.outcome) {
            case FULFILLED -> {
                // Where its start was not told, the wait that was foreseen for it is taken off.
                boolean guessed = d.startedAt == null && d.load >= 0.5;
                Duration from = guessed ? d.sentAt.plus(ofSecs(d.load * waitPerLoad(d.runner)))
                        : d.startedAt == null ? d.sentAt : d.startedAt;
                double run = secs(most(now.minus(from), orders.round));  // a start may be told with the end
                WorkloadStats seen = stats.get(a.workload);
                if (a.hint == null) {
                    seen.saw(seen.ended == 0 ? run : Math.min(run, 4 * seen.usual));  // tails mislead means
                }
                probing.ended(run);
                if (!guessed) {
                    d.runner.pace.add(Math.min(run, 4 * size(a) * pace(now, d.runner)), size(a), BELIEF);
                    d.runner.pacedAt = now;
                }
                if (orders.warmth(now, d.runner) >= 1) {
                    fleet.workDone.add(now, d.work, memory);
                }
                d.runner.fulfilled(a.workload);
                judged(now, a, secs(now.minus(a.arrivedAt)) > aim(a));
                mark(now, d.runner, false);
            }
            case TURNED_AWAY -> d.runner.turnedAway(now, d, spell);
            case ERROR, BROKEN, TIMED_OUT -> mark(now, d.runner, true);
            case NOT_CONNECTED -> {
                // Guards against setting aside all while no connection comes up: then it is not that runner.
                if (connects.count() - connects.last() <= POOR * (connects.count() + BELIEF)) {
                    mark(now, d.runner, true);
                    unheard(now, d.runner);
                }
            }
        }
    }

    /** Notes how a dispatch went; a runner that fails often is set aside, with a trickle that doubles. */
    private void mark(Duration now, Runner r, boolean failed) {
        r.failures.add(failed);
        boolean poor = r.failures.last() >= 2 && r.failures.last() > POOR * r.failures.count();
        boolean back = !failed && r.trickle != null && r.trickle.compareTo(spell.dividedBy(8)) <= 0;
        if (back) {
            r.failures.clear();
        }
        r.trickle = r.trickle == null ? poor ? spell : null : back ? null
                : failed ? least(r.trickle.multipliedBy(2), spell.multipliedBy(4)) : r.trickle.dividedBy(2);
        r.trickleAt = failed && r.trickle != null ? now.plus(r.trickle) : r.trickleAt;
    }

    private double work(Assignment a) {
        return a.slots * stats.get(a.workload).unit();
    }

    // ---- The one place that acts: the difference between what is wanted and what is.

    public void settle(Duration now) {
        if (askAt != null) {
            if (reached(now, askAt)) {
                door.subscribe(true);
                askAt = now.plus(orders.askWithin.dividedBy(2));  // asked again should no answer come
            }
            door.wake(askAt.minus(now), this);
        }
        List.copyOf(touched).forEach(a -> settle(now, a));
        touched.clear();
    }

    private void settle(Duration now, Assignment a) {
        if (!a.closed && a.wantedAnswer != null) {
            close(a);
            if (a.wantedAnswer == Assignment.Answer.SHED) {
                door.shed(a, a.wantedPause);
            } else {
                door.giveUp(a);
            }
        }
        for (Dispatch d : a.dispatches) {
            boolean wanted = d == a.stream || a.stream == null && !a.closed && !d.cancelWanted;
            if (!wanted && !d.cancelSent && d.outcome == null && orders.cancels) {
                d.cancelSent = true;
                door.cancel(d);
            }
        }
        if (a.closed) {
            return;
        }
        if (a.wantedRunner != null && (orders.parallel || a.pending() == null)) {
            Runner r = a.wantedRunner;
            a.wantedRunner = null;
            if (sendable(now, a, r)) {  // re-checked: list, window or budget may have changed since
                dispatch(now, a, r);
            } else {
                a.forgetSearch();
                consider(now, a);
            }
        }
        if (a.wantedProbe != null) {
            a.asked = a.wantedProbe;
            a.askedAt = now;
            a.wantedProbe = null;
            a.asked.asking.add(a);
            door.probe(a.asked);
        }
        if (a.wantedLook != null && (a.timerAt == null || a.wantedLook.compareTo(a.timerAt) < 0)) {
            a.timerAt = a.wantedLook;
            door.wake(most(Duration.ZERO, a.wantedLook.minus(now)), a);
        }
    }

    private void dispatch(Duration now, Assignment a, Runner r) {
        Dispatch d = new Dispatch(a, r, now, work(a), a.wantedLoad);
        if (orders.warmth(now, r) < 1) {
            r.coldSends.add(d);
        }
        if (r.isConnected(now, keeps(now))) {
            d.rested = r.rested(now);
            r.takesConnection();
        } else if (r.isConnected(now, orders.idleClose)) {
            r.closes();
            door.closeIdle(r);
        }
        if (a.dispatches.isEmpty()) {
            budget.first();
        }
        a.dispatches.add(d);
        r.out.add(d);
        r.known = true;
        r.trickleAt = r.trickle == null ? r.trickleAt : now.plus(r.trickle);
        a.lookGap = null;
        door.dispatch(d, null);
        consider(now, a);
    }

    private Duration probeLimit(Assignment a) {
        Duration part = a.workload.promised.dividedBy(4);
        return probing.roundTrip == 0 ? part : least(part, fewRoundTrips());
    }

    private Duration fewRoundTrips() {
        return ofSecs(3 * probing.roundTrip).plus(orders.round.multipliedBy(2));
    }

    private void look(Assignment a, Duration at) {
        touched.add(a);
        a.wantedLook = a.wantedLook == null ? at : least(at, a.wantedLook);
    }
}
