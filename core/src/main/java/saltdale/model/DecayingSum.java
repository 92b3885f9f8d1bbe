package saltdale.model;

import java.time.Duration;

/** A sum that decays exponentially, to 1/e within each time constant. */
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

    /** The remaining fraction of a value from an earlier time. */
    public static double decayFactor(Duration now, Duration then, Duration timeConstant) {
        return Math.exp(-Durations.seconds(now.minus(then)) / Durations.seconds(timeConstant));
    }
}
