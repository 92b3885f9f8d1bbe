// All decisions of one dispatcher. An adapter builds it with the standing orders, a Door and chance, calls a
// method for each event, from began to woken, and settle after a round's last one: only settle acts.
package saltdale.decision;

import static saltdale.model.Durations.*;
import static saltdale.probing.Payoff.smooth;

import java.time.Duration;
import java.util.*;
import java.util.stream.Stream;
import saltdale.model.*;
import saltdale.overload.*;
import saltdale.probing.ProbeLoop;

/** One dispatcher of jobs: probes runners for each job, stops at the first idle one, and weighs further attempts. */
public final class Dispatcher {
    static final double SATURATION = 0.95;  // busy share above which the busy and unsteady are needed too
    static final double MAX_BUSY_TO_MOVE = 0.5;  // busy share up to which work that waits is moved
    static final double PRIOR_RUNS = 4;  // so many runs at the usual pace are believed before any is seen
    static final double MAX_FAILURE_SHARE = 0.3;  // a runner failing more than this share of late is set aside
    static final double HOMES_PER_KEY = 3;  // runners that are home to a key, and so many times its share of all
    static final double RETRY_VALUE = 0.5;  // what a marked repeat earns beside a first try: its time is short
    static final double MAX_ZONE_DOUBT = 0.7;  // the most that a runner is passed over for the silence of its zone

    DispatcherSettings settings;  // replaced for the length of a question by a preview alone
    Preview preview = Preview.NONE;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    final List<Runner> runners = new ArrayList<>();
    private final Map<Workload, WorkloadStats> stats = new HashMap<>();
    private final RunTimeRatio runTimeRatio = new RunTimeRatio(16, null);  // of all runners; within it those of each kind
    private final Map<String, MachineTypeStats> machineTypes = new HashMap<>();
    private final Set<Request> changed = new LinkedHashSet<>();
    final ProbeLoop probing = new ProbeLoop();
    double waitPerLoad;  // smoothed: the wait that a load of 1 brings
    private double meanRunTime, meanValue, arrivalCount;  // of all that arrived
    double unreportedJobs;  // jobs that likely reached a runner since the report that it answers with
    private final Map<String, Double> zoneSilence = new HashMap<>();  // by zone, how much of late went unanswered
    final Histogram retries = Histogram.ofBooleans(32);  // whether recent further dispatches succeeded
    double unrestrictedLambda;  // λ' of the runners where no bound work may run
    private final Keys keys = new Keys();
    private final Workload[] restricted;  // those that may not run everywhere
    private static final Workload[] NO_WORKLOADS = {};
    private Duration droppedIdleTime, droppedAt;  // after which rest a connection was found dropped, and when
    final Histogram connects = Histogram.ofBooleans(32);  // whether recent new connections came up
    private final FleetSurvey fleet;
    private final ColdBudget coldBudget;
    private final boolean nonePure;
    private Duration subscribeAt, subscribeDelay;  // when to ask for the list (null while subscribed), and again
    private final AdmissionControl admission;  // null where overloads are not met by them
    private final RetryBudget retryBudget = new RetryBudget();  // of further dispatches, likewise
    private final Duration backoffUnit, timeConstant;  // the unit of setting aside; how long what was measured counts

    public Dispatcher(DispatcherSettings settings, DispatcherActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        backoffUnit = settings.workloads.stream().map(w -> w.clientTimeout).reduce(settings.subscribeWithin, Durations::min)
                .dividedBy(4);
        timeConstant = max(backoffUnit, settings.warmUpTime);
        fleet = new FleetSurvey(settings, runners, timeConstant);
        coldBudget = new ColdBudget(settings, fleet, stats.values(), timeConstant, random);
        admission = settings.overload == null ? null : new AdmissionControl(settings.overload, timeConstant);
        settings.workloads.forEach(w -> stats.put(w, new WorkloadStats(admission)));
        restricted = settings.workloads.stream().filter(Workload::isRestricted).toArray(Workload[]::new);
        nonePure = settings.workloads.stream().noneMatch(w -> w.repeatSafety == Workload.RepeatSafety.PURE);
        subscribeDelay = settings.subscribeWithin.dividedBy(20);
    }

    public void onStart(Duration now) {
        subscribeAt = settings.subscribes ? now : null;
    }

