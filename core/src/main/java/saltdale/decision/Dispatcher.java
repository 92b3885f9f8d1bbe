// All decisions of one dispatcher. An adapter creates it, calls an event method for each event (onStart to
// onTimer), and applyActions after the last event of a round: only that method calls DispatcherActions.
package saltdale.decision;

import static saltdale.model.Durations.*;
import static saltdale.probing.Payoff.smooth;

import java.time.Duration;
import java.util.*;
import java.util.stream.Stream;
import saltdale.model.*;
import saltdale.overload.*;
import saltdale.probing.ProbeLoop;

/** Probes runners for each request, sends it to the first idle one found, and decides on further attempts. */
public final class Dispatcher {
    static final double SATURATION = 0.95;  // busy share above which busy and unstable runners are needed too
    static final double MAX_BUSY_TO_MOVE = 0.5;  // busy share up to which waiting work is moved to another runner
    static final double PRIOR_RUNS = 4;  // weight of the prior, in runs at the usual speed
    static final double MAX_FAILURE_SHARE = 0.3;  // a runner that lately failed more than this is ejected
    static final double HOMES_PER_KEY = 3;  // home runners of a key, and multiple of the key's share of all runners
    static final double RETRY_VALUE = 0.5;  // value relative to a first try: a retry has little time left
    static final double MAX_ZONE_DOUBT = 0.7;  // highest probability of avoiding a runner whose zone is unresponsive

    DispatcherSettings settings;  // a Preview replaces it for the duration of a query
    Preview preview = Preview.NONE;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    final List<Runner> runners = new ArrayList<>();
    private final Map<Workload, WorkloadStats> stats = new HashMap<>();
    private final RunTimeRatio runTimeRatio = new RunTimeRatio(16, null);  // of all runners; the parent of each machine type's
    private final Map<String, MachineTypeStats> machineTypes = new HashMap<>();
    private final Set<Request> changed = new LinkedHashSet<>();
    final ProbeLoop probing = new ProbeLoop();
    double waitPerLoad;  // seconds of wait per unit of load, smoothed
    private double meanRunTime, meanValue, arrivalCount;  // of all requests received
    double unreportedJobs;  // likely arrivals at a runner since the state it reports
    private final Map<String, Double> zoneSilence = new HashMap<>();  // by zone: smoothed share of unanswered contacts
    final Histogram retries = Histogram.ofBooleans(32);  // success of recent retries
    double unrestrictedLambda;  // λ' of runners that accept no restricted workload
    private final Keys keys = new Keys();
    private final Workload[] restricted;  // workloads that not every runner accepts
    private static final Workload[] NO_WORKLOADS = {};
    private Duration droppedIdleTime, droppedAt;  // idle time of a connection found dropped, and when
    final Histogram connects = Histogram.ofBooleans(32);  // success of recent connection attempts
    private final FleetSurvey fleet;
    private final ColdBudget coldBudget;
    private final boolean nonePure;
    private Duration subscribeAt, subscribeDelay;  // next subscription request (null while subscribed); retry delay
    private final AdmissionControl admission;  // null without overload settings
    private final RetryBudget retryBudget = new RetryBudget();  // used with overload settings only
    private final Duration backoffUnit, timeConstant;  // unit of back-off delays; decay of measurements

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

    /** The dispatcher starts: subscribes to the runner list if it must. */
    public void onStart(Duration now) {
        subscribeAt = settings.subscribes ? now : null;
    }

