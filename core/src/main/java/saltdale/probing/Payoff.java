package saltdale.probing;

/** The formulas of the design in its notation: what another probe is expected to save. Stateless. */
public final class Payoff {
    public static final double C = 0.003;
    public static final double ALPHA = 0.9;
    public static final int PROBE_CAP = 4;
    public static final double MAX_LAMBDA = 0.999;

    private Payoff() {}

    /** λ = λ'/(1 − 2C·d) after d probes, kept below 1. */
    public static double lambda(double observed, int d) {
        return 2 * C * d >= 1 ? MAX_LAMBDA : Math.min(MAX_LAMBDA, observed / (1 - 2 * C * d));
    }

    /** B = Σ (Qmin − i)·p(i), with p(i) = s(i) − s(i+1). */
    public static double payoff(double qMin, double lambda, int d) {
        double b = 0;
        for (int i = 0; i <= qMin && qMin < Double.POSITIVE_INFINITY; i++) {
            b += (qMin - i) * (s(i, lambda, d) - s(i + 1, lambda, d));
        }
        return qMin < Double.POSITIVE_INFINITY ? b : qMin;
    }

    /** s(i): the share of runners with at least i jobs, with d probes per job at utilisation λ. */
    public static double s(int i, double lambda, int d) {
        return Math.pow(lambda, d == 1 ? i : (Math.pow(d, i) - 1) / (d - 1));
    }

    /** Exponential smoothing with weight ALPHA on the old value. */
    public static double smooth(double old, double sample) {
        return ALPHA * old + (1 - ALPHA) * sample;
    }
}
