package saltdale.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** A worker machine: what the list says of it, and what this dispatcher has seen. */
public final class Runner {
    /** Whether the runner takes requests, as the list says. */
    public enum Mode {
        READY,
        DRAINING,
        GONE
    }

    /** Until when a workload is kept from it, and for how long that was. */
    record Backoff(Duration until, Duration delay) {}

    /** A hash of its name, alike at all dispatchers. */
    public long hash;

    // From the list.
    public String machineType = "";
    /** What is known of its kind; set when a list first tells of it. */
    public MachineTypeStats typeStats = new MachineTypeStats(null);

    public String zone = "";
    public double weight = 1;
    /** Gone until a list names it; what the dispatcher has forgotten is gone as well. */
    public Mode mode = Mode.GONE;

    public int cell;
    /** Null: long ago. */
    public Duration startedAt;

    // Seen by this dispatcher.
    public final Set<Attempt> inFlight = new LinkedHashSet<>();
    public final Deque<Request> probeWaiters = new ArrayDeque<>();
    public LoadReport report = LoadReport.NONE;
    /** It has been sent to or has answered a probe. */
    public boolean contacted;
    /** Whether its recent dispatches failed. */
    public final Histogram failures = Histogram.ofBooleans(16);
    /** How long our assignments ran on it beside what was expected, and when the last of them ended. */
    public final RunTimeRatio runTimeRatio = new RunTimeRatio(16, null);

    public Duration ratioUpdatedAt = Duration.ZERO;
    /** When a probe last found it busy; null once it was idle or ended a dispatch of ours. */
    public Duration foundBusyAt;
    /** The workloads that it turned away while it was all but idle. */
    public final Map<Workload, Backoff> rejections = new HashMap<>();
    /** The gap of the trickle to a runner set aside; null for a runner in good standing. */
    public Duration trialInterval;

    public Duration nextTrialAt = Duration.ZERO;
    /** Since it last was silent: until when it is passed over, and for how long that was; null once it is heard. */
    private Backoff noResponse;
    /** What was sent to it while it was cold. */
    public final Deque<Attempt> coldAttempts = new ArrayDeque<>();

    /** When each of our connections to it that rest, for all we know, was last used. */
    private final Deque<Duration> idleConnections = new ArrayDeque<>();

    /** For how long the connection that was used last has rested; null where none rests. */
    public Duration connectionIdleTime(Duration now) {
        return idleConnections.isEmpty() ? null : now.minus(idleConnections.peekLast());
    }

    /** Whether a connection of ours has rested for less than this, so that a dispatch need not open one. */
    public boolean hasIdleConnection(Duration now, Duration maxIdleTime) {
        return !idleConnections.isEmpty() && connectionIdleTime(now).compareTo(maxIdleTime) < 0;
    }

    /** A dispatch takes the connection that was used last. */
    public void takeIdleConnection() {
        idleConnections.pollLast();
    }

    /** All that rest are closed, or taken to be. */
    public void clearIdleConnections() {
        idleConnections.clear();
    }

    /** The connection of a dispatch rests again. */
    public void addIdleConnection(Duration now, Duration idleTimeout) {
        while (!idleConnections.isEmpty()
                && Durations.reached(now, idleConnections.peekFirst().plus(idleTimeout))) {
            idleConnections.pollFirst();
        }
        idleConnections.addLast(now);
    }

    /** Takes over what the list says; a fresh process has no record. */
    public void update(RunnerListEntry entry, MachineTypeStats stats) {
        if (entry.mode() == Mode.GONE) {
            mode = Mode.GONE; // guards against entries that tell no more than this: its zone and cell still count
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

    /** Whether any of these may run on it. */
    public boolean acceptsAny(Workload[] workloads) {
        for (Workload w : workloads) {
            if (w.mayRunOn(this)) {
                return true;
            }
        }
        return false;
    }

    /**
     * It turned this dispatch away: so it is full at that load or, all but idle, takes no such workload for now.
     * That is
     * tried again after the spell, then after gaps that double, up to four spells.
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

    /** Whether it turned away this workload, all but idle, so short a time ago that it need not be tried again. */
    public boolean isRejecting(Duration now, Workload workload) {
        Backoff rejection = rejections.get(workload);
        return rejection != null && !Durations.reached(now, rejection.until);
    }

    /** It has not answered in time, or no way led to it: passed over for the spell, then for gaps that double. */
    public void recordNoResponse(Duration now, Duration unit) {
        if (noResponse == null || Durations.reached(now, noResponse.until)) {
            Duration delay =
                    noResponse == null ? unit : Durations.min(noResponse.delay.multipliedBy(2), unit.multipliedBy(4));
            noResponse = new Backoff(now.plus(delay), delay);
        }
    }

    /** It has ended an assignment of this workload. */
    public void recordSuccess(Workload workload) {
        rejections.remove(workload);
        foundBusyAt = null;
        recordResponse();
    }

    public void recordResponse() {
        noResponse = null;
    }

    /** Whether it was silent so short a time ago that it need not be asked again. */
    public boolean isUnresponsive(Duration now) {
        return noResponse != null && !Durations.reached(now, noResponse.until);
    }

    /** Whether the last that was asked of it went unanswered. */
    public boolean hasNotResponded() {
        return noResponse != null;
    }

    /** How many of our dispatches it has not said to have begun. */
    public long notStartedCount() {
        return notStarted().count();
    }

    /** The slots of our dispatches that it has not said to have begun. */
    public double notStartedSlots() {
        return notStarted().mapToDouble(d -> d.request.slots).sum();
    }

    /** Whether something of ours that was sent before then has not been said to have begun. */
    public boolean hasNotStartedSince(Duration time) {
        return notStarted().anyMatch(d -> d.sentAt.compareTo(time) < 0);
    }

    private Stream<Attempt> notStarted() {
        return inFlight.stream().filter(d -> d.startedAt == null);
    }

    /** The work sent to it while cold since then; what is older is dropped. */
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
