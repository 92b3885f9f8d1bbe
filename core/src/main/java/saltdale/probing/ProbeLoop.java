package saltdale.probing;

import static saltdale.probing.Payoff.*;

/** The smoothed figures of the probes that were answered, and whether another one pays by them. */
public final class ProbeLoop {
    /** λ', the share of probed runners found busy, and L̄, the queue found at them. */
    public double observedLambda, meanQueue;
    /** In seconds; of the two comes CT, and both are 0 until seen. */
    public double roundTrip, runTime;

    public void recordProbe(boolean idle, double queue, double roundTripSeconds) {
        roundTrip = smooth(roundTrip, roundTripSeconds);
        meanQueue = smooth(meanQueue, queue);
        observedLambda = smooth(observedLambda, idle ? 0 : 1);
    }

    public void recordRunTime(double runTimeSeconds) {
        runTime = smooth(runTime, runTimeSeconds);
    }

    /** CT + L̄·C; nothing until a job has ended. */
    public double cost() {
        return runTime == 0 ? 0 : roundTrip / runTime + meanQueue * C;
    }

    /** Whether the payoff B of another beats its cost, after so many probes that found no idle runner. */
    public boolean worthAnother(int probed, double shortestQueue) {
        return probed < PROBE_CAP && payoff(shortestQueue, lambda(observedLambda, probed), probed) > cost();
    }
}
