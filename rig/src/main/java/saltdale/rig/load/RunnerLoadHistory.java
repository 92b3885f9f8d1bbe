package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import saltdale.model.LoadReport;

/** The load of each runner over time, with the load that it last reported. */
public final class RunnerLoadHistory {
    /**
     * @param at when the sample was taken
     * @param inFlight number of running and waiting assignments
     * @param reported the same number by the last load report; NaN before the first one
     * @param up whether the runner was up
     */
    public record Sample(Duration at, int inFlight, double reported, boolean up) {}

    private final List<List<Sample>> samples = new ArrayList<>();
    private final double[] lastReported;

    public RunnerLoadHistory(int runners) {
        lastReported = new double[runners];
        for (int i = 0; i < runners; i++) {
            samples.add(new ArrayList<>());
            lastReported[i] = Double.NaN;
        }
    }

    /** Records the latest load report of a runner. */
    public void recordReport(int runner, LoadReport report) {
        lastReported[runner] = report.inFlight();
    }

    /** Adds a sample of the actual load of a runner. */
    public void sample(Duration at, int runner, int inFlight, boolean up) {
        samples.get(runner).add(new Sample(at, inFlight, lastReported[runner], up));
    }

    /** The samples of each runner, by its index. */
    public List<List<Sample>> samples() {
        return samples;
    }
}
