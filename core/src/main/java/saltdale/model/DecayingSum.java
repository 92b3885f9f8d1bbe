package saltdale.model;

import java.time.Duration;

/** A sum whose older parts fade, by 1/e for each span of memory. */
public final class DecayingSum {
    private double sum;
    private Duration updatedAt = Duration.ZERO;

    public void add(Duration now, double amount, Duration timeConstant) {
        sum = valueAt(now, timeConstant) + amount;
        updatedAt = now;
    }

    public double valueAt(Duration now, Duration timeConstant) {
        return sum * decayFactor(now, updatedAt, timeConstant);
    }

    /** What is left by now of what was then. */
    public static double decayFactor(Duration now, Duration then, Duration timeConstant) {
        return Math.exp(-Durations.seconds(now.minus(then)) / Durations.seconds(timeConstant));
    }
}
