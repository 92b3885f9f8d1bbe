// All decisions of one dispatcher. An adapter creates it, calls an event method for each event (onStart to
// onTimer), and applyActions after the last event of a round: only that method calls DispatcherActions.
package saltdale.decision;

import static java.lang.Double.POSITIVE_INFINITY;
import static saltdale.model.Durations.*;
import static saltdale.model.Outcome.*;
import static saltdale.model.Workload.RepeatSafety.*;
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
    static final double MAX_BUSY_TO_MOVE = 0.5;  // busy share up to which waiting work is moved
    static final double PRIOR_RUNS = 4;  // weight of the prior, in runs at the usual speed
    static final double EJECT_SHARE = 0.3;  // a runner that lately failed more than this is ejected
    static final double HOMES = 3;  // homes of a key: this many runners, plus this multiple of its share
    static final double RETRY_VALUE = 0.5;  // value relative to a first try: a retry has little time left
    static final double ZONE_DOUBT = 0.7;  // highest probability of avoiding a runner of an unresponsive zone

    DispatcherSettings settings;  // a Preview replaces it for the duration of a query
    Preview preview = Preview.NONE;
    private final DispatcherActions actions;
    private final SplittableRandom random;
    final List<Runner> runners = new ArrayList<>();
    private final Map<Workload, WorkloadStats> stats = new HashMap<>();
    private final RunTimeRatio fleetRatio = new RunTimeRatio(16, null);  // of the fleet; group of all types
    private final Map<String, MachineTypeStats> machineTypes = new HashMap<>();
    private final Set<Request> changed = new LinkedHashSet<>();
    final ProbeLoop probing = new ProbeLoop();
    double waitPerLoad;  // seconds of wait per unit of load, smoothed
    private double meanRunTime, meanValue, arrivalCount;  // of all requests received
    double unreportedJobs;  // likely arrivals at a runner since the state it reports
    private final Map<String, Double> zoneSilence = new HashMap<>();  // by zone: share of unanswered contacts
    final Histogram retries = Histogram.ofBooleans(32);  // success of recent retries
    double generalLambda;  // λ' of runners that accept no restricted workload
    private final Keys keys = new Keys();
    private final Workload[] restricted;  // workloads that not every runner accepts
    private static final Workload[] NONE = {};
    private Duration droppedIdle, droppedAt;  // idle time of a connection found dropped, and when
    final Histogram connects = Histogram.ofBooleans(32);  // success of recent connection attempts
    private final FleetSurvey fleet;
    private final ColdBudget coldBudget;
    private final boolean nonePure;  // no workload is pure
    private Duration subscribeAt, subscribeDelay;  // next subscription (null while subscribed); retry delay
    private final AdmissionControl admission;  // null without overload settings
    private final RetryBudget retryBudget = new RetryBudget();  // used with overload settings only
    private final Duration backoff, timeConstant;  // unit of back-off delays; decay of measurements

    public Dispatcher(DispatcherSettings settings, DispatcherActions actions, SplittableRandom random) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        backoff = settings.workloads.stream().map(w -> w.clientTimeout)
                .reduce(settings.subscribeWithin, Durations::min).dividedBy(4);
        timeConstant = max(backoff, settings.warmUpTime);
        fleet = new FleetSurvey(settings, runners, timeConstant);
        coldBudget = new ColdBudget(settings, fleet, stats.values(), timeConstant, random);
        admission = settings.overload == null ? null : new AdmissionControl(settings.overload, timeConstant);
        settings.workloads.forEach(w -> stats.put(w, new WorkloadStats(admission)));
        restricted = settings.workloads.stream().filter(Workload::isRestricted).toArray(Workload[]::new);
        nonePure = settings.workloads.stream().noneMatch(w -> w.repeatSafety == PURE);
        subscribeDelay = settings.subscribeWithin.dividedBy(20);
    }

    public void onStart(Duration now) {
        subscribeAt = settings.subscribes ? now : null;
    }

    /** A runner list has arrived: complete or a change, from the service or a cache. */
    public void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached) {
        Set<Runner> listed = new LinkedHashSet<>();
        for (RunnerListEntry entry : entries) {
            listed.add(entry.runner());
            entry.runner().update(entry, machineTypes.computeIfAbsent(entry.machineType(),
                    name -> new MachineTypeStats(new RunTimeRatio(64, fleetRatio))));
            // Attempts sent before the runner process restarted are lost: don't wait for them.
            entry.runner().inFlight.stream().filter(attempt -> entry.startedAt() != null
                    && attempt.sentAt.compareTo(entry.startedAt()) < 0).forEach(this::withdraw);
        }
        runners.stream().filter(r -> complete && !listed.contains(r)).forEach(r -> r.mode = Runner.Mode.GONE);
        listed.addAll(runners);
        runners.clear();
        runners.addAll(listed);
        runners.removeIf(r -> r.mode == Runner.Mode.GONE);
        if (!cached && settings.subscribes) {
            subscribeAt = null;
            subscribeDelay = settings.subscribeWithin.dividedBy(20);
        }
    }

    /** Also counts against the zone: a dispatcher contacts one runner rarely, but a lost zone often. */
    private void recordNoResponse(Duration now, Runner r) {
        r.recordNoResponse(now, backoff);
        zoneSilence.merge(r.zone, smooth(0, 1), (old, first) -> smooth(old, 1));
    }

    private void withdraw(Attempt attempt) {
        attempt.cancelPlanned = true;
        changed.add(attempt.request);
    }

    public void onRunnerListFailure(Duration now) {  // jitter, doubling delays: spare the small list service
        subscribeAt = now.plus(ofSeconds(seconds(subscribeDelay) * (0.5 + random.nextDouble())));
        subscribeDelay = min(subscribeDelay.multipliedBy(2), settings.subscribeWithin.dividedBy(2));
    }

    public void onRequest(Duration now, Request req) {
        WorkloadStats stat = stats.get(req.workload);
        stat.maxClientTimeout = max(stat.maxClientTimeout, req.clientTimeout());
        if (req.runTimeHint != null) { stat.addRunTime(seconds(req.runTimeHint)); }
        meanRunTime += (runTime(req) - meanRunTime) / Math.min(++arrivalCount, 99);
        meanValue += (value(req) - meanValue) / Math.min(arrivalCount, 99);
        req.randomDraw = random.nextDouble();
        if (req.affinityKey != 0) { keys.add(req.affinityKey); }
        if (admission != null && req.workload.lateImportance == 0 && isCrowdedOut(now, req)) {
            respond(req, retryAfter(req));
        } else {
            decide(now, req);
        }
    }

    // Prevents work of low value per second from displacing more valuable work during an overload.
    private boolean isCrowdedOut(Duration now, Request req) {
        Workload w = req.workload;
        WorkloadStats stat = stats.get(w);
        double value = valuePerSecond(w);
        double slack = seconds(w.targetLatency) + (w.latencyStretch - 1) * stat.meanRunTime;
        double workSeconds = stat.sampleCount == 0 ? stat.runTimeOrDefault() : runTime(req);
        admission.recordArrival(now, admissionClass(req), workSeconds,
                isMarkedRetry(req) ? RETRY_VALUE * value : value, slack, stat.sampleCount);
        return admission.shouldReject(now, admissionClass(req), req.randomDraw);
    }

    private boolean isMarkedRetry(Request req) {
        return settings.retriesMarked && req.markedAsRetry;
    }

    private AdmissionControl.AdmissionClass admissionClass(Request req) {
        return isMarkedRetry(req) ? stats.get(req.workload).retries : stats.get(req.workload).firstTries;
    }

    private void recordCompletion(Duration now, Request req, boolean missed) {
        if (admission != null) { admission.recordCompletion(now, admissionClass(req), missed); }
    }

    /** The Retry-After for a shed request: spread over the time in which it can still be served. */
    private Duration retryAfter(Request req) {
        return ofSeconds(targetSeconds(req) * req.randomDraw / 4);
    }

    public AdmissionControl admissionControl() {  // null without overload settings
        return admission;
    }

    public void onStarted(Duration now, Attempt attempt) {
        recordStart(now, attempt);
        onProgress(now, attempt);
        decide(now, attempt.request);
    }

    public void onProgress(Duration now, Attempt attempt) {
        if (attempt.startedAt == null) {  // no start was reported: at most one progress interval ago
            recordStart(max(attempt.sentAt, now.minus(settings.progressInterval)), attempt);
        }
        attempt.lastProgressAt = now;
        attempt.runner.recordResponse();
    }

    /** Seconds of wait per unit of load: as measured; until then estimated from slots and mean run time. */
    private double waitPerLoad(Runner r) {
        double wait = waitPerLoad > 0 || r.typeStats.slots == 0 ? waitPerLoad
                : meanRunTime / r.typeStats.slots;
        // For a start during an overload: with no known wait, nothing counts as late and queues fill at once.
        return wait == 0 && admission != null ? seconds(backoff) / 2 / Math.max(1, r.typeStats.slots) : wait;
    }

    private void recordStart(Duration at, Attempt attempt) {
        attempt.startedAt = at;
        double perLoad = waitPerLoad(attempt.runner), waited = seconds(at.minus(attempt.sentAt));
        if (attempt.runnerLoad == 0 && perLoad > 0 && Double.isNaN(attempt.runner.report.queue())) {
            // Outdated reports attract all dispatchers. What a job waits for on a runner found idle arrived
            // after the report. A start known from progress alone is half an interval off on average.
            double ahead = waited - (settings.reportsStart ? 0 : seconds(settings.progressInterval) / 2);
            unreportedJobs += Math.min(1, Math.max(0, ahead / perLoad / 4));
        }
        waitPerLoad = attempt.runnerLoad < 0.5 ? waitPerLoad : smooth(perLoad, waited / attempt.runnerLoad);
    }

    public void onStreaming(Duration now, Attempt attempt) {
        attempt.request.streamingAttempt = attempt;
        changed.add(attempt.request);
    }

    /** An attempt has ended; {@code done}: the client has its final response. */
    public void onAttemptEnd(Duration now, Attempt ended, Outcome outcome, boolean done, LoadReport report) {
        Request req = ended.request;
        ended.outcome = outcome;
        ended.ambiguousRejection = outcome == TURNED_AWAY && settings.lateRejections;
        ended.runner.inFlight.remove(ended);
        ended.runner.report = report == null ? ended.runner.report : report;
        recordResult(now, ended);
        if (done) {
            close(req);
        } else if (!req.closed && req.pendingAttempt() == null && req.plannedRunner == null) {
            retryOrRespond(now, req);
        }
        changed.add(req);
    }

    public void onProbeResult(Duration now, Runner r, boolean answered, Duration rtt, LoadReport report) {
        Request req = r.probeWaiters.poll();
        while (req != null && req.probeTarget != r) {  // that request stopped waiting
            req = r.probeWaiters.poll();
        }
        double load = POSITIVE_INFINITY;
        boolean isIdle = false;
        if (!answered) {
            recordNoResponse(now, r);
        } else {
            r.recordResponse();
            zoneSilence.remove(r.zone);  // the zone is reachable, whatever holds for other runners in it
            r.report = report == null ? LoadReport.NONE : report;
            r.typeStats.recordSlots(r.report);
            r.contacted = true;
            unreportedJobs *= 0.99;
            load = load(r);
            isIdle = isIdle(now, r, req == null ? 1 : req.slots);
            preview.onProbeResult(now, req, r);
            probing.recordProbe(isIdle, load, seconds(rtt));
            if (admission != null) { admission.recordWait(now, probing.meanQueue * waitPerLoad); }
            generalLambda = r.acceptsAny(restricted) ? generalLambda : smooth(generalLambda, isIdle ? 0 : 1);
            r.foundBusyAt = isIdle ? null : now;
        }
        if (req != null) {
            req.probeTarget = null;
            double extra = extraLoad(now, req, r);
            if (!req.closed && isIdle && canSend(now, req, r) && extra <= req.lowestCost()) {
                choose(now, req, r, 0);
            } else if (!req.closed) {
                // Random sends beyond a cold runner's budget go to idle runners only, or they would queue up.
                boolean over = settings.warmth(now, r) < 1 && coldBudget.remaining(now, r) < work(req);
                req.addProbeResult(r, over ? POSITIVE_INFINITY : adjustedLoad(now, r, load, isIdle), extra);
                search(now, req);
            }
        }
    }

    double adjustedLoad(Duration now, Runner r, double load, boolean isIdle) {  // 0.5: slots may be full
        return Math.max(load, isIdle ? 0 : 0.5) * ratio(now, r) / fleetRatio.estimate(PRIOR_RUNS, PRIOR_RUNS);
    }

    /** The request needs no response any more: it was answered or its client has gone. */
    public void close(Request req) {
        req.closed = true;
        changed.add(req);
    }

    public void onTimer(Duration now, Object timerTarget) {
        if (timerTarget instanceof Request req) {
            req.timerAt = null;
            decide(now, req);
        }
    }

    private void decide(Duration now, Request req) {
        Attempt pending = req.pendingAttempt();
        Duration last = min(req.deadline, settings.shutdownAt).minus(settings.roundInterval.multipliedBy(4));
        req.plannedCheckAt = null;
        if (req.streamingAttempt != null || req.closed) { return; }
        checkAt(req, last);  // leaves time for the dispatcher's own response
        if (reached(now, last)) {
            respond(req, null);
        } else if (req.probeTarget != null || pending == null && req.plannedRunner == null) {
            search(now, req);
        } else if (pending != null) {
            watch(now, req, pending);
        }
    }

    private void search(Duration now, Request req) {
        if (req.probeTarget != null) {
            Duration limit = req.probeSentAt.plus(probeTimeout(req));
            if (!reached(now, limit)) {
                checkAt(req, limit);
                return;
            }
            req.addProbeResult(req.probeTarget, 2 * probing.meanQueue + 1,
                    extraLoad(now, req, req.probeTarget));
            recordNoResponse(now, req.probeTarget);  // go on without it: the search must not halt
            req.probeTarget = null;
        }
        while (req.probedRunners.isEmpty()
                || probing.worthAnother(req.probedRunners.size(), Collections.min(req.probedLoads))) {
            Runner next = pickRunner(now, req);
            if (next == null) {
                break;
            } else if (settings.mayProbe) {
                req.plannedProbe = next;
                checkAt(req, now.plus(probeTimeout(req)));
                return;
            } else if (isIdle(now, next, req.slots)) {
                choose(now, req, next, 0);
                return;
            }
            req.addProbeResult(next, load(next), extraLoad(now, req, next));
        }
        int best = -1, ties = 0;
        for (int i = 0; i < req.probedRunners.size(); i++) {
            double cost = req.probedCosts.get(i), gap = best < 0 ? -1 : cost - req.probedCosts.get(best);
            Runner r = req.probedRunners.get(i);
            if (cost < POSITIVE_INFINITY && gap <= 0 && canSend(now, req, r) && !r.isUnresponsive(now)) {
                ties = gap < 0 ? 1 : ties + 1;
                best = random.nextInt(ties) == 0 ? i : best;
            }
        }
        if (req.seekingAlternative) {
            req.seekingAlternative = false;
            checkAt(req, now.plus(req.recheckDelay));
        } else if (best >= 0) {
            preview.onRunnerChosen(now, req);
            choose(now, req, req.probedRunners.get(best), req.probedLoads.get(best));
        } else if (req.workload.repeatSafety != PURE && req.mayHaveRun()
                && runners.stream().noneMatch(r -> mayRepeat(now, req, r))) {
            respond(req, null);  // no repeat is allowed: don't hold it until the client times out
        } else {
            req.clearSearch();  // no runner is eligible now: hold the request and search again soon
            req.randomDraw = random.nextDouble();
            checkAt(req, now.plus(req.workload.targetLatency.dividedBy(4)));
        }
    }

    double load(Runner r) {
        if (!Double.isNaN(r.report.queue())) {
            // Reports lag: each other dispatcher may have as many unreported jobs waiting there as this one.
            return Math.max(r.report.queue(),
                    settings.reportsStart ? r.notStartedCount() * settings.dispatcherCount : 0);
        }
        double inFlight = r.report.inFlight(), free = r.report.freeSlots();
        if (Double.isNaN(inFlight) && settings.loadBasedWeights && r.typeStats.slots > 0 && r.weight > 0) {
            inFlight = (r.typeStats.maxWeight / r.weight - 1) * r.typeStats.slots;
        }
        return (free < unreportedJobs ? unreportedJobs - free : 0)
                + (Double.isNaN(inFlight) ? r.contacted ? r.inFlight.size() : fleet.meanInFlight
                : Math.max(Math.max(inFlight, r.inFlight.size()) - r.typeStats.slots, 0));
    }

    /** Whether nothing is queued and enough slots are free for this job, where free slots are reported. */
    boolean isIdle(Duration now, Runner r, double slots) {
        if (settings.reportsStart && r.hasNotStartedSince(now.minus(fewRoundTrips()))) {
            return false;  // the report is late or wrong: a start is reported sooner than that
        }
        double ownSlots = settings.reportsStart ? r.notStartedSlots() : 0;  // the report may lack them
        if (Double.isNaN(r.report.freeSlots())) {
            return Double.isNaN(r.report.queue()) ? load(r) < 0.5 : r.report.queue() + ownSlots < 0.5;
        }
        return !(r.report.queue() >= 0.5) && r.report.freeSlots() - ownSlots - unreportedJobs >= slots - 0.25;
    }

    // A random runner to probe next, not yet probed for this request. Ranks by, most significant first:
    // trusted (required after the first probe), fast enough for the target latency, home of the key, likely
    // idle and responsive, extra load (zone, connection) up to the lowest cost found; slower ones less often.
    private Runner pickRunner(Duration now, Request req) {
        fleet.update(now);
        boolean mostEjected = 2 * fleet.ejectedCount > fleet.readyCount;  // cause lies elsewhere: avoid none
        stats.get(req.workload).searchedWork.add(now, work(req), timeConstant);
        // Homes of its key come first: all dispatchers send the key there, so its data is likely cached.
        Workload[] first = yieldsTo(req);
        Duration maxIdleTime = maxIdleTime(now);
        double homes = req.affinityKey == 0 ? 1
                : HOMES * (1 / fleet.readyCount + keys.share(req.affinityKey));
        double target = targetSeconds(req), runTime = runTime(req);
        double lowestCost = req.probedRunners.isEmpty() ? 0 : req.lowestCost();
        Runner best = null;
        int bestRank = req.probedRunners.isEmpty() && !req.seekingAlternative ? 64 : 32;
        for (int i = 0; i < runners.size() && bestRank > 0; i++) {
            Collections.swap(runners, i, i + random.nextInt(runners.size() - i));  // draws without allocation
            Runner r = runners.get(i);
            if (!req.probedRunners.contains(r) && canSend(now, req, r)) {
                boolean trusted = (r.trialInterval == null || mostEjected
                        || mayTrial(req) && reached(now, r.nextTrialAt)) && !r.isRejecting(now, req.workload)
                        && !r.isUnresponsive(now) && !req.wasSentTo(r);
                // Avoids probing runners that are probably still busy, unless nearly all are.
                boolean unlikely = random.nextDouble() < ZONE_DOUBT * zoneSilence.getOrDefault(r.zone, 0.0)
                    || r.foundBusyAt != null && probing.runTime > 0 && probing.observedLambda <= SATURATION
                    && random.nextDouble() < Math.exp(-seconds(now.minus(r.foundBusyAt)) / probing.runTime);
                // Only pure work tests for failing runners: after a failure other work may go to few runners.
                unlikely |= r.acceptsAny(first) || fleet.ejectedCount > 0 && req.workload.repeatSafety != PURE
                        && (r.failures.count() == 0 || r.failures.lastBin() > EJECT_SHARE);
                double ratio = ratio(now, r);
                double extraLoad = extraLoad(req, r, target - ratio * runTime, maxIdleTime, now);
                int rank = (trusted ? 0 : 32) + (target >= ratio * runTime ? 0 : 16)
                        + (req.affinityKey == 0 || Keys.isHome(req.affinityKey, r.hash, homes) ? 0 : 8)
                        + (unlikely ? 4 : 0) + (extraLoad > lowestCost ? 2 : 0)
                        + (random.nextDouble() * ratio > fleetRatio.estimate(PRIOR_RUNS, PRIOR_RUNS) ? 1 : 0);
                best = rank < bestRank ? r : best;
                bestRank = Math.min(rank, bestRank);
            }
        }
        return best;
    }

    /** More valuable restricted workloads, whose only runners it must not fill while others have room. */
    private Workload[] yieldsTo(Request req) {
        return req.workload.isRestricted() || restricted.length == 0 || generalLambda >= SATURATION ? NONE
                : Stream.of(restricted).filter(w -> valuePerSecond(w) > valuePerSecond(req.workload))
                        .toArray(Workload[]::new);
    }

    /** The value of a second of its work when served in time. */
    private double valuePerSecond(Workload w) {
        return w.importance * (settings.importanceByWork ? 1 : 1 / stats.get(w).runTimeOrDefault());
    }

    // The load equivalent of leaving the zone and of opening a connection: the wait whose risk of lateness
    // costs as much, in units of the prices, so that of one workload long jobs cross zones before short ones;
    // plus the wait for connections that fail first, from the share of recent failures.
    double extraLoad(Duration now, Request req, Runner r) {
        return extraLoad(req, r, slack(now, req, r), maxIdleTime(now), now);
    }

    private double extraLoad(Request req, Runner r, double slack, Duration maxIdleTime, Duration now) {
        double perLoad = waitPerLoad(r);
        boolean opens = !r.hasIdleConnection(now, maxIdleTime);
        double price = (r.zone.equals(settings.zone) ? 0 : settings.crossZonePrice)
                + (opens ? settings.handshakePrice : 0);
        double failures = opens ? (connects.count() - connects.lastBin()) / (connects.lastBin() + 1) : 0;
        if (perLoad == 0 || price == 0 && failures == 0) { return 0; }
        double loss = Math.max(1e-9,
                settings.goalWeight * (1 - req.workload.lateImportance) * value(req) / meanValue);
        return (price / loss * Math.max(0, slack) + failures * seconds(settings.connectTimeout)) / perLoad;
    }

    // How long an idle connection is kept. An attempt sent on a silently dropped connection is reset and may
    // have run. Once that was observed, connections are closed earlier; the effect decays over time.
    private Duration maxIdleTime(Duration now) {
        return droppedIdle == null ? settings.idleTimeout : min(settings.idleTimeout,
                ofSeconds(seconds(droppedIdle) / DecayingSum.decayFactor(now, droppedAt, timeConstant)));
    }

    /** Whether it may test an ejected runner: a failure costs least on a first attempt that may run twice. */
    private boolean mayTrial(Request req) {
        return req.attempts.isEmpty() && (req.workload.repeatSafety == PURE || nonePure);
    }

    private boolean canSend(Duration now, Request req, Runner r) {
        return r.isReady() && req.workload.mayRunOn(r)
                && mayRepeat(now, req, r) && coldBudget.allows(now, r, work(req), req.randomDraw);
    }

    /** Rule 2: a request that may have run is sent again only where a repeat is harmless. */
    boolean mayRepeat(Duration now, Request req, Runner r) {
        Workload w = req.workload;
        if (w.repeatSafety == PURE || !req.mayHaveRun()) { return true; }
        Duration windowStart = now.minus(w.dedupWindow).plus(settings.roundInterval.multipliedBy(4));
        return w.repeatSafety == RECEIPTED && req.attempts.stream().filter(Attempt::mayHaveRun)
                .allMatch(a -> w.sharesDedupScope(r, a.runner) && !reached(windowStart, a.sentAt));
    }

    /** Rule 2: a shed response tells the client that a retry is harmless. */
    boolean mayShed(Request req) {
        Workload w = req.workload;
        return w.repeatSafety == PURE || !req.mayHaveRun()
                || w.repeatSafety == RECEIPTED && w.dedupScope == Workload.DedupScope.ALL;
    }

    private void choose(Duration now, Request req, Runner r, double load) {
        Attempt pending = req.pendingAttempt();
        changed.add(req);
        if (req.seekingAlternative && pending != null) {  // waiting or stalled, r is idle: move or copy it
            pending.cancelPlanned = pending.startedAt == null || !settings.parallelAttempts;
        } else if (mayShed(req)) {  // so that not all work ends late in an overload
            preview.onLatenessCheck(now, req, r);
            if (isLate(now, req, r, load)) {
                recordCompletion(now, req, true);
                respond(req, admission == null ? ofSeconds(load * waitPerLoad(r)) : retryAfter(req));
                return;
            }
        }
        req.seekingAlternative = false;
        req.plannedRunner = r;
        req.plannedLoad = load;
    }

    boolean isLate(Duration now, Request req, Runner r, double load) {
        double wait = (load + extraLoad(now, req, r)) * waitPerLoad(r);
        double slack = slack(now, req, r);
        double maxWait = admission == null ? slack : admission.maxWaitSeconds(admissionClass(req), slack,
                settings.retriesMarked && !req.markedAsRetry);
        // In a lasting overload all work is late, and capacity earns more on punctual work: late work is shed
        // with the probability of the value that it would lose.
        double lateShare = req.workload.lateImportance;
        boolean strict = lateShare == 0 || probing.observedLambda > SATURATION && req.randomDraw >= lateShare;
        return strict && seconds(elapsed(now, req)) + wait > maxWait  // or the dispatcher stops first
                || seconds(settings.shutdownAt.minus(now)) < wait + ratio(now, r) * runTime(req);
    }

    /** How long the client has waited over all its tries; for a known first try since its arrival. */
    private Duration elapsed(Duration now, Request req) {
        boolean firstTry = settings.retriesMarked && !req.markedAsRetry;
        return now.minus(firstTry ? req.arrivedAt
                : req.deadline.minus(stats.get(req.workload).maxClientTimeout));
    }

    private double slack(Duration now, Request req, Runner r) {
        return targetSeconds(req) - ratio(now, r) * runTime(req);
    }

    private double value(Request req) {
        double runTime = req.runTimeHint == null ? stats.get(req.workload).runTimeOrDefault() : runTime(req);
        return Math.max(1e-9, req.workload.importance * (settings.importanceByWork ? runTime : 1));
    }

    private double targetSeconds(Request req) {
        // No work for clients that time out before the target latency, always or once.
        return Math.min(seconds(req.workload.targetLatency) + req.workload.latencyStretch * runTime(req),
                seconds(elapsed(req.deadline, req).minus(settings.roundInterval)));
    }

    /** Actual relative to expected run time: the fleet's ratio, times its machine type's, times its own. */
    double ratio(Duration now, Runner r) {
        return r.runTimeRatio.estimate(
                PRIOR_RUNS / DecayingSum.decayFactor(now, r.ratioUpdatedAt, timeConstant), PRIOR_RUNS);
    }

    /** The expected run time at speed 1: the workload's mean; an inexact hint has half the weight. */
    private double runTime(Request req) {
        double mean = stats.get(req.workload).meanRunTime;
        return req.runTimeHint == null ? mean : Math.sqrt(mean * seconds(req.runTimeHint));
    }

    private void respond(Request req, Duration delay) {
        req.plannedResponse = mayShed(req) ? Request.LocalResponse.SHED : Request.LocalResponse.GIVEN_UP;
        req.plannedRetryAfter = settings.sendsRetryAfter && delay != null
                ? min(delay, settings.maxRetryAfter) : null;
        changed.add(req);
    }

    /** After a failure: retries, limited while under half of recent retries succeed, or responds. */
    private void retryOrRespond(Duration now, Request req) {
        double successRate = (retries.lastBin() + 1) / (retries.count() + 1);
        boolean moved = req.lastAttempt().outcome == CANCELLED;  // neither a failure nor additional load
        if (req.attempts.size() >= settings.maxAttempts || !moved && !mayRetry(2 * successRate)) {
            respond(req, null);
        } else {
            req.clearSearch();
            decide(now, req);
        }
    }

    private boolean mayRetry(double probability) {
        boolean drawn = random.nextDouble() <= probability;
        return admission == null || probability >= 1 ? drawn : retryBudget.tryAcquire();
    }

    private void watch(Duration now, Request req, Attempt pending) {
        boolean waiting = pending.startedAt == null;
        double slackLeft = slack(now, req, pending.runner) - seconds(elapsed(now, req));
        if (waiting && settings.reportsStart && req.workload.lateImportance == 0 && mayShed(req)) {
            checkAt(req, now.plus(ofSeconds(Math.max(0, slackLeft))));
            if (slackLeft <= 0) {  // too late to be of any value: don't spend capacity on it
                respond(req, null);
                return;
            }
        }
        if (req.attempts.size() >= settings.maxAttempts || pending.cancelPlanned
                || pending != req.lastAttempt() || req.workload.repeatSafety == EFFECTFUL
                || !settings.mayCancel || !waiting && settings.progressInterval.isZero()) {
            return;
        }
        Duration limit = !waiting ? pending.lastProgressAt : pending.sentAt.plus(max(
                ofSeconds(2 * pending.runnerLoad * waitPerLoad), req.workload.targetLatency.dividedBy(2)));
        limit = limit.plus(settings.progressInterval.multipliedBy(waiting && settings.reportsStart ? 0 : 3))
                .plus(req.recheckDelay == null ? Duration.ZERO : req.recheckDelay);
        if (!reached(now, limit)) {
            checkAt(req, limit);
            return;
        }
        if (!waiting) { recordHealth(now, pending.runner, true); }
        if (pending.runner.hasNotResponded() && req.workload.repeatSafety == PURE) {
            withdraw(pending);  // its runner does not respond: don't wait until an idle one is found
            return;
        }
        req.recheckDelay = now.minus(pending.sentAt);
        if (probing.observedLambda > MAX_BUSY_TO_MOVE) {  // a cancelled attempt may run on: avoid double work
            checkAt(req, now.plus(req.recheckDelay));
            return;
        }
        req.clearSearch();
        req.seekingAlternative = true;
        search(now, req);
    }

    private void recordResult(Duration now, Attempt ended) {
        Request req = ended.request;
        if (ended != req.attempts.get(0) && ended.outcome != CANCELLED) {  // a moved attempt is no failure
            retries.add(ended.outcome == FULFILLED);
        }
        if (EnumSet.of(FULFILLED, ERROR, TURNED_AWAY).contains(ended.outcome)) {
            ended.runner.addIdleConnection(now, settings.idleTimeout);
        }
        if (ended.connectionIdleTime == null && ended.outcome != CANCELLED && ended.outcome != NEVER_SENT) {
            connects.add(ended.outcome != NOT_CONNECTED);
        }
        if (ended.outcome == BROKEN && ended.connectionIdleTime != null && ended.startedAt == null
                && !reached(now, ended.sentAt.plus(fewRoundTrips()))) {
            droppedIdle = max(ended.connectionIdleTime, settings.roundInterval);
            droppedAt = now;
        }
        switch (ended.outcome) {
            case FULFILLED -> {
                // Without a reported start the expected wait is subtracted; it may be reported with the end.
                boolean startUnknown = ended.startedAt == null && ended.runnerLoad >= 0.5;
                Duration start = startUnknown
                        ? ended.sentAt.plus(ofSeconds(ended.runnerLoad * waitPerLoad(ended.runner)))
                        : ended.startedAt == null ? ended.sentAt : ended.startedAt;
                double actual = seconds(max(now.minus(start), settings.roundInterval));
                WorkloadStats stat = stats.get(req.workload);
                if (req.runTimeHint == null) {  // capped: outliers distort the mean
                    stat.addRunTime(stat.sampleCount == 0 ? actual : Math.min(actual, 4 * stat.meanRunTime));
                }
                probing.recordRunTime(actual);
                if (!startUnknown) {
                    ended.runner.runTimeRatio.add(Math.min(actual,
                            4 * runTime(req) * ratio(now, ended.runner)), runTime(req), PRIOR_RUNS);
                    ended.runner.ratioUpdatedAt = now;
                }
                if (settings.warmth(now, ended.runner) >= 1) {
                    fleet.warmWorkDone.add(now, ended.work, timeConstant);
                }
                ended.runner.recordSuccess(req.workload);
                recordCompletion(now, req, seconds(now.minus(req.arrivedAt)) > targetSeconds(req));
                recordHealth(now, ended.runner, false);
            }
            case TURNED_AWAY -> ended.runner.recordRejection(now, ended, backoff);
            case ERROR, BROKEN, TIMED_OUT -> recordHealth(now, ended.runner, true);
            case NOT_CONNECTED -> {
                // While connections fail everywhere, this runner is not the cause: don't eject all runners.
                if (connects.count() - connects.lastBin() <= EJECT_SHARE * (connects.count() + PRIOR_RUNS)) {
                    recordHealth(now, ended.runner, true);
                    recordNoResponse(now, ended.runner);
                }
            }
        }
    }

    /** Counts a success or failure; a runner that fails often is ejected, with doubling trial intervals. */
    private void recordHealth(Duration now, Runner r, boolean failed) {
        r.failures.add(failed);
        boolean fails = r.failures.lastBin() >= 2 && r.failures.lastBin() > EJECT_SHARE * r.failures.count();
        boolean recovered = !failed && r.trialInterval != null
                && r.trialInterval.compareTo(backoff.dividedBy(8)) <= 0;
        if (recovered) { r.failures.clear(); }
        r.trialInterval = r.trialInterval == null ? fails ? backoff : null : recovered ? null : failed ?
                min(r.trialInterval.multipliedBy(2), backoff.multipliedBy(4)) : r.trialInterval.dividedBy(2);
        r.nextTrialAt = failed && r.trialInterval != null ? now.plus(r.trialInterval) : r.nextTrialAt;
    }

    private double work(Request req) {
        return req.slots * stats.get(req.workload).runTimeOrDefault();
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
        List.copyOf(changed).forEach(req -> applyActions(now, req));
        changed.clear();
    }

    private void applyActions(Duration now, Request req) {
        if (!req.closed && req.plannedResponse != null) {
            close(req);
            if (req.plannedResponse == Request.LocalResponse.SHED) {
                actions.shed(req, req.plannedRetryAfter);
            } else {
                actions.giveUp(req);
            }
        }
        for (Attempt attempt : req.attempts) {
            boolean needed = attempt == req.streamingAttempt
                    || req.streamingAttempt == null && !req.closed && !attempt.cancelPlanned;
            if (!needed && !attempt.cancelSent && attempt.outcome == null && settings.mayCancel) {
                attempt.cancelSent = true;
                actions.cancel(attempt);
            }
        }
        if (req.closed) { return; }
        if (req.plannedRunner != null && (settings.parallelAttempts || req.pendingAttempt() == null)) {
            Runner r = req.plannedRunner;
            req.plannedRunner = null;
            if (canSend(now, req, r)) {  // checked again: list, window or budget may have changed
                dispatch(now, req, r);
            } else {
                req.clearSearch();
                decide(now, req);
            }
        }
        if (req.plannedProbe != null) {
            req.probeTarget = req.plannedProbe;
            req.probeSentAt = now;
            req.plannedProbe = null;
            req.probeTarget.probeWaiters.add(req);
            actions.probe(req.probeTarget);
        }
        if (req.plannedCheckAt != null
                && (req.timerAt == null || req.plannedCheckAt.compareTo(req.timerAt) < 0)) {
            req.timerAt = req.plannedCheckAt;
            actions.setTimer(max(Duration.ZERO, req.plannedCheckAt.minus(now)), req);
        }
    }

    private void dispatch(Duration now, Request req, Runner r) {
        Attempt attempt = new Attempt(req, r, now, work(req), req.plannedLoad);
        if (settings.warmth(now, r) < 1) { r.coldAttempts.add(attempt); }
        if (r.hasIdleConnection(now, maxIdleTime(now))) {
            attempt.connectionIdleTime = r.connectionIdleTime(now);
            r.takeIdleConnection();
        } else if (r.hasIdleConnection(now, settings.idleTimeout)) {
            r.clearIdleConnections();
            actions.closeIdleConnections(r);
        }
        if (req.attempts.isEmpty()) { retryBudget.recordFirstAttempt(); }
        req.attempts.add(attempt);
        r.inFlight.add(attempt);
        r.contacted = true;
        r.nextTrialAt = r.trialInterval == null ? r.nextTrialAt : now.plus(r.trialInterval);
        req.recheckDelay = null;
        actions.dispatch(attempt, null);
        decide(now, req);
    }

    private Duration probeTimeout(Request req) {
        Duration quarter = req.workload.targetLatency.dividedBy(4);
        return probing.roundTrip == 0 ? quarter : min(quarter, fewRoundTrips());
    }

    private Duration fewRoundTrips() {
        return ofSeconds(3 * probing.roundTrip).plus(settings.roundInterval.multipliedBy(2));
    }

    private void checkAt(Request req, Duration time) {
        changed.add(req);
        req.plannedCheckAt = req.plannedCheckAt == null ? time : min(time, req.plannedCheckAt);
    }
}
