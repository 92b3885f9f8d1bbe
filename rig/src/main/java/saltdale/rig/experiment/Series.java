package saltdale.rig.experiment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import saltdale.rig.load.RequestStatistics;
import saltdale.rig.load.RunnerLoadHistory;

/** Writes the time series of a run into the results file, for the report. */
final class Series {
    /** The latency percentiles that are written for each second; 100 is the maximum. */
    private static final double[] PERCENTILES = {50, 90, 99, 100};

    private Series() {}

    static void write(ObjectNode to, RunResult o) {
        List<RequestStatistics.Second> seconds = o.statistics().seconds();
        for (double percentile : PERCENTILES) {
            ArrayNode line = to.withObject("/latency_ms").putArray(percentile == 100 ? "most" : "p" + (int) percentile);
            for (int i = 0; i < seconds.size(); i++) {
                if (seconds.get(i).latency.getTotalCount() > 0) {
                    line.addArray().add(i).add(seconds.get(i).latency.getValueAtPercentile(percentile) / 1e3);
                }
            }
        }
        for (int i = 0; i < seconds.size(); i++) {
            int second = i;
            seconds.get(i)
                    .byWorkload
                    .forEach((workload, of) -> to.withObject("/service")
                            .withArray(workload)
                            .addArray()
                            .add(second)
                            .add((double) of[1] / Math.max(1, of[0])));
        }
        ArrayNode runners = to.putArray("runners");
        for (List<RunnerLoadHistory.Sample> samples : o.loadHistory().samples()) {
            ArrayNode line = runners.addArray();
            for (RunnerLoadHistory.Sample each : samples) {
                line.addArray()
                        .add(each.at().minus(samples.get(0).at()).toNanos() / 1e9)
                        .add(each.inFlight())
                        .add(Double.isNaN(each.reported()) ? -1 : each.reported());
            }
        }
    }
}
