package saltdale.rig.plan;

import java.time.Duration;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ParetoDistribution;
import org.apache.commons.math3.distribution.RealDistribution;
import saltdale.model.Durations;

/** How sizes are spread: the running time of an assignment on one free core of speed 1, in seconds. */
public final class SizeDistribution {
    /** The spreads that can be named. */
    public enum Kind {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        PARETO
    }

    private final Kind kind;
    private final double mean;
    private final RealDistribution distribution;

    /** {@code cv}: standard deviation over mean, of lognormal and Pareto. */
    public SizeDistribution(Kind kind, Duration mean, double cv) {
        this.kind = kind;
        this.mean = Durations.seconds(mean);
        double logVariance = Math.log(1 + cv * cv);
        double shape = 1 + Math.sqrt(1 + 1 / (cv * cv)); // gives this cv
        distribution = switch (kind) {
            case CONSTANT -> null;
            case EXPONENTIAL -> new ExponentialDistribution(null, this.mean);
            case LOGNORMAL ->
                new LogNormalDistribution(null, Math.log(this.mean) - logVariance / 2, Math.sqrt(logVariance));
            case PARETO -> new ParetoDistribution(null, this.mean * (shape - 1) / shape, shape);
        };
    }

    static SizeDistribution read(TomlTable table) {
        Kind kind = table.enumValue("kind", Kind.LOGNORMAL);
        Duration mean = table.duration("mean", Duration.ofMillis(40));
        if (mean.isZero()) {
            throw table.invalid("mean", "a span over 0");
        }
        return new SizeDistribution(kind, mean, table.number("cv", 0.8, 0.01, 20));
    }

    public double mean() {
        return mean;
    }

    public double sample(SplittableRandom random) {
        return kind == Kind.CONSTANT ? mean : distribution.inverseCumulativeProbability(random.nextDouble());
    }
}
