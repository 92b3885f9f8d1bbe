package saltdale.probing;

import static saltdale.probing.Payoff.*;

/** The smoothed figures of the probes that were answered, and whether another one pays by them. */
public final class ProbeLoop {
    /** λ', the share of probed runners found busy, and L̄, the queue found at them. */
    public double lambdaSeen, meanQueue;
    /** In seconds; of the two comes CT, and both are 0 until seen. */
    public double roundTrip, runningTime;

    public void sawProbe(boolean idle, double queue, double roundTripSeconds) {
        roundTrip = smooth(roundTrip, roundTripSeconds);
        meanQueue = smooth(meanQueue, queue);
        lambdaSeen = smooth(lambdaSeen, idle ? 0 : 1);
    }

    public void ended(double runningTimeSeconds) {
        runningTime = smooth(runningTime, runningTimeSeconds);
    }

    /** CT + L̄·C; nothing until a job has ended. */
    public double cost() {
        return runningTime == 0 ? 0 : roundTrip / runningTime + meanQueue * C;
    }

    /** Whether the payoff B of another beats its cost, after so many probes that found no idle runner. */
    public boolean worthAnother(int probed, double shortestQueue) {
        return probed < PROBE_CAP && payoff(shortestQueue, lambda(lambdaSeen, probed), probed) > cost();
    }
}
