package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The demand that owners report for their services. Only the last report of each owner counts, until it expires. */
final class DemandTable {
    private record Report(long receivedAt, Map<String, Demand> demands) {}

    private final long reportValidityNanos;
    private final Map<String, Report> reports = new HashMap<>(); // by member incarnation

    DemandTable(long reportValidityNanos) {
        this.reportValidityNanos = reportValidityNanos;
    }

    /** Replaces the previous report of this member, named by its incarnation. */
    void record(String incarnation, List<Demand> demands, long now) {
        Map<String, Demand> byService = new HashMap<>();
        demands.forEach(demand -> byService.put(demand.service(), demand));
        reports.put(incarnation, new Report(now, byService));
    }

    /** What all owners together report, by service. */
    Map<String, List<Demand>> byService(long now) {
        reports.values().removeIf(report -> now - report.receivedAt > reportValidityNanos);
        Map<String, List<Demand>> all = new HashMap<>();
        for (Report report : reports.values()) {
            report.demands
                    .values()
                    .forEach(demand -> all.computeIfAbsent(demand.service(), s -> new ArrayList<>())
                            .add(demand));
        }
        return all;
    }
}
