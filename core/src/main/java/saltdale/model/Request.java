package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's request, from its arrival to its final response, with the dispatcher's plans for it. */
public final class Request {
    /** Final responses that come from the dispatcher itself and not from a runner. */
    public enum LocalResponse {
        /** Rejected because of overload or failures; a retry is harmless. */
        SHED,
        /** Failed; the request may have run, and a retry may be harmful. */
        GIVEN_UP
    }

    public final Workload workload;
    public final Duration arrivedAt;
    /** When the client stops waiting for this try. */
    public final Duration deadline;
    /** The client's tenant; null if none. */
    public Tenant tenant;
    /** The run time at speed 1 according to the client; null if not given. */
    public Duration runTimeHint;

    /** The number of slots that it occupies on a runner. */
    public double slots = 1;

    public double memory;
    /** A hash of the data that it concerns, which runners may cache; 0 if not given. */
    public long affinityKey;
    /** True if the client marked it as a retry. */
    public boolean markedAsRetry;

    /** All attempts, in the order of sending. */
    public final List<Attempt> attempts = new ArrayList<>(2);
    /** The runners probed in the current search. */
    public final List<Runner> probedRunners = new ArrayList<>(4);

    /** The load found at each of {@link #probedRunners}. */
    public final List<Double> probedLoads = new ArrayList<>(4);
    /** The load found at each, plus the load equivalent of its zone and connection. */
    public final List<Double> probedCosts = new ArrayList<>(4);
    /** The runner whose answer to a probe is outstanding; null if none. */
    public Runner probeTarget;

    /** When that probe was sent. */
    public Duration probeSentAt;
    /** True once the final response has been sent, by a runner or by the dispatcher, or the client has gone. */
    public boolean closed;
    /** The attempt whose response is being streamed to the client; null if none. */
    public Attempt streamingAttempt;

    // Planned but not yet carried out: Dispatcher.applyActions compares these fields with the state above.
    /** The runner to probe next; null if none. */
    public Runner plannedProbe;

    /** The runner to send the next attempt to; null if none. */
    public Runner plannedRunner;

    /** The load found at {@link #plannedRunner}. */
    public double plannedLoad;

    /** The response to give; null if none. */
    public LocalResponse plannedResponse;

    /** The Retry-After of that response; null for none. */
    public Duration plannedRetryAfter;

    /** When the request is to be decided on again; null if not planned. */
    public Duration plannedCheckAt;

    /** When the earliest timer set for it fires; null if none is set. */
    public Duration timerAt;

    /** True for a search while an attempt is pending. */
    public boolean seekingAlternative;

    /** Additional time until a pending attempt is checked again; null before the first check. */
    public Duration recheckDelay;
    /** A random number from 0 to 1, drawn at its arrival and again after it was held. */
    public double randomDraw;

    public Request(Workload workload, Duration arrivedAt, Duration clientTimeout) {
        this.workload = workload;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(clientTimeout);
    }

    /** The first attempt that has not ended; null if there is none. */
    public Attempt pendingAttempt() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null) {
                return attempt;
            }
        }
        return null;
    }

    /** True once it has its final response and every attempt has ended. */
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

    /** True unless every attempt is known not to have run. */
    public boolean mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    /** Adds the result of a probe to the current search. */
    public void addProbeResult(Runner runner, double load, double extraLoad) {
        probedRunners.add(runner);
        probedLoads.add(load);
        probedCosts.add(load + extraLoad);
    }

    /** The lowest cost found in the current search; infinite before the first result. */
    public double lowestCost() {
        return probedCosts.stream().mapToDouble(cost -> cost).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** Discards the results of the current search. */
    public void clearSearch() {
        probedRunners.clear();
        probedLoads.clear();
        probedCosts.clear();
        plannedRunner = null;
        seekingAlternative = false;
    }

    /** How long the client waits for a response to this try. */
    public Duration clientTimeout() {
        return deadline.minus(arrivedAt);
    }
}
