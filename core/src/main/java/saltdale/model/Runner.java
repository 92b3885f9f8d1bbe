package saltdale.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** A worker machine that executes requests: its entry in the runner list and this dispatcher's observations. */
public final class Runner {
    /** Whether the runner accepts requests according to the list. */
    public enum Mode {
        READY,
        DRAINING,
        GONE
    }

    /** The end and the length of a period in which the runner is avoided. */
    record Backoff(Duration until, Duration delay) {}

    /** A hash of its name, equal at all dispatchers. */
    public long hash;

    // From the runner list.
    public String machineType = "";
    /** Statistics of its machine type; set by its first list entry. */
    public MachineTypeStats typeStats = new MachineTypeStats(null);

    public String zone = "";
    /** Its weight in the list. */
    public double weight = 1;

    /** GONE until a list contains it, and again once the dispatcher has removed it. */
    public Mode mode = Mode.GONE;

    public int cell;
    /** When its process started; null if long ago. */
    public Duration startedAt;

    // Observed by this dispatcher.
    /** The pending attempts of this dispatcher. */
    public final Set<Attempt> inFlight = new LinkedHashSet<>();
    /** The requests that wait for an answer to a probe, in the order of the probes. */
    public final Deque<Request> probeWaiters = new ArrayDeque<>();

    /** Its most recent load report. */
    public LoadReport report = LoadReport.NONE;
    /** True once it was sent an attempt or answered a probe. */
    public boolean contacted;
    /** Failures among its recent attempts. */
    public final Histogram failures = Histogram.ofBooleans(16);
    /** Actual relative to expected run time of this dispatcher's requests. */
    public final RunTimeRatio runTimeRatio = new RunTimeRatio(16, null);

    /** When a request last contributed to the ratio. */
    public Duration ratioUpdatedAt = Duration.ZERO;
    /** When a probe last found it busy; null once it was idle or completed an attempt. */
    public Duration foundBusyAt;
    /** The workloads that it rejected while nearly idle. */
    public final Map<Workload, Backoff> rejections = new HashMap<>();
    /** The interval of trial attempts to a runner that is ejected for its failures; null if not ejected. */
    public Duration trialInterval;

    /** When the next trial attempt may be sent. */
    public Duration nextTrialAt = Duration.ZERO;
    /** The period in which it is avoided for not responding; null once it has responded. */
    private Backoff noResponse;
    /** The attempts sent while it was cold. */
    public final Deque<Attempt> coldAttempts = new ArrayDeque<>();

    /** The time of last use of each presumably idle connection to it. */
    private final Deque<Duration> idleConnections = new ArrayDeque<>();

    /** How long the most recently used connection has been idle; null if none is. */
    public Duration connectionIdleTime(Duration now) {
        return idleConnections.isEmpty() ? null : now.minus(idleConnections.peekLast());
    }

    /** Whether a connection has been idle for less than this, so that an attempt needs no new one. */
    public boolean hasIdleConnection(Duration now, Duration maxIdleTime) {
        return !idleConnections.isEmpty() && connectionIdleTime(now).compareTo(maxIdleTime) < 0;
    }

    /** An attempt uses the most recently used connection. */
    public void takeIdleConnection() {
        idleConnections.pollLast();
    }

    /** All idle connections are closed or presumed closed. */
    public void clearIdleConnections() {
        idleConnections.clear();
    }

    /** The connection of an attempt has become idle. */
    public void addIdleConnection(Duration now, Duration idleTimeout) {
        while (!idleConnections.isEmpty()
                && Durations.reached(now, idleConnections.peekFirst().plus(idleTimeout))) {
            idleConnections.pollFirst();
        }
        idleConnections.addLast(now);
    }

