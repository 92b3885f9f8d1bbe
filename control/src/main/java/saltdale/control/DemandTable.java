package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The demand that owners report for their services; of each owner only the last report counts, for a while. */
final class DemandTable {
    private record Report(long at, Map<String, Demand> demands) {}

    private final long counts;
    private final Map<String, Report> reports = new HashMap<>(); // by member's life

    DemandTable(long counts) {
        this.counts = counts;
    }

    void record(String life, List<Demand> demands, long now) {
        Map<String, Demand> all = new HashMap<>();
        demands.forEach(demand -> all.put(demand.service(), demand));
        reports.put(life, new Report(now, all));
    }

    /** By service, what all owners together report. */
    Map<String, List<Demand>> byService(long now) {
        reports.values().removeIf(report -> now - report.at > counts);
        Map<String, List<Demand>> all = new HashMap<>();
        for (Report report : reports.values()) {
            report.demands
                    .values()
                    .forEach(n -> all.computeIfAbsent(n.service(), s -> new ArrayList<>())
                            .add(n));
        }
        return all;
    }
}
