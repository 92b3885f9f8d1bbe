package saltdale.rig.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.rig.judge.Violation;
import saltdale.rig.load.RequestStatistics;
import saltdale.rig.load.RunnerLoadHistory;

/**
 * The result of one run.
 *
 * @param version name of the dispatcher build
 * @param point the values of the swept parameters
 * @param repeat index of the repetition
 * @param figures by name; times in milliseconds
 * @param violations the violations of the rules that the judge checks
 * @param voidReason why the run is void; null if it is valid
 */
public record RunResult(
        String version,
        String point,
        int repeat,
        Map<String, Double> figures,
        List<Violation> violations,
        String voidReason,
        RequestStatistics statistics,
        RunnerLoadHistory loadHistory) {
    /** The figures that a run on sockets and a simulation have in common. */
    static Map<String, Double> figures(
            RequestStatistics statistics, long violations, long requests, long answered, long dispatches) {
        Map<String, Double> all = new LinkedHashMap<>(statistics.figures());
        all.put("rules_broken", (double) violations);
        all.put("requests", (double) requests);
        all.put("requests_answered", (double) answered);
        all.put("dispatches_per_request", dispatches / (double) Math.max(1, requests));
        return all;
    }
}
