package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import saltdale.model.Workload;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.plan.PlannedWorkload;

/** Results of the client requests of a run, with latencies from their intended times. Not thread-safe. */
public final class RequestStatistics {
    private static final long MAX_LATENCY_US = 3_600_000_000L;

    /** Statistics of one workload, over all requests that are due after the warm-up. */
    public static final class Row {
        public long offered;
        /** Offered work, in seconds. */
        public double work;

        public long fulfilled;
        public long inTime;
        public long shed;
        public long givenUp;
        public long unanswered;
        public long abandoned;
        public long tries;
        /** Latency of fulfilled requests from the intended time to the response, in microseconds. */
        public final Histogram latency = new Histogram(MAX_LATENCY_US, 3);

        /** The share of offered requests that were fulfilled within their latency limit. */
        public double service() {
            return offered == 0 ? 1 : (double) inTime / offered;
        }
    }

    /** Statistics of the requests whose intended time lies in one second of the run. */
    public static final class Second {
        public long offered;
        public long inTime;
        /** Sum of the importance of the offered requests. */
        public double offeredImportance;

        /** Sum of the importance of the requests that were fulfilled within their latency limit. */
        public double servedImportance;

        public final Histogram latency = new Histogram(MAX_LATENCY_US, 2);
        public final Map<String, long[]> byWorkload = new LinkedHashMap<>(); // offered and fulfilled in time
    }

    private final Duration warmUp;
    private final Duration start;
    private final Map<Workload, Row> rows = new LinkedHashMap<>();
    private final List<Second> seconds = new ArrayList<>();
    private double offeredImportance;
    private double servedImportance;
    private long firstTries;

    public RequestStatistics(List<PlannedWorkload> workloads, Duration warmUp) {
        this(workloads, warmUp, Duration.ZERO);
    }

    /** {@code start} is the start of the scenario on the clock of the intended times. */
    public RequestStatistics(List<PlannedWorkload> workloads, Duration warmUp, Duration start) {
        this.warmUp = warmUp;
        this.start = start;
        workloads.forEach(planned -> rows.put(planned.workload(), new Row()));
    }

    /** The statistics of each workload. */
    public Map<Workload, Row> rows() {
        return rows;
    }

    /** The statistics of each second since the start, with the warm-up. */
    public List<Second> seconds() {
        return seconds;
    }

    /** The time since the intended time after which a response no longer counts as in time. */
    public static Duration latencyLimit(ClientRequest request) {
        Workload w = request.plannedWorkload().workload();
        return w.targetLatency.plusNanos((long) (w.latencyStretch * request.workSeconds() * 1e9));
    }

    /**
     * Records the end of a request.
     *
     * @param answer null if there was no response
     * @param tries number of tries of its client; 0 if it disconnected
     */
    public void record(ClientRequest request, FinalAnswer answer, Duration at, int tries, boolean abandoned) {
        Duration took = at.minus(request.intendedAt());
        boolean inTime = answer == FinalAnswer.FULFILLED && took.compareTo(latencyLimit(request)) <= 0;
        long us = Math.max(0, Math.min(MAX_LATENCY_US, took.toNanos() / 1000));
        Second second = second((int) request.intendedAt().minus(start).toSeconds());
        if (!abandoned) {
            long[] counts =
                    second.byWorkload.computeIfAbsent(request.plannedWorkload().name(), k -> new long[2]);
            second.offered++;
            counts[0]++;
            second.inTime += inTime ? 1 : 0;
            second.offeredImportance += request.plannedWorkload().workload().importance;
            second.servedImportance += inTime ? request.plannedWorkload().workload().importance : 0;
            counts[1] += inTime ? 1 : 0;
            if (answer == FinalAnswer.FULFILLED) {
                second.latency.recordValue(us);
            }
        }
        if (request.intendedAt().minus(start).compareTo(warmUp) < 0) {
            return;
        }
        Row row = rows.get(request.plannedWorkload().workload());
        row.tries += tries;
        firstTries++;
        if (abandoned) {
            row.abandoned++;
            return;
        }
        row.offered++;
        row.work += request.workSeconds();
        offeredImportance += request.plannedWorkload().workload().importance;
        if (answer == null) {
            row.unanswered++;
        } else if (answer == FinalAnswer.SHED) {
            row.shed++;
        } else if (answer == FinalAnswer.GIVEN_UP) {
            row.givenUp++;
        } else {
            row.fulfilled++;
            row.latency.recordValue(us);
        }
        if (inTime) {
            row.inTime++;
            servedImportance += request.plannedWorkload().workload().importance;
        }
    }

    private Second second(int number) {
        while (seconds.size() <= number) {
            seconds.add(new Second());
        }
        return seconds.get(number);
    }

    /** The share of the offered importance that was fulfilled within the latency limits. */
    public double service() {
        return offeredImportance == 0 ? 1 : servedImportance / offeredImportance;
    }

    /** Number of requests due after the warm-up, without those whose client disconnected. */
    public long offered() {
        return rows.values().stream().mapToLong(row -> row.offered).sum();
    }

    /** Number of requests due after the warm-up that received a response. */
    public long answered() {
        return rows.values().stream()
                .mapToLong(row -> row.fulfilled + row.shed + row.givenUp)
                .sum();
    }

    /** The latencies of all workloads. */
    public Histogram latency() {
        Histogram all = new Histogram(MAX_LATENCY_US, 3);
        rows.values().forEach(row -> all.add(row.latency));
        return all;
    }

    /** The figures by the names that expectations and reports use; times in milliseconds. */
    public Map<String, Double> figures() {
        Map<String, Double> all = new LinkedHashMap<>();
        long offered = Math.max(1, offered());
        all.put("service", service());
        all.put("offered", (double) offered());
        all.put("answered", (double) answered());
        all.put("fulfilled", (double)
                rows.values().stream().mapToLong(r -> r.fulfilled).sum());
        all.put("shed_share", rows.values().stream().mapToLong(r -> r.shed).sum() / (double) offered);
        all.put(
                "given_up_share",
                rows.values().stream().mapToLong(r -> r.givenUp).sum() / (double) offered);
        all.put("unanswered", (double)
                rows.values().stream().mapToLong(r -> r.unanswered).sum());
        all.put("tries", rows.values().stream().mapToLong(r -> r.tries).sum() / (double) Math.max(1, firstTries));
        put(all, "", latency());
        rows.forEach((workload, row) -> {
            all.put("service." + workload.name, row.service());
            put(all, "." + workload.name, row.latency);
        });
        return all;
    }

    private static void put(Map<String, Double> all, String suffix, Histogram latency) {
        all.put("p50_ms" + suffix, latency.getValueAtPercentile(50) / 1e3);
        all.put("p90_ms" + suffix, latency.getValueAtPercentile(90) / 1e3);
        all.put("p99_ms" + suffix, latency.getValueAtPercentile(99) / 1e3);
        all.put("p999_ms" + suffix, latency.getValueAtPercentile(99.9) / 1e3);
        all.put("max_ms" + suffix, latency.getMaxValue() / 1e3);
    }
}