    /** A runner list has arrived: complete or a change, from the service or a cache. */
    public void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached) {
        Set<Runner> listed = new LinkedHashSet<>();
        for (RunnerListEntry entry : entries) {
            listed.add(entry.runner());
            entry.runner().update(entry, machineTypes.computeIfAbsent(entry.machineType(), name -> new MachineTypeStats(new RunTimeRatio(64, runTimeRatio))));
            // Attempts sent before the runner process restarted are lost: don't wait for them.
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

    /** Also counts against the zone: a dispatcher contacts one runner rarely, but a lost zone often. */
    private void recordNoResponse(Duration now, Runner runner) {
        runner.recordNoResponse(now, backoffUnit);
        zoneSilence.merge(runner.zone, smooth(0, 1), (old, first) -> smooth(old, 1));
    }

    private void withdraw(Attempt attempt) {
        attempt.cancelPlanned = true;
        changed.add(attempt.request);
    }

    /** The runner list could not be read. */
    public void onRunnerListFailure(Duration now) {  // jitter and doubling delays protect the small list service
        subscribeAt = now.plus(ofSeconds(seconds(subscribeDelay) * (0.5 + random.nextDouble())));
        subscribeDelay = min(subscribeDelay.multipliedBy(2), settings.subscribeWithin.dividedBy(2));
    }

    /** A client's request has arrived. */
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

    // Prevents work of low value per second from displacing more valuable work during an overload.
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

    /** The Retry-After for a shed request: spread over the time in which it can still be served. */
    private Duration retryAfter(Request request) {
        return ofSeconds(targetSeconds(request) * request.randomDraw / 4);
    }

    /** The admission control; null without overload settings. */
    public AdmissionControl admissionControl() {
        return admission;
    }

    /** The runner reports that it has started an attempt. */
    public void onStarted(Duration now, Attempt attempt) {
        recordStart(now, attempt);
        onProgress(now, attempt);
        decide(now, attempt.request);
    }

    /** The runner reports progress on an attempt. */
    public void onProgress(Duration now, Attempt attempt) {
        if (attempt.startedAt == null) {  // no start was reported: at most one progress interval ago
            recordStart(max(attempt.sentAt, now.minus(settings.progressInterval)), attempt);
        }
        attempt.lastProgressAt = now;
        attempt.runner.recordResponse();
    }

    /** Seconds of wait per unit of load: as measured; until then estimated from slots and mean run time. */
    private double waitPerLoad(Runner runner) {
        double estimate = waitPerLoad > 0 || runner.typeStats.slots == 0 ? waitPerLoad : meanRunTime / runner.typeStats.slots;
        // For a start during an overload: with no known wait, nothing counts as late and queues fill at once.
        return estimate == 0 && admission != null ? seconds(backoffUnit) / 2 / Math.max(1, runner.typeStats.slots) : estimate;
    }

    private void recordStart(Duration at, Attempt attempt) {
        attempt.startedAt = at;
        double perLoad = waitPerLoad(attempt.runner), waited = seconds(at.minus(attempt.sentAt));
        if (attempt.runnerLoad == 0 && perLoad > 0 && Double.isNaN(attempt.runner.report.queue())) {
            // An outdated report attracts every dispatcher. Work ahead of a job on a runner found idle arrived
            // after the report. A start known from progress alone is half an interval late on average.
            double ahead = waited - (settings.reportsStart ? 0 : seconds(settings.progressInterval) / 2);
            unreportedJobs += Math.min(1, Math.max(0, ahead / perLoad / 4));
        }
        waitPerLoad = attempt.runnerLoad < 0.5 ? waitPerLoad : smooth(perLoad, waited / attempt.runnerLoad);
    }

    /** The response of this attempt has begun to stream to the client. */
    public void onStreaming(Duration now, Attempt attempt) {
        attempt.request.streamingAttempt = attempt;
        changed.add(attempt.request);
    }

    /** An attempt has ended; {@code finished}: the client has its final response. */
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

    /** A probe has ended, with a load report where the runner sent one. */
    public void onProbeResult(Duration now, Runner runner, boolean answered, Duration roundTrip, LoadReport report) {
        Request request = runner.probeWaiters.poll();
        while (request != null && request.probeTarget != runner) {  // that request stopped waiting
            request = runner.probeWaiters.poll();
        }
        double load = Double.POSITIVE_INFINITY;
        boolean isIdle = false;
        if (!answered) {
            recordNoResponse(now, runner);
        } else {
            runner.recordResponse();
            zoneSilence.remove(runner.zone);  // the zone is reachable, whatever holds for other runners in it
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
                // Random sends beyond a cold runner's budget go to idle runners only, or they would queue up.
                boolean overBudget = settings.warmth(now, runner) < 1 && coldBudget.remaining(now, runner) < work(request);
                request.addProbeResult(runner, overBudget ? Double.POSITIVE_INFINITY : adjustedLoad(now, runner, load, isIdle), extraLoad);
                search(now, request);
            }
        }
    }

    double adjustedLoad(Duration now, Runner runner, double load, boolean isIdle) {
        return Math.max(load, isIdle ? 0 : 0.5) * runTimeRatio(now, runner) / runTimeRatio.estimate(PRIOR_RUNS, PRIOR_RUNS);  // 0.5: all slots may be taken
    }

    /** The request needs no response any more: it was answered or its client has gone. */
    public void close(Request request) {
        request.closed = true;
        changed.add(request);
    }

    /** A timer has fired that was set with this object. */
    public void onTimer(Duration now, Object timerTarget) {
        if (timerTarget instanceof Request request) {
            request.timerAt = null;
            decide(now, request);
        }
    }

    private void decide(Duration now, Request request) {
        Attempt pending = request.pendingAttempt();
        Duration latestDecision = min(request.deadline, settings.shutdownAt).minus(settings.roundInterval.multipliedBy(4));  // for a response of our own
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
            request.addProbeResult(request.probeTarget, 2 * probing.meanQueue + 1, extraLoad(now, request, request.probeTarget));  // no answer: go on, or the search halts
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
            respond(request, null);  // no repeat is allowed: don't hold it until the client times out
        } else {
            request.clearSearch();  // no runner is eligible now: hold the request and search again soon
            request.randomDraw = random.nextDouble();
            checkAt(request, now.plus(request.workload.targetLatency.dividedBy(4)));
        }
    }

    double load(Runner runner) {
        if (!Double.isNaN(runner.report.queue())) {
            // Reports lag: each other dispatcher may have as many unreported jobs waiting there as this one.
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

    /** Whether nothing is queued and enough slots are free for this job, where free slots are reported. */
    boolean isIdle(Duration now, Runner runner, double slots) {
        if (settings.reportsStart && runner.hasNotStartedSince(now.minus(fewRoundTrips()))) {
            return false;  // the report is late or wrong: a start is reported sooner than that
        }
        double ownSlots = settings.reportsStart ? runner.notStartedSlots() : 0;  // the report may not include them yet
        if (Double.isNaN(runner.report.freeSlots())) {
            return Double.isNaN(runner.report.queue()) ? load(runner) < 0.5 : runner.report.queue() + ownSlots < 0.5;
        }
        return !(runner.report.queue() >= 0.5) && runner.report.freeSlots() - ownSlots - unreportedJobs >= slots - 0.25;
    }

    // A random runner to probe next, not yet probed for this request. Rank, most significant first: trusted
    // (required after the first probe), fast enough for the latency target, a home of the key, likely idle and
    // responsive, extra load (zone, connection) within the lowest cost found, slower runners less often.
    private Runner pickRunner(Duration now, Request request) {
        fleet.update(now);
        boolean mostEjected = 2 * fleet.ejectedCount > fleet.readyCount;  // then the cause lies elsewhere: avoid no runner
        stats.get(request.workload).searchedWork.add(now, work(request), timeConstant);
        // Home runners of its key come first: all dispatchers send the key there, so its data is likely cached.
        Workload[] privileged = yieldsTo(request);
        Duration maxIdleTime = maxIdleTime(now);
        double homeShare = request.affinityKey == 0 ? 1 : HOMES_PER_KEY * (1 / fleet.readyCount + keys.share(request.affinityKey));
        double target = targetSeconds(request), runTime = runTime(request);
        double lowestCost = request.probedRunners.isEmpty() ? 0 : request.lowestCost();
        Runner best = null;
        int bestRank = request.probedRunners.isEmpty() && !request.seekingAlternative ? 64 : 32;
        for (int i = 0; i < runners.size() && bestRank > 0; i++) {
            Collections.swap(runners, i, i + random.nextInt(runners.size() - i));  // draws without allocation
            Runner runner = runners.get(i);
            if (!request.probedRunners.contains(runner) && canSend(now, request, runner)) {
                boolean trusted = (runner.trialInterval == null || mostEjected || mayTrial(request) && reached(now, runner.nextTrialAt))
                        && !runner.isRejecting(now, request.workload) && !runner.isUnresponsive(now) && !request.wasSentTo(runner);
                // Avoids probing runners that are probably still busy, unless nearly all are.
                boolean unlikely = random.nextDouble() < MAX_ZONE_DOUBT * zoneSilence.getOrDefault(runner.zone, 0.0)
                        || runner.foundBusyAt != null && probing.runTime > 0 && probing.observedLambda <= SATURATION
                        && random.nextDouble() < Math.exp(-seconds(now.minus(runner.foundBusyAt)) / probing.runTime);
                // Only pure work tests for failing runners: after a failure other work may go to few runners.
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

    /** The more valuable restricted workloads whose runners this request avoids while others have room. */
    private Workload[] yieldsTo(Request request) {
        return request.workload.isRestricted() || restricted.length == 0 || unrestrictedLambda >= SATURATION ? NO_WORKLOADS
                : Stream.of(restricted).filter(w -> valuePerSecond(w) > valuePerSecond(request.workload)).toArray(Workload[]::new);
    }

    /** The value of a second of its work when served in time. */
    private double valuePerSecond(Workload w) {
        return w.importance * (settings.importanceByWork ? 1 : 1 / stats.get(w).runTimeOrDefault());
    }

    // The load equivalent of leaving the zone and of opening a connection: the wait whose risk of lateness
    // costs as much, in units of the prices, so that of one workload long jobs cross zones before short ones;
    // plus the wait for connections that fail first, from the share of recent failures.
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

    // How long an idle connection is kept. An attempt sent on a silently dropped connection is reset and may
    // have run. Once that was observed, connections are closed earlier; the effect decays over time.
    private Duration maxIdleTime(Duration now) {
        return droppedIdleTime == null ? settings.idleTimeout
                : min(settings.idleTimeout, ofSeconds(seconds(droppedIdleTime) / DecayingSum.decayFactor(now, droppedAt, timeConstant)));
    }

    /** Whether it may test an ejected runner: a failure costs least on a first attempt that may run twice. */
    private boolean mayTrial(Request request) {
        return request.attempts.isEmpty() && (request.workload.repeatSafety == Workload.RepeatSafety.PURE || nonePure);
    }

    private boolean canSend(Duration now, Request request, Runner runner) {
        return runner.isReady() && request.workload.mayRunOn(runner)
                && mayRepeat(now, request, runner) && coldBudget.allows(now, runner, work(request), request.randomDraw);
    }

    /** Rule 2: a request that may have run is sent again only where a repeat is harmless. */
    boolean mayRepeat(Duration now, Request request, Runner runner) {
        Workload w = request.workload;
        if (w.repeatSafety == Workload.RepeatSafety.PURE || !request.mayHaveRun()) {
            return true;
        }
        Duration windowStart = now.minus(w.dedupWindow).plus(settings.roundInterval.multipliedBy(4));
        return w.repeatSafety == Workload.RepeatSafety.RECEIPTED && request.attempts.stream().filter(Attempt::mayHaveRun)
                .allMatch(attempt -> w.sharesDedupScope(runner, attempt.runner) && !reached(windowStart, attempt.sentAt));
    }

    /** Rule 2: a shed response tells the client that a retry is harmless. */
    boolean mayShed(Request request) {
        Workload w = request.workload;
        return w.repeatSafety == Workload.RepeatSafety.PURE || !request.mayHaveRun()
                || w.repeatSafety == Workload.RepeatSafety.RECEIPTED && w.dedupScope == Workload.DedupScope.ALL;
    }

    private void choose(Duration now, Request request, Runner runner, double load) {
        Attempt pending = request.pendingAttempt();
        changed.add(request);
        if (request.seekingAlternative && pending != null) {  // it waits or shows no progress; this runner is idle: move or copy it
            pending.cancelPlanned = pending.startedAt == null || !settings.parallelAttempts;
        } else if (mayShed(request)) {  // so that not all work ends late in an overload
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
        // In a lasting overload all work is late, and capacity earns more on punctual work: late work is shed
        // with the probability of the value that it would lose.
        double lateImportance = request.workload.lateImportance;
        boolean deadlineApplies = lateImportance == 0 || probing.observedLambda > SATURATION && request.randomDraw >= lateImportance;
        return deadlineApplies && seconds(elapsed(now, request)) + wait > maxWait
                || seconds(settings.shutdownAt.minus(now)) < wait + runTimeRatio(now, runner) * runTime(request);  // the dispatcher stops first
    }

    /** How long the client has waited over all its tries; for a known first try since its arrival. */
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
        // No work for clients that time out before the target latency, always or once.
        return Math.min(seconds(request.workload.targetLatency) + request.workload.latencyStretch * runTime(request),
                seconds(elapsed(request.deadline, request).minus(settings.roundInterval)));
    }

    /** Actual relative to expected run time: the fleet's ratio, times its machine type's, times its own. */
    double runTimeRatio(Duration now, Runner runner) {
        return runner.runTimeRatio.estimate(PRIOR_RUNS / DecayingSum.decayFactor(now, runner.ratioUpdatedAt, timeConstant), PRIOR_RUNS);
    }

    /** The expected run time at speed 1: the workload's mean; an inexact hint has half the weight. */
    private double runTime(Request request) {
        double mean = stats.get(request.workload).meanRunTime;
        return request.runTimeHint == null ? mean : Math.sqrt(mean * seconds(request.runTimeHint));
    }

    private void respond(Request request, Duration retryAfter) {
        request.plannedResponse = mayShed(request) ? Request.LocalResponse.SHED : Request.LocalResponse.GIVEN_UP;
        request.plannedRetryAfter = settings.sendsRetryAfter && retryAfter != null ? min(retryAfter, settings.maxRetryAfter) : null;
        changed.add(request);
    }

    /** After a failure: retries, limited while under half of recent retries succeed, or responds. */
    private void retryOrRespond(Duration now, Request request) {
        double successRate = (retries.lastBin() + 1) / (retries.count() + 1);
        boolean moved = request.lastAttempt().outcome == Outcome.CANCELLED;  // neither a failure nor additional load
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
            if (slackLeft <= 0) {  // too late to be of any value: don't spend capacity on it
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
            withdraw(pending);  // its runner does not respond: don't wait until an idle one is found
            return;
        }
        request.recheckDelay = now.minus(pending.sentAt);
        if (probing.observedLambda > MAX_BUSY_TO_MOVE) {  // a cancelled attempt may run on: avoid double work
            checkAt(request, now.plus(request.recheckDelay));
            return;
        }
        request.clearSearch();
        request.seekingAlternative = true;
        search(now, request);
    }

    private void recordResult(Duration now, Attempt attempt) {
        Request request = attempt.request;
        if (attempt != request.attempts.get(0) && attempt.outcome != Outcome.CANCELLED) {  // a moved attempt is no failure
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
                // Where no start was reported, the expected wait is subtracted.
                boolean startUnknown = attempt.startedAt == null && attempt.runnerLoad >= 0.5;
                Duration start = startUnknown ? attempt.sentAt.plus(ofSeconds(attempt.runnerLoad * waitPerLoad(attempt.runner)))
                        : attempt.startedAt == null ? attempt.sentAt : attempt.startedAt;
                double runTime = seconds(max(now.minus(start), settings.roundInterval));  // a start may be reported together with the end
                WorkloadStats seen = stats.get(request.workload);
                if (request.runTimeHint == null) {
                    seen.addRunTime(seen.sampleCount == 0 ? runTime : Math.min(runTime, 4 * seen.meanRunTime));  // caps outliers
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
                // While connections fail everywhere, this runner is not the cause: don't eject all runners.
                if (connects.count() - connects.lastBin() <= MAX_FAILURE_SHARE * (connects.count() + PRIOR_RUNS)) {
                    recordHealth(now, attempt.runner, true);
                    recordNoResponse(now, attempt.runner);
                }
            }
        }
    }

    /** Counts a success or failure; a runner that fails often is ejected, with doubling trial intervals. */
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

    /** Ends a round of events: compares the planned state with the actual one and acts on the difference. */
    public void applyActions(Duration now) {
        if (subscribeAt != null) {
            if (reached(now, subscribeAt)) {
                actions.subscribe(true);
                subscribeAt = now.plus(settings.subscribeWithin.dividedBy(2));  // repeated if no answer comes
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
            if (canSend(now, request, runner)) {  // checked again: list, window or budget may have changed
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
