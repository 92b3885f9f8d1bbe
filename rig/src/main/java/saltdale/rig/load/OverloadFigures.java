package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.rig.plan.Peak;
import saltdale.rig.plan.Scenario;

/**
 * Figures on the effects of an overload: the service compared with the attainable one, the recovery after the end of
 * the cause, and the balance among dispatchers.
 */
public final class OverloadFigures {
    private static final double RECOVERED_SHARE = 0.98; // of the service before the peak
    private static final int RECOVERY_WINDOW_SECONDS = 5; // shorter windows hold too few requests

    private OverloadFigures() {}

    /** The figures by the names that expectations and reports use. */
    public static Map<String, Double> figures(Scenario scenario, RequestStatistics statistics, ShedSpread shedSpread) {
        Map<String, Double> all = new LinkedHashMap<>();
        double attainable = attainableShare(
                statistics,
                scenario.capacity() * scenario.length.minus(scenario.warmUp).toNanos() / 1e9);
        all.put("could_be_had", attainable);
        all.put("of_could_be_had", statistics.service() / attainable);
        all.put("shed_spread", shedSpread.ratio());
        Peak peak = scenario.traffic.peak();
        if (peak != null) {
            List<RequestStatistics.Second> seconds = statistics.seconds();
            double before = serviceBetween(seconds, seconds(scenario.warmUp), seconds(peak.at()));
            int end = seconds(peak.end());
            int causeEnd =
                    scenario.troubles.stream().mapToInt(t -> seconds(t.end())).reduce(end, Math::max);
            int last = Math.min(seconds.size(), seconds(scenario.length));
            all.put("before_peak", before);
            all.put("in_peak", serviceBetween(seconds, seconds(peak.at()), end));
            all.put("after_5s", serviceBetween(seconds, Math.min(causeEnd + 5, last), Math.min(causeEnd + 10, last)));
            all.put("after_10s", serviceBetween(seconds, Math.min(causeEnd + 10, last), Math.min(causeEnd + 20, last)));
            all.put("back_after_s", recoverySeconds(seconds, causeEnd, last, RECOVERED_SHARE * before));
        }
        return all;
    }

    /**
     * The share of the offered importance that would be served if the work with the most importance per second ran
     * first and no capacity was lost.
     */
    static double attainableShare(RequestStatistics statistics, double workCapacity) {
        List<RequestStatistics.Row> rows = new ArrayList<>();
        Map<RequestStatistics.Row, Double> importance = new LinkedHashMap<>();
        statistics.rows().forEach((workload, row) -> {
            rows.add(row);
            importance.put(row, workload.importance);
        });
        rows.sort((a, b) ->
                Double.compare(importance.get(b) * b.offered / b.work, importance.get(a) * a.offered / a.work));
        double remaining = workCapacity;
        double attainable = 0;
        double offered = 0;
        for (RequestStatistics.Row row : rows) {
            double rowImportance = importance.get(row) * row.offered;
            offered += rowImportance;
            attainable += row.work <= 0 ? rowImportance : rowImportance * Math.min(1, remaining / row.work);
            remaining = Math.max(0, remaining - row.work);
        }
        return offered == 0 ? 1 : attainable / offered;
    }

    private static int seconds(Duration span) {
        return (int) Math.ceil(span.toNanos() / 1e9);
    }

    /** Service of the requests due from one second until before another; NaN if none were offered. */
    private static double serviceBetween(List<RequestStatistics.Second> seconds, int from, int to) {
        double offered = 0;
        double served = 0;
        for (int i = from; i < Math.min(to, seconds.size()); i++) {
            offered += seconds.get(i).offeredImportance;
            served += seconds.get(i).servedImportance;
        }
        return offered == 0 ? Double.NaN : served / offered;
    }

    /**
     * Seconds from the end of the cause (of the peak and all faults) to the first window whose service reaches the
     * target; NaN if none does.
     */
    private static double recoverySeconds(List<RequestStatistics.Second> seconds, int end, int last, double target) {
        for (int from = end; from + RECOVERY_WINDOW_SECONDS <= last; from++) {
            if (serviceBetween(seconds, from, from + RECOVERY_WINDOW_SECONDS) >= target) {
                return from - end;
            }
        }
        return Double.NaN;
    }
}
