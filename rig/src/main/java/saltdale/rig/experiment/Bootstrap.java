package saltdale.rig.experiment;

import java.util.Arrays;
import java.util.SplittableRandom;

/** The mean of paired differences with its 95% interval, by drawing the pairs anew many times. */
public record Bootstrap(double mean, double low, double high) {
    private static final int RESAMPLES = 4000;

    /** Pair by pair; the seed keeps the interval the same for the same figures. */
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
