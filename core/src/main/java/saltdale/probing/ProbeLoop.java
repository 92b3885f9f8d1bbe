package saltdale.probing;

import static saltdale.probing.Payoff.*;

/** Smoothed measurements of answered probes, and the decision whether another probe pays off. */
public final class ProbeLoop {
    /** λ', the share of probed runners found busy, and L̄, their mean queue length. */
    public double observedLambda, meanQueue;
    /** Seconds, 0 until measured; CT is their quotient. */
    public double roundTrip, runTime;

    public void recordProbe(boolean idle, double queue, double roundTripSeconds) {
        roundTrip = smooth(roundTrip, roundTripSeconds);
        meanQueue = smooth(meanQueue, queue);
        observedLambda = smooth(observedLambda, idle ? 0 : 1);
    }

    public void recordRunTime(double runTimeSeconds) {
        runTime = smooth(runTime, runTimeSeconds);
    }

    /** CT + L̄·C; 0 until a job has completed. */
    public double cost() {
        return runTime == 0 ? 0 : roundTrip / runTime + meanQueue * C;
    }

    /** Whether the payoff B of another probe exceeds its cost, after this many found no idle runner. */
    public boolean worthAnother(int probed, double shortestQueue) {
        return probed < PROBE_CAP && payoff(shortestQueue, lambda(observedLambda, probed), probed) > cost();
    }
}