    /** Applies a list entry; a restarted process starts without history. */
    public void update(RunnerListEntry entry, MachineTypeStats stats) {
        if (entry.mode() == Mode.GONE) {
            mode = Mode.GONE; // such an entry may carry nothing else: zone and cell stay valid
            return;
        }
        if (entry.startedAt() != null && !entry.startedAt().equals(startedAt)) {
            failures.clear();
            runTimeRatio.clear();
            trialInterval = null;
            rejections.clear();
            noResponse = null;
            idleConnections.clear();
        }
        typeStats = stats;
        typeStats.maxWeight = Math.max(typeStats.maxWeight, entry.weight());
        runTimeRatio.group = typeStats.runTimeRatio;
        machineType = entry.machineType();
        zone = entry.zone();
        weight = entry.weight();
        cell = entry.cell();
        startedAt = entry.startedAt();
        mode = entry.mode();
    }

    public boolean isReady() {
        return mode == Mode.READY;
    }

    /** Whether any of these workloads may run on it. */
    public boolean acceptsAny(Workload[] workloads) {
        for (Workload w : workloads) {
            if (w.mayRunOn(this)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records that it rejected an attempt. At a load of 1 or more it is full; when nearly idle it accepts no such
     * workload for now, which is tried again after one unit, then after doubling delays of up to four units.
     */
    public void recordRejection(Duration now, Attempt attempt, Duration unit) {
        if (attempt.runnerLoad >= 1) {
            return;
        }
        rejections.merge(attempt.request.workload, new Backoff(now.plus(unit), unit), (old, added) -> {
            Duration delay = Durations.min(old.delay.multipliedBy(2), unit.multipliedBy(4));
            return Durations.reached(now, old.until) ? new Backoff(now.plus(delay), delay) : old;
        });
    }

    /** Whether it recently rejected this workload while nearly idle and should not be tried yet. */
    public boolean isRejecting(Duration now, Workload workload) {
        Backoff rejection = rejections.get(workload);
        return rejection != null && !Durations.reached(now, rejection.until);
    }

    /** Records a missing response or an unreachable runner: avoided for one unit, then for doubling delays. */
    public void recordNoResponse(Duration now, Duration unit) {
        if (noResponse == null || Durations.reached(now, noResponse.until)) {
            Duration delay =
                    noResponse == null ? unit : Durations.min(noResponse.delay.multipliedBy(2), unit.multipliedBy(4));
            noResponse = new Backoff(now.plus(delay), delay);
        }
    }

    /** Records that it completed a request of this workload. */
    public void recordSuccess(Workload workload) {
        rejections.remove(workload);
        foundBusyAt = null;
        recordResponse();
    }

    /** Records any response: it is not avoided any more. */
    public void recordResponse() {
        noResponse = null;
    }

    /** Whether it recently failed to respond and should not be contacted yet. */
    public boolean isUnresponsive(Duration now) {
        return noResponse != null && !Durations.reached(now, noResponse.until);
    }

    /** Whether it has not responded since a missing response was recorded. */
    public boolean hasNotResponded() {
        return noResponse != null;
    }

    /** The number of pending attempts without a reported start. */
    public long notStartedCount() {
        return notStarted().count();
    }

    /** The slots of pending attempts without a reported start. */
    public double notStartedSlots() {
        return notStarted().mapToDouble(a -> a.request.slots).sum();
    }

    /** Whether an attempt sent before this time has no reported start. */
    public boolean hasNotStartedSince(Duration time) {
        return notStarted().anyMatch(a -> a.sentAt.compareTo(time) < 0);
    }

    private Stream<Attempt> notStarted() {
        return inFlight.stream().filter(a -> a.startedAt == null);
    }

    /** The work sent to it while cold since this time; older attempts are forgotten. */
    public double coldWork(Duration since) {
        while (!coldAttempts.isEmpty() && coldAttempts.peek().sentAt.compareTo(since) <= 0) {
            coldAttempts.poll();
        }
        double work = 0;
        for (Attempt attempt : coldAttempts) {
            work += attempt.work;
        }
        return work;
    }
}
