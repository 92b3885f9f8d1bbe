package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import saltdale.model.LoadReport;

/** What each runner held over time, beside what it had last told anybody of it. */
public final class Watch {
    /**
     * @param held assignments in work and waiting
     * @param told the same by its last report; NaN before the first
     */
    public record Sample(Duration at, int held, double told, boolean up) {}

    private final List<List<Sample>> samples = new ArrayList<>();
    private final double[] told;

    public Watch(int runners) {
        told = new double[runners];
        for (int i = 0; i < runners; i++) {
            samples.add(new ArrayList<>());
            told[i] = Double.NaN;
        }
    }

    public void told(int runner, LoadReport report) {
        told[runner] = report.inFlight();
    }

    public void sample(Duration at, int runner, int held, boolean up) {
        samples.get(runner).add(new Sample(at, held, told[runner], up));
    }

    public List<List<Sample>> samples() {
        return samples;
    }
}