    public void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached) {
        Set<Runner> listed = new LinkedHashSet<>();
        for (RunnerListEntry entry : entries) {
            listed.add(entry.runner());
            entry.runner().update(entry, machineTypes.computeIfAbsent(entry.machineType(), name -> new MachineTypeStats(new RunTimeRatio(64, runTimeRatio))));
            // Guards against waiting for work that a process took with it: the one there now has none.
            entry.runner().inFlight.stream().filter(attempt -> entry.startedAt() != null
                    && attempt.sentAt.compareTo(entry.startedAt()) < 0).forEach(this::withdraw);
        }
        runners.stream().filter(runner -> complete && !listed.contains(runner)).forEach(runner -> runner.mode = Runner.Mode.GONE);
        listed.addAll(runners);
        runners.clear();
        runners.addAll(listed);
        runners.removeIf(runner -> runner.mode == Runner.Mode.GONE);
        if (!cached && settings.subscribes) {
            subscribeAt = null;
            subscribeDelay = settings.subscribeWithin.dividedBy(20);
        }
    }

    /** Learnt of one, held against its zone too: each of us meets a runner seldom, but a lost zone often. */
    private void recordNoResponse(Duration now, Runner runner) {
        runner.recordNoResponse(now, backoffUnit);
        zoneSilence.merge(runner.zone, smooth(0, 1), (old, first) -> smooth(old, 1));
    }

    private void withdraw(Attempt attempt) {
        attempt.cancelPlanned = true;
        changed.add(attempt.request);
    }

    public void onRunnerListFailure(Duration now) {  // jitter, and a gap that doubles, spare the small list service
        subscribeAt = now.plus(ofSeconds(seconds(subscribeDelay) * (0.5 + random.nextDouble())));
        subscribeDelay = min(subscribeDelay.multipliedBy(2), settings.subscribeWithin.dividedBy(2));
    }

    public void onRequest(Duration now, Request request) {
        WorkloadStats seen = stats.get(request.workload);
        seen.maxClientTimeout = max(seen.maxClientTimeout, request.clientTimeout());
        if (request.runTimeHint != null) {
            seen.addRunTime(seconds(request.runTimeHint));
        }
        meanRunTime += (runTime(request) - meanRunTime) / Math.min(++arrivalCount, 99);
        meanValue += (value(request) - meanValue) / Math.min(arrivalCount, 99);
        request.randomDraw = random.nextDouble();
        if (request.affinityKey != 0) {
            keys.add(request.affinityKey);
        }
        if (admission != null && request.workload.lateImportance == 0 && isCrowdedOut(now, request)) {
            respond(request, retryAfter(request));
        } else {
            decide(now, request);
        }
    }

    // Guards against an overload in which what earns least for its work keeps out all that earns more.
    private boolean isCrowdedOut(Duration now, Request request) {
        Workload w = request.workload;
        WorkloadStats seen = stats.get(w);
        double value = valuePerSecond(w);
        double slack = seconds(w.targetLatency) + (w.latencyStretch - 1) * seen.meanRunTime;
        double workSeconds = seen.sampleCount == 0 ? seen.runTimeOrDefault() : runTime(request);
        admission.recordArrival(now, admissionClass(request), workSeconds, isMarkedRetry(request) ? RETRY_VALUE * value : value, slack, seen.sampleCount);
        return admission.shouldReject(now, admissionClass(request), request.randomDraw);
    }

    private boolean isMarkedRetry(Request request) {
        return settings.retriesMarked && request.markedAsRetry;
    }

    private AdmissionControl.AdmissionClass admissionClass(Request request) {
        return isMarkedRetry(request) ? stats.get(request.workload).retries : stats.get(request.workload).firstTries;
    }

    private void recordCompletion(Duration now, Request request, boolean missed) {
        if (admission != null) {
            admission.recordCompletion(now, admissionClass(request), missed);
        }
    }

    /** When what is shed may come back: spread over the time in which it can still be served. */
    private Duration retryAfter(Request request) {
        return ofSeconds(targetSeconds(request) * request.randomDraw / 4);
    }

    /** How overloads are met; null where that is not asked for. */
    public AdmissionControl admissionControl() {
        return admission;
    }

    public void onStarted(Duration now, Attempt attempt) {
        recordStart(now, attempt);
        onProgress(now, attempt);
        decide(now, attempt.request);
    }

    public void onProgress(Duration now, Attempt attempt) {
        if (attempt.startedAt == null) {  // no start is told: it was at most one period ago
            recordStart(max(attempt.sentAt, now.minus(settings.progressInterval)), attempt);
        }
        attempt.lastProgressAt = now;
        attempt.runner.recordResponse();
    }

    /** The wait that a load of 1 brings: as seen, until then as slots and the mean size tell. */
    private double waitPerLoad(Runner runner) {
        double estimate = waitPerLoad > 0 || runner.typeStats.slots == 0 ? waitPerLoad : meanRunTime / runner.typeStats.slots;
        // Guards against a start in an overload: with no wait known nothing is late, and queues fill at once.
        return estimate == 0 && admission != null ? seconds(backoffUnit) / 2 / Math.max(1, runner.typeStats.slots) : estimate;
    }

    private void recordStart(Duration at, Attempt attempt) {
        attempt.startedAt = at;
        double perLoad = waitPerLoad(attempt.runner), waited = seconds(at.minus(attempt.sentAt));
        if (attempt.runnerLoad == 0 && perLoad > 0 && Double.isNaN(attempt.runner.report.queue())) {
            // Guards against reports so old that each draws all: what a job waited for where it was found
            // idle had come unseen. A start known by progress alone is off by half a period.
            double ahead = waited - (settings.reportsStart ? 0 : seconds(settings.progressInterval) / 2);
            unreportedJobs += Math.min(1, Math.max(0, ahead / perLoad / 4));
        }
        waitPerLoad = attempt.runnerLoad < 0.5 ? waitPerLoad : smooth(perLoad, waited / attempt.runnerLoad);
    }

    public void onStreaming(Duration now, Attempt attempt) {
        attempt.request.streamingAttempt = attempt;
        changed.add(attempt.request);
    }

    public void onAttemptEnd(Duration now, Attempt attempt, Outcome outcome, boolean finished, LoadReport report) {
        Request request = attempt.request;
        attempt.outcome = outcome;
        attempt.ambiguousRejection = outcome == Outcome.TURNED_AWAY && settings.lateRejections;
        attempt.runner.inFlight.remove(attempt);
        attempt.runner.report = report == null ? attempt.runner.report : report;
        recordResult(now, attempt);
        if (finished) {
            close(request);
        } else if (!request.closed && request.pendingAttempt() == null && request.plannedRunner == null) {
            retryOrRespond(now, request);
        }
        changed.add(request);
    }

    public void onProbeResult(Duration now, Runner runner, boolean answered, Duration roundTrip, LoadReport report) {
        Request request = runner.probeWaiters.poll();
        while (request != null && request.probeTarget != runner) {  // it no longer waited
            request = runner.probeWaiters.poll();
        }
        double load = Double.POSITIVE_INFINITY;
        boolean isIdle = false;
        if (!answered) {
            recordNoResponse(now, runner);
        } else {
            runner.recordResponse();
            zoneSilence.remove(runner.zone);  // it is not cut off, whatever holds for others in it
            runner.report = report == null ? LoadReport.NONE : report;
            runner.typeStats.recordSlots(runner.report);
            runner.contacted = true;
            unreportedJobs *= 0.99;
            load = load(runner);
            isIdle = isIdle(now, runner, request == null ? 1 : request.slots);
            preview.onProbeResult(now, request, runner);
            probing.recordProbe(isIdle, load, seconds(roundTrip));
            if (admission != null) {
                admission.recordWait(now, probing.meanQueue * waitPerLoad);
            }
            unrestrictedLambda = runner.acceptsAny(restricted) ? unrestrictedLambda : smooth(unrestrictedLambda, isIdle ? 0 : 1);
            runner.foundBusyAt = isIdle ? null : now;
        }
        if (request != null) {
            request.probeTarget = null;
            double extraLoad = extraLoad(now, request, runner);
            if (!request.closed && isIdle && canSend(now, request, runner) && extraLoad <= request.lowestCost()) {
                choose(now, request, runner, 0);
            } else if (!request.closed) {
                // Guards against chance sends that gather in a cold queue: those go to an idle runner alone.
                boolean overBudget = settings.warmth(now, runner) < 1 && coldBudget.remaining(now, runner) < work(request);
                request.addProbeResult(runner, overBudget ? Double.POSITIVE_INFINITY : adjustedLoad(now, runner, load, isIdle), extraLoad);
                search(now, request);
            }
        }
    }

    double adjustedLoad(Duration now, Runner runner, double load, boolean isIdle) {
        return Math.max(load, isIdle ? 0 : 0.5) * runTimeRatio(now, runner) / runTimeRatio.estimate(PRIOR_RUNS, PRIOR_RUNS);  // slots may be full
    }

    public void close(Request request) {
        request.closed = true;
        changed.add(request);
    }

    public void onTimer(Duration now, Object timerTarget) {
        if (timerTarget instanceof Request request) {
            request.timerAt = null;
            decide(now, request);
        }
    }

    private void decide(Duration now, Request request) {
        Attempt pending = request.pendingAttempt();
        Duration latestDecision = min(request.deadline, settings.shutdownAt).minus(settings.roundInterval.multipliedBy(4));  // ours
        request.plannedCheckAt = null;
        if (request.streamingAttempt != null || request.closed) {
            return;
        }
        checkAt(request, latestDecision);
        if (reached(now, latestDecision)) {
            respond(request, null);
        } else if (request.probeTarget != null || pending == null && request.plannedRunner == null) {
            search(now, request);
        } else if (pending != null) {
            watch(now, request, pending);
        }
    }

    private void search(Duration now, Request request) {
        if (request.probeTarget != null) {
            Duration limit = request.probeSentAt.plus(probeTimeout(request));
            if (!reached(now, limit)) {
                checkAt(request, limit);
                return;
            }
            request.addProbeResult(request.probeTarget, 2 * probing.meanQueue + 1, extraLoad(now, request, request.probeTarget));  // guards against a halt here
            recordNoResponse(now, request.probeTarget);
            request.probeTarget = null;
        }
        while (request.probedRunners.isEmpty() || probing.worthAnother(request.probedRunners.size(), Collections.min(request.probedLoads))) {
            Runner next = pickRunner(now, request);
            if (next == null) {
                break;
            } else if (settings.mayProbe) {
                request.plannedProbe = next;
                checkAt(request, now.plus(probeTimeout(request)));
                return;
            } else if (isIdle(now, next, request.slots)) {
                choose(now, request, next, 0);
                return;
            }
            request.addProbeResult(next, load(next), extraLoad(now, request, next));
        }
        int best = -1, ties = 0;
        for (int i = 0; i < request.probedRunners.size(); i++) {
            double cost = request.probedCosts.get(i), gap = best < 0 ? -1 : cost - request.probedCosts.get(best);
            Runner runner = request.probedRunners.get(i);
            if (cost < Double.POSITIVE_INFINITY && gap <= 0 && canSend(now, request, runner) && !runner.isUnresponsive(now)) {
                ties = gap < 0 ? 1 : ties + 1;
                best = random.nextInt(ties) == 0 ? i : best;
            }
        }
        if (request.seekingAlternative) {
            request.seekingAlternative = false;
            checkAt(request, now.plus(request.recheckDelay));
        } else if (best >= 0) {
            preview.onRunnerChosen(now, request);
            choose(now, request, request.probedRunners.get(best), request.probedLoads.get(best));
        } else if (request.workload.repeatSafety != Workload.RepeatSafety.PURE && request.mayHaveRun()
                && runners.stream().noneMatch(runner -> mayRepeat(now, request, runner))) {
            respond(request, null);  // guards against holding until its patience ends what nothing may follow
        } else {
            request.clearSearch();  // nobody may be sent to just now: hold it, and begin again before long
            request.randomDraw = random.nextDouble();
            checkAt(request, now.plus(request.workload.targetLatency.dividedBy(4)));
        }
    }

    double load(Runner runner) {
        if (!Double.isNaN(runner.report.queue())) {
            // Guards against late reports: as many of each other dispatcher's jobs may wait there as of ours.
            return Math.max(runner.report.queue(), settings.reportsStart ? runner.notStartedCount() * settings.dispatcherCount : 0);
        }
        double inFlight = runner.report.inFlight(), free = runner.report.freeSlots();
        if (Double.isNaN(inFlight) && settings.loadBasedWeights && runner.typeStats.slots > 0 && runner.weight > 0) {
            inFlight = (runner.typeStats.maxWeight / runner.weight - 1) * runner.typeStats.slots;
        }
        return (free < unreportedJobs ? unreportedJobs - free : 0)
                + (Double.isNaN(inFlight) ? runner.contacted ? runner.inFlight.size() : fleet.meanInFlight
                : Math.max(Math.max(inFlight, runner.inFlight.size()) - runner.typeStats.slots, 0));
    }

    /** Idle: nothing queued, and enough free slots for this job where they are reported. */
    boolean isIdle(Duration now, Runner runner, double slots) {
        if (settings.reportsStart && runner.hasNotStartedSince(now.minus(fewRoundTrips()))) {
            return false;  // guards against late or untrue reports: the word of a start takes no longer
        }
        double ownSlots = settings.reportsStart ? runner.notStartedSlots() : 0;  // whether the report has seen it or not
        if (Double.isNaN(runner.report.freeSlots())) {
            return Double.isNaN(runner.report.queue()) ? load(runner) < 0.5 : runner.report.queue() + ownSlots < 0.5;
        }
        return !(runner.report.queue() >= 0.5) && runner.report.freeSlots() - ownSlots - unreportedJobs >= slots - 0.25;
    }

    // A random runner to probe next, new to this assignment: before all in good standing (at first, any will
    // do), quick enough to run it in time, not likely busy or silent, of our own zone until a crossing counts
    // less than the least found; last, slower ones are passed over by their pace.
    private Runner pickRunner(Duration now, Request request) {
        fleet.update(now);
        boolean mostEjected = 2 * fleet.ejectedCount > fleet.readyCount;  // then it is not them, and nobody is passed over
        stats.get(request.workload).searchedWork.add(now, work(request), timeConstant);
        // Homes of what it concerns are probed first: where all of us send it, what it needs is likely kept.
        Workload[] privileged = yieldsTo(request);
        Duration maxIdleTime = maxIdleTime(now);
        double homeShare = request.affinityKey == 0 ? 1 : HOMES_PER_KEY * (1 / fleet.readyCount + keys.share(request.affinityKey));
        double target = targetSeconds(request), runTime = runTime(request);
        double lowestCost = request.probedRunners.isEmpty() ? 0 : request.lowestCost();
        Runner best = null;
        int bestRank = request.probedRunners.isEmpty() && !request.seekingAlternative ? 64 : 32;
        for (int i = 0; i < runners.size() && bestRank > 0; i++) {
            Collections.swap(runners, i, i + random.nextInt(runners.size() - i));  // draws without lists
            Runner runner = runners.get(i);
            if (!request.probedRunners.contains(runner) && canSend(now, request, runner)) {
                boolean trusted = (runner.trialInterval == null || mostEjected || mayTrial(request) && reached(now, runner.nextTrialAt))
                        && !runner.isRejecting(now, request.workload) && !runner.isUnresponsive(now) && !request.wasSentTo(runner);
                // Guards against asking again what is busy still, unless nearly all are.
                boolean unlikely = random.nextDouble() < MAX_ZONE_DOUBT * zoneSilence.getOrDefault(runner.zone, 0.0)
                        || runner.foundBusyAt != null && probing.runTime > 0 && probing.observedLambda <= SATURATION
                        && random.nextDouble() < Math.exp(-seconds(now.minus(runner.foundBusyAt)) / probing.runTime);
                // Guards against finding out who errs by what may then go to few others: pure work does it.
                unlikely |= runner.acceptsAny(privileged) || fleet.ejectedCount > 0 && request.workload.repeatSafety != Workload.RepeatSafety.PURE
                        && (runner.failures.count() == 0 || runner.failures.lastBin() > MAX_FAILURE_SHARE);
                double ratio = runTimeRatio(now, runner), extraLoad = extraLoad(request, runner, target - ratio * runTime, maxIdleTime, now);
                int rank = (trusted ? 0 : 32) + (target >= ratio * runTime ? 0 : 16)
                        + (request.affinityKey == 0 || Keys.isHome(request.affinityKey, runner.hash, homeShare) ? 0 : 8)
                        + (unlikely ? 4 : 0) + (extraLoad > lowestCost ? 2 : 0)
                        + (random.nextDouble() * ratio > runTimeRatio.estimate(PRIOR_RUNS, PRIOR_RUNS) ? 1 : 0);
                best = rank < bestRank ? runner : best;
                bestRank = Math.min(rank, bestRank);
            }
        }
        return best;
    }

    /** Guards against filling the only places of bound work that earns more, while the rest has room. */
    private Workload[] yieldsTo(Request request) {
        return request.workload.isRestricted() || restricted.length == 0 || unrestrictedLambda >= SATURATION ? NO_WORKLOADS
                : Stream.of(restricted).filter(w -> valuePerSecond(w) > valuePerSecond(request.workload)).toArray(Workload[]::new);
    }

    /** What a second of its work earns in time. */
    private double valuePerSecond(Workload w) {
        return w.importance * (settings.importanceByWork ? 1 : 1 / stats.get(w).runTimeOrDefault());
    }

    // The load that a crossing to another zone and a new connection count as: the wait whose risk of being
    // late costs as much, in the tariffs' own units, so that long work crosses before short work of the same
    // workload does; and the wait for connections that fail first, by the share that failed of late.
    double extraLoad(Duration now, Request request, Runner runner) {
        return extraLoad(request, runner, slack(now, request, runner), maxIdleTime(now), now);
    }

    private double extraLoad(Request request, Runner runner, double slack, Duration maxIdleTime, Duration now) {
        double perLoad = waitPerLoad(runner);
        boolean opens = !runner.hasIdleConnection(now, maxIdleTime);
        double price = (runner.zone.equals(settings.zone) ? 0 : settings.crossZonePrice)
                + (opens ? settings.handshakePrice : 0);
        double failuresPerSuccess = opens ? (connects.count() - connects.lastBin()) / (connects.lastBin() + 1) : 0;
        if (perLoad == 0 || price == 0 && failuresPerSuccess == 0) {
            return 0;
        }
        double valueAtRisk = Math.max(1e-9, settings.goalWeight * (1 - request.workload.lateImportance) * value(request) / meanValue);
        return (price / valueAtRisk * Math.max(0, slack) + failuresPerSuccess * seconds(settings.connectTimeout)) / perLoad;
    }

    // How long a connection that rests is kept. Guards against ones dropped unseen: what is sent on one
    // is reset, and may have run. Once that was seen we close earlier, by less as time goes on.
    private Duration maxIdleTime(Duration now) {
        return droppedIdleTime == null ? settings.idleTimeout
                : min(settings.idleTimeout, ofSeconds(seconds(droppedIdleTime) / DecayingSum.decayFactor(now, droppedAt, timeConstant)));
    }

    /** Guards against trickles that end jobs: failures cost least at first sendings of what may run twice. */
    private boolean mayTrial(Request request) {
        return request.attempts.isEmpty() && (request.workload.repeatSafety == Workload.RepeatSafety.PURE || nonePure);
    }

    private boolean canSend(Duration now, Request request, Runner runner) {
        return runner.isReady() && request.workload.mayRunOn(runner)
                && mayRepeat(now, request, runner) && coldBudget.allows(now, runner, work(request), request.randomDraw);
    }

    /** Rule 2: what may have run goes again only where a repeat is harmless. */
    boolean mayRepeat(Duration now, Request request, Runner runner) {
        Workload w = request.workload;
        if (w.repeatSafety == Workload.RepeatSafety.PURE || !request.mayHaveRun()) {
            return true;
        }
        Duration windowStart = now.minus(w.dedupWindow).plus(settings.roundInterval.multipliedBy(4));
        return w.repeatSafety == Workload.RepeatSafety.RECEIPTED && request.attempts.stream().filter(Attempt::mayHaveRun)
                .allMatch(attempt -> w.sharesDedupScope(runner, attempt.runner) && !reached(windowStart, attempt.sentAt));
    }

    /** Rule 2: a shed reply says that trying again is harmless. */
    boolean mayShed(Request request) {
        Workload w = request.workload;
        return w.repeatSafety == Workload.RepeatSafety.PURE || !request.mayHaveRun()
                || w.repeatSafety == Workload.RepeatSafety.RECEIPTED && w.dedupScope == Workload.DedupScope.ALL;
    }

    private void choose(Duration now, Request request, Runner runner, double load) {
        Attempt pending = request.pendingAttempt();
        changed.add(request);
        if (request.seekingAlternative && pending != null) {  // it waits or is silent, and this runner is idle: move or copy it
            pending.cancelPlanned = pending.startedAt == null || !settings.parallelAttempts;
        } else if (mayShed(request)) {  // guards against an overload in which all end late
            preview.onLatenessCheck(now, request, runner);
            if (isLate(now, request, runner, load)) {
                recordCompletion(now, request, true);
                respond(request, admission == null ? ofSeconds(load * waitPerLoad(runner)) : retryAfter(request));
                return;
            }
        }
        request.seekingAlternative = false;
        request.plannedRunner = runner;
        request.plannedLoad = load;
    }

    boolean isLate(Duration now, Request request, Runner runner, double load) {
        double wait = (load + extraLoad(now, request, runner)) * waitPerLoad(runner);
        double slack = slack(now, request, runner);
        double maxWait = admission == null ? slack
                : admission.maxWaitSeconds(admissionClass(request), slack, settings.retriesMarked && !request.markedAsRetry);
        // Guards against an overload that lasts, in which all is late: what late work takes earns more in
        // time, so of it that part is shed which it would not earn.
        double lateImportance = request.workload.lateImportance;
        boolean deadlineApplies = lateImportance == 0 || probing.observedLambda > SATURATION && request.randomDraw >= lateImportance;
        return deadlineApplies && seconds(elapsed(now, request)) + wait > maxWait
                || seconds(settings.shutdownAt.minus(now)) < wait + runTimeRatio(now, runner) * runTime(request);  // we end before it
    }

    /** How long this client has waited over all its tries: what a later try lacks, but not a first one. */
    private Duration elapsed(Duration now, Request request) {
        boolean isFirstTry = settings.retriesMarked && !request.markedAsRetry;
        return now.minus(isFirstTry ? request.arrivedAt : request.deadline.minus(stats.get(request.workload).maxClientTimeout));
    }

    private double slack(Duration now, Request request, Runner runner) {
        return targetSeconds(request) - runTimeRatio(now, runner) * runTime(request);
    }

    private double value(Request request) {
        double runTime = request.runTimeHint == null ? stats.get(request.workload).runTimeOrDefault() : runTime(request);
        return Math.max(1e-9, request.workload.importance * (settings.importanceByWork ? runTime : 1));
    }

    private double targetSeconds(Request request) {
        // Guards against work for clients who wait less than the promised time, by habit or on one bad day.
        return Math.min(seconds(request.workload.targetLatency) + request.workload.latencyStretch * runTime(request),
                seconds(elapsed(request.deadline, request).minus(settings.roundInterval)));
    }

    /** How long runs take there beside what is expected: the fleet's, its kind's in that, its own in that. */
    double runTimeRatio(Duration now, Runner runner) {
        return runner.runTimeRatio.estimate(PRIOR_RUNS / DecayingSum.decayFactor(now, runner.ratioUpdatedAt, timeConstant), PRIOR_RUNS);
    }

    /** The running time to expect at speed 1: the workload's mean; beside it a rough hint counts half. */
    private double runTime(Request request) {
        double mean = stats.get(request.workload).meanRunTime;
        return request.runTimeHint == null ? mean : Math.sqrt(mean * seconds(request.runTimeHint));
    }

    private void respond(Request request, Duration retryAfter) {
        request.plannedResponse = mayShed(request) ? Request.LocalResponse.SHED : Request.LocalResponse.GIVEN_UP;
        request.plannedRetryAfter = settings.sendsRetryAfter && retryAfter != null ? min(retryAfter, settings.maxRetryAfter) : null;
        changed.add(request);
    }

    /** After a failure: again, rationed once under half of the recent further ones succeeded; or answered. */
    private void retryOrRespond(Duration now, Request request) {
        double successRate = (retries.lastBin() + 1) / (retries.count() + 1);
        boolean moved = request.lastAttempt().outcome == Outcome.CANCELLED;  // that is no failure, and no load more
        if (request.attempts.size() >= settings.maxAttempts || !moved && !mayRetry(2 * successRate)) {
            respond(request, null);
        } else {
            request.clearSearch();
            decide(now, request);
        }
    }

    private boolean mayRetry(double probability) {
        boolean drawn = random.nextDouble() <= probability;
        return admission == null || probability >= 1 ? drawn : retryBudget.tryAcquire();
    }

    private void watch(Duration now, Request request, Attempt pending) {
        boolean waiting = pending.startedAt == null;
        double slackLeft = slack(now, request, pending.runner) - seconds(elapsed(now, request));
        if (waiting && settings.reportsStart && request.workload.lateImportance == 0 && mayShed(request)) {
            checkAt(request, now.plus(ofSeconds(Math.max(0, slackLeft))));
            if (slackLeft <= 0) {  // guards against spending an overload on what is worth nothing any more
                respond(request, null);
                return;
            }
        }
        if (request.attempts.size() >= settings.maxAttempts || pending.cancelPlanned || pending != request.lastAttempt()
                || request.workload.repeatSafety == Workload.RepeatSafety.EFFECTFUL || !settings.mayCancel
                || !waiting && settings.progressInterval.isZero()) {
            return;
        }
        Duration limit = !waiting ? pending.lastProgressAt
                : pending.sentAt.plus(max(ofSeconds(2 * pending.runnerLoad * waitPerLoad), request.workload.targetLatency.dividedBy(2)));
        limit = limit.plus(settings.progressInterval.multipliedBy(waiting && settings.reportsStart ? 0 : 3))
                .plus(request.recheckDelay == null ? Duration.ZERO : request.recheckDelay);
        if (!reached(now, limit)) {
            checkAt(request, limit);
            return;
        }
        if (!waiting) {
            recordHealth(now, pending.runner, true);
        }
        if (pending.runner.hasNotResponded() && request.workload.repeatSafety == Workload.RepeatSafety.PURE) {
            withdraw(pending);  // guards against waiting for an idle runner while the one it is at says nothing
            return;
        }
        request.recheckDelay = now.minus(pending.sentAt);
        if (probing.observedLambda > MAX_BUSY_TO_MOVE) {  // guards against running twice what goes on where called off
            checkAt(request, now.plus(request.recheckDelay));
            return;
        }
        request.clearSearch();
        request.seekingAlternative = true;
        search(now, request);
    }

    private void recordResult(Duration now, Attempt attempt) {
        Request request = attempt.request;
        if (attempt != request.attempts.get(0) && attempt.outcome != Outcome.CANCELLED) {  // to be moved is no failure
            retries.add(attempt.outcome == Outcome.FULFILLED);
        }
        if (EnumSet.of(Outcome.FULFILLED, Outcome.ERROR, Outcome.TURNED_AWAY).contains(attempt.outcome)) {
            attempt.runner.addIdleConnection(now, settings.idleTimeout);
        }
        if (attempt.connectionIdleTime == null && attempt.outcome != Outcome.CANCELLED && attempt.outcome != Outcome.NEVER_SENT) {
            connects.add(attempt.outcome != Outcome.NOT_CONNECTED);
        }
        if (attempt.outcome == Outcome.BROKEN && attempt.connectionIdleTime != null && attempt.startedAt == null
                && !reached(now, attempt.sentAt.plus(fewRoundTrips()))) {
            droppedIdleTime = max(attempt.connectionIdleTime, settings.roundInterval);
            droppedAt = now;
        }
        switch (attempt.outcome) {
            case FULFILLED -> {
                // Where its start was not told, the wait that was foreseen for it is taken off.
                boolean startUnknown = attempt.startedAt == null && attempt.runnerLoad >= 0.5;
                Duration start = startUnknown ? attempt.sentAt.plus(ofSeconds(attempt.runnerLoad * waitPerLoad(attempt.runner)))
                        : attempt.startedAt == null ? attempt.sentAt : attempt.startedAt;
                double runTime = seconds(max(now.minus(start), settings.roundInterval));  // a start may be told with the end
                WorkloadStats seen = stats.get(request.workload);
                if (request.runTimeHint == null) {
                    seen.addRunTime(seen.sampleCount == 0 ? runTime : Math.min(runTime, 4 * seen.meanRunTime));  // tails mislead means
                }
                probing.recordRunTime(runTime);
                if (!startUnknown) {
                    attempt.runner.runTimeRatio.add(Math.min(runTime, 4 * runTime(request) * runTimeRatio(now, attempt.runner)), runTime(request), PRIOR_RUNS);
                    attempt.runner.ratioUpdatedAt = now;
                }
                if (settings.warmth(now, attempt.runner) >= 1) {
                    fleet.warmWorkDone.add(now, attempt.work, timeConstant);
                }
                attempt.runner.recordSuccess(request.workload);
                recordCompletion(now, request, seconds(now.minus(request.arrivedAt)) > targetSeconds(request));
                recordHealth(now, attempt.runner, false);
            }
            case TURNED_AWAY -> attempt.runner.recordRejection(now, attempt, backoffUnit);
            case ERROR, BROKEN, TIMED_OUT -> recordHealth(now, attempt.runner, true);
            case NOT_CONNECTED -> {
                // Guards against setting aside all while no connection comes up: then it is not that runner.
                if (connects.count() - connects.lastBin() <= MAX_FAILURE_SHARE * (connects.count() + PRIOR_RUNS)) {
                    recordHealth(now, attempt.runner, true);
                    recordNoResponse(now, attempt.runner);
                }
            }
        }
    }

    /** Notes how a dispatch went; a runner that fails often is set aside, with a trickle that doubles. */
    private void recordHealth(Duration now, Runner runner, boolean failed) {
        runner.failures.add(failed);
        boolean failing = runner.failures.lastBin() >= 2 && runner.failures.lastBin() > MAX_FAILURE_SHARE * runner.failures.count();
        boolean recovered = !failed && runner.trialInterval != null && runner.trialInterval.compareTo(backoffUnit.dividedBy(8)) <= 0;
        if (recovered) {
            runner.failures.clear();
        }
        runner.trialInterval = runner.trialInterval == null ? failing ? backoffUnit : null : recovered ? null
                : failed ? min(runner.trialInterval.multipliedBy(2), backoffUnit.multipliedBy(4)) : runner.trialInterval.dividedBy(2);
        runner.nextTrialAt = failed && runner.trialInterval != null ? now.plus(runner.trialInterval) : runner.nextTrialAt;
    }

    private double work(Request request) {
        return request.slots * stats.get(request.workload).runTimeOrDefault();
    }

    // ---- The one place that acts: the difference between what is wanted and what is.

    public void applyActions(Duration now) {
        if (subscribeAt != null) {
            if (reached(now, subscribeAt)) {
                actions.subscribe(true);
                subscribeAt = now.plus(settings.subscribeWithin.dividedBy(2));  // asked again should no answer come
            }
            actions.setTimer(subscribeAt.minus(now), this);
        }
        List.copyOf(changed).forEach(request -> applyActions(now, request));
        changed.clear();
    }

    private void applyActions(Duration now, Request request) {
        if (!request.closed && request.plannedResponse != null) {
            close(request);
            if (request.plannedResponse == Request.LocalResponse.SHED) {
                actions.shed(request, request.plannedRetryAfter);
            } else {
                actions.giveUp(request);
            }
        }
        for (Attempt attempt : request.attempts) {
            boolean needed = attempt == request.streamingAttempt || request.streamingAttempt == null && !request.closed && !attempt.cancelPlanned;
            if (!needed && !attempt.cancelSent && attempt.outcome == null && settings.mayCancel) {
                attempt.cancelSent = true;
                actions.cancel(attempt);
            }
        }
        if (request.closed) {
            return;
        }
        if (request.plannedRunner != null && (settings.parallelAttempts || request.pendingAttempt() == null)) {
            Runner runner = request.plannedRunner;
            request.plannedRunner = null;
            if (canSend(now, request, runner)) {  // re-checked: list, window or budget may have changed since
                dispatch(now, request, runner);
            } else {
                request.clearSearch();
                decide(now, request);
            }
        }
        if (request.plannedProbe != null) {
            request.probeTarget = request.plannedProbe;
            request.probeSentAt = now;
            request.plannedProbe = null;
            request.probeTarget.probeWaiters.add(request);
            actions.probe(request.probeTarget);
        }
        if (request.plannedCheckAt != null && (request.timerAt == null || request.plannedCheckAt.compareTo(request.timerAt) < 0)) {
            request.timerAt = request.plannedCheckAt;
            actions.setTimer(max(Duration.ZERO, request.plannedCheckAt.minus(now)), request);
        }
    }

    private void dispatch(Duration now, Request request, Runner runner) {
        Attempt attempt = new Attempt(request, runner, now, work(request), request.plannedLoad);
        if (settings.warmth(now, runner) < 1) {
            runner.coldAttempts.add(attempt);
        }
        if (runner.hasIdleConnection(now, maxIdleTime(now))) {
            attempt.connectionIdleTime = runner.connectionIdleTime(now);
            runner.takeIdleConnection();
        } else if (runner.hasIdleConnection(now, settings.idleTimeout)) {
            runner.clearIdleConnections();
            actions.closeIdleConnections(runner);
        }
        if (request.attempts.isEmpty()) {
            retryBudget.recordFirstAttempt();
        }
        request.attempts.add(attempt);
        runner.inFlight.add(attempt);
        runner.contacted = true;
        runner.nextTrialAt = runner.trialInterval == null ? runner.nextTrialAt : now.plus(runner.trialInterval);
        request.recheckDelay = null;
        actions.dispatch(attempt, null);
        decide(now, request);
    }

    private Duration probeTimeout(Request request) {
        Duration quarter = request.workload.targetLatency.dividedBy(4);
        return probing.roundTrip == 0 ? quarter : min(quarter, fewRoundTrips());
    }

    private Duration fewRoundTrips() {
        return ofSeconds(3 * probing.roundTrip).plus(settings.roundInterval.multipliedBy(2));
    }

    private void checkAt(Request request, Duration time) {
        changed.add(request);
        request.plannedCheckAt = request.plannedCheckAt == null ? time : min(time, request.plannedCheckAt);
    }
}
