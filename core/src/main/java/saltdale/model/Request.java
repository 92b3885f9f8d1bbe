package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's request, from its arrival to its final answer. */
public final class Request {
    /** The final answers that a dispatcher can give itself. */
    public enum LocalResponse {
        SHED,
        GIVEN_UP
    }

    public final Workload workload;
    public final Duration arrivedAt;
    /** When the client's patience with this try ends. */
    public final Duration deadline;
    /** The client's tenant; null where there are none. */
    public Tenant tenant;
    /** The hinted running time at speed 1; null where there is none. */
    public Duration runTimeHint;

    public double slots = 1;
    public double memory;
    /** What it concerns, as a hash: runners may keep what such work needs. 0 where it is not told. */
    public long affinityKey;
    /** True for a client's repeat, where clients mark them. */
    public boolean markedAsRetry;

    public final List<Attempt> attempts = new ArrayList<>(2);
    /** The runners probed in the present search, and the load found at each. */
    public final List<Runner> probedRunners = new ArrayList<>(4);

    public final List<Double> probedLoads = new ArrayList<>(4);
    /** The loads, each with what a crossing to that runner's zone counts as. */
    public final List<Double> probedCosts = new ArrayList<>(4);
    /** The runner whose probe is awaited, and since when. */
    public Runner probeTarget;

    public Duration probeSentAt;
    /** True once the final answer is out, whoever gave it. */
    public boolean closed;
    /** The dispatch whose answer has begun to stream and so belongs to the client; null while none has. */
    public Attempt streamingAttempt;

    // What is wanted and not yet done; the dispatcher's settle() compares it with the above.
    public Runner plannedProbe;
    public Runner plannedRunner;
    public double plannedLoad;
    public LocalResponse plannedResponse;
    public Duration plannedRetryAfter;
    public Duration plannedCheckAt;
    public Duration timerAt;
    /** A search made beside a dispatch that is out. */
    public boolean seekingAlternative;

    public Duration recheckDelay;
    /** Drawn between 0 and 1 at its arrival, and anew when it has been held. */
    public double randomDraw;

    public Request(Workload workload, Duration arrivedAt, Duration clientTimeout) {
        this.workload = workload;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(clientTimeout);
    }

    /** The first dispatch that is still out; null where none is. */
    public Attempt pendingAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null) {
                return attempt;
            }
        }
        return null;
    }

    /** True once its answer is out and so is the outcome of each dispatch. */
    public boolean isFinished() {
        return closed && pendingAttempt() == null;
    }

    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    public boolean wasSentTo(Runner runner) {
        for (Attempt attempt : attempts) {
            if (attempt.runner == runner) {
                return true;
            }
        }
        return false;
    }

    /** True where some dispatch may have run, for all that is known. */
    public boolean mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    public void addProbeResult(Runner runner, double load, double extraLoad) {
        probedRunners.add(runner);
        probedLoads.add(load);
        probedCosts.add(load + extraLoad);
    }

    /** The least cost found in the present search; infinite where nothing has been. */
    public double lowestCost() {
        return probedCosts.stream().mapToDouble(cost -> cost).min().orElse(Double.POSITIVE_INFINITY);
    }

    public void clearSearch() {
        probedRunners.clear();
        probedLoads.clear();
        probedCosts.clear();
        plannedRunner = null;
        seekingAlternative = false;
    }

    /** The client's patience with this try. */
    public Duration clientTimeout() {
        return deadline.minus(arrivedAt);
    }
}
