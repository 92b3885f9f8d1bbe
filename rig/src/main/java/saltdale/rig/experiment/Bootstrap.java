package saltdale.rig.experiment;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The mean of paired differences with its 95% bootstrap confidence interval.
 *
 * @param low lower bound of the interval
 * @param high upper bound of the interval
 */
public record Bootstrap(double mean, double low, double high) {
    private static final int RESAMPLES = 4000;

    /** Resamples the differences; the seed makes the interval reproducible. */
    public static Bootstrap of(double[] differences, long seed) {
        double mean = Arrays.stream(differences).average().orElse(0);
        SplittableRandom random = new SplittableRandom(seed);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int k = 0; k < differences.length; k++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[i] = sum / differences.length;
        }
        Arrays.sort(means);
        return new Bootstrap(mean, means[(int) (RESAMPLES * 0.025)], means[(int) (RESAMPLES * 0.975)]);
    }
}
