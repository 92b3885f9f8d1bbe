package saltdale.model;

import java.time.Duration;

/** A sum whose older parts fade, by 1/e for each span of memory. */
public final class Fading {
    private double sum;
    private Duration at = Duration.ZERO;

    public void add(Duration now, double more, Duration memory) {
        sum = at(now, memory) + more;
        at = now;
    }

    public double at(Duration now, Duration memory) {
        return sum * part(now, at, memory);
    }

    /** What is left by now of what was then. */
    public static double part(Duration now, Duration then, Duration memory) {
        return Math.exp(-Spans.secs(now.minus(then)) / Spans.secs(memory));
    }
}
