package saltdale.rig.plan;

import java.time.Duration;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ParetoDistribution;
import org.apache.commons.math3.distribution.RealDistribution;
import saltdale.model.Durations;

/** How sizes are spread: the running time of an assignment on one free core of speed 1, in seconds. */
public final class Size {
    /** The spreads that can be named. */
    public enum Kind {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        PARETO
    }

    private final Kind kind;
    private final double mean;
    private final RealDistribution spread;

    /** {@code cv}: standard deviation over mean, of lognormal and Pareto. */
    public Size(Kind kind, Duration mean, double cv) {
        this.kind = kind;
        this.mean = Durations.seconds(mean);
        double square = Math.log(1 + cv * cv);
        double tail = 1 + Math.sqrt(1 + 1 / (cv * cv)); // gives this cv
        spread = switch (kind) {
            case CONSTANT -> null;
            case EXPONENTIAL -> new ExponentialDistribution(null, this.mean);
            case LOGNORMAL -> new LogNormalDistribution(null, Math.log(this.mean) - square / 2, Math.sqrt(square));
            case PARETO -> new ParetoDistribution(null, this.mean * (tail - 1) / tail, tail);
        };
    }

    static Size read(Sheet sheet) {
        Kind kind = sheet.word("kind", Kind.LOGNORMAL);
        Duration mean = sheet.span("mean", Duration.ofMillis(40));
        if (mean.isZero()) {
            throw sheet.wrong("mean", "a span over 0");
        }
        return new Size(kind, mean, sheet.number("cv", 0.8, 0.01, 20));
    }

    public double mean() {
        return mean;
    }

    public double draw(SplittableRandom chance) {
        return kind == Kind.CONSTANT ? mean : spread.inverseCumulativeProbability(chance.nextDouble());
    }
}
