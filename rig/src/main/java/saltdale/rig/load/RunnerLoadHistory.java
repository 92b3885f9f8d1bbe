package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import saltdale.model.LoadReport;

/** What each runner held over time, beside what it had last told anybody of it. */
public final class RunnerLoadHistory {
    /**
     * @param held assignments in work and waiting
     * @param told the same by its last report; NaN before the first
     */
    public record Sample(Duration at, int inFlight, double reported, boolean up) {}

    private final List<List<Sample>> samples = new ArrayList<>();
    private final double[] reported;

    public RunnerLoadHistory(int runners) {
        reported = new double[runners];
        for (int i = 0; i < runners; i++) {
            samples.add(new ArrayList<>());
            reported[i] = Double.NaN;
        }
    }

    public void recordReport(int runner, LoadReport report) {
        reported[runner] = report.inFlight();
    }

    public void sample(Duration at, int runner, int inFlight, boolean up) {
        samples.get(runner).add(new Sample(at, inFlight, reported[runner], up));
    }

    public List<List<Sample>> samples() {
        return samples;
    }
}
