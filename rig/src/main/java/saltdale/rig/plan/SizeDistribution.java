package saltdale.rig.plan;

import java.time.Duration;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.distribution.ParetoDistribution;
import org.apache.commons.math3.distribution.RealDistribution;
import saltdale.model.Durations;

/** Distribution of the size of assignments: the running time on one idle core of speed 1, in seconds. */
public final class SizeDistribution {
    /** The distributions that a plan can name. */
    public enum Kind {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        PARETO
    }

    private final Kind kind;
    private final double mean;
    private final RealDistribution distribution;

    /** {@code cv} is the coefficient of variation; only the lognormal and Pareto distributions use it. */
    public SizeDistribution(Kind kind, Duration mean, double cv) {
        this.kind = kind;
        this.mean = Durations.seconds(mean);
        double logVariance = Math.log(1 + cv * cv);
        double shape = 1 + Math.sqrt(1 + 1 / (cv * cv)); // the Pareto shape that has this coefficient of variation
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
            throw table.invalid("mean", "a duration over 0");
        }
        return new SizeDistribution(kind, mean, table.number("cv", 0.8, 0.01, 20));
    }

    /** The mean size in seconds. */
    public double mean() {
        return mean;
    }

    /** Draws a size in seconds. */
    public double sample(SplittableRandom random) {
        return kind == Kind.CONSTANT ? mean : distribution.inverseCumulativeProbability(random.nextDouble());
    }
}
