package saltdale.rig.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.rig.judge.Violation;
import saltdale.rig.load.Tally;
import saltdale.rig.load.Watch;

/**
 * What one run gave.
 *
 * @param figures by name; times in ms
 * @param isVoid why it does not count; null where it does
 */
public record Outcome(
        String version,
        String point,
        int repeat,
        Map<String, Double> figures,
        List<Violation> breaches,
        String isVoid,
        Tally tally,
        Watch watch) {
    static Map<String, Double> figures(Tally tally, long broken, long asked, long answered, long dispatches) {
        Map<String, Double> all = new LinkedHashMap<>(tally.figures());
        all.put("rules_broken", (double) broken);
        all.put("requests", (double) asked);
        all.put("requests_answered", (double) answered);
        all.put("dispatches_per_request", dispatches / (double) Math.max(1, asked));
        return all;
    }
}
