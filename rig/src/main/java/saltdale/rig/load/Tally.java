package saltdale.rig.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import saltdale.model.Workload;
import saltdale.rig.judge.Witness.Final;
import saltdale.rig.plan.Job;

/** What became of the asks of a day, counted from their intended times. Not safe for more than one thread. */
public final class Tally {
    private static final long LONGEST = 3_600_000_000L; // us

    /** One workload's figures, of all asks whose intended time lies after the warming up. */
    public static final class Row {
        public long offered;
        /** Seconds of work that were asked for. */
        public double work;

        public long fulfilled;
        public long inTime;
        public long shed;
        public long givenUp;
        public long unanswered;
        public long left;
        public long tries;
        /** From the intended time to the answer, us, of what was fulfilled. */
        public final Histogram latency = new Histogram(LONGEST, 3);

        /** The part of what was asked for that was fulfilled in the promised time. */
        public double service() {
            return offered == 0 ? 1 : (double) inTime / offered;
        }
    }

    /** One second of the day, by intended times. */
    public static final class Second {
        public long offered;
        public long inTime;
        /** Importance asked for, and fulfilled in the promised time. */
        public double worth;

        public double earned;
        public final Histogram latency = new Histogram(LONGEST, 2);
        public final Map<String, long[]> byWorkload = new LinkedHashMap<>(); // offered, in time
    }

    private final Duration warmUp;
    private final Duration start;
    private final Map<Workload, Row> rows = new LinkedHashMap<>();
    private final List<Second> seconds = new ArrayList<>();
    private double importance;
    private double earned;
    private long firstTries;

    public Tally(List<Job> jobs, Duration warmUp) {
        this(jobs, warmUp, Duration.ZERO);
    }

    /** {@code start}: when the day begins, on the clock by which the asks' times are given. */
    public Tally(List<Job> jobs, Duration warmUp, Duration start) {
        this.warmUp = warmUp;
        this.start = start;
        jobs.forEach(job -> rows.put(job.workload(), new Row()));
    }

    public Map<Workload, Row> rows() {
        return rows;
    }

    public List<Second> seconds() {
        return seconds;
    }

    /** When an answer to this ask is worth something no more, since its intended time. */
    public static Duration promised(Ask ask) {
        Workload w = ask.job().workload();
        return w.targetLatency.plusNanos((long) (w.latencyStretch * ask.size() * 1e9));
    }

    /**
     * All is over with this ask.
     *
     * @param how null where no answer came
     * @param tries that its client made; 0 where it went away
     */
    public void over(Ask ask, Final how, Duration at, int tries, boolean left) {
        Duration took = at.minus(ask.at());
        boolean inTime = how == Final.FULFILLED && took.compareTo(promised(ask)) <= 0;
        long us = Math.max(0, Math.min(LONGEST, took.toNanos() / 1000));
        Second second = second((int) ask.at().minus(start).toSeconds());
        if (!left) {
            long[] of = second.byWorkload.computeIfAbsent(ask.job().name(), k -> new long[2]);
            second.offered++;
            of[0]++;
            second.inTime += inTime ? 1 : 0;
            second.worth += ask.job().workload().importance;
            second.earned += inTime ? ask.job().workload().importance : 0;
            of[1] += inTime ? 1 : 0;
            if (how == Final.FULFILLED) {
                second.latency.recordValue(us);
            }
        }
        if (ask.at().minus(start).compareTo(warmUp) < 0) {
            return;
        }
        Row row = rows.get(ask.job().workload());
        row.tries += tries;
        firstTries++;
        if (left) {
            row.left++;
            return;
        }
        row.offered++;
        row.work += ask.size();
        importance += ask.job().workload().importance;
        if (how == null) {
            row.unanswered++;
        } else if (how == Final.SHED) {
            row.shed++;
        } else if (how == Final.GIVEN_UP) {
            row.givenUp++;
        } else {
            row.fulfilled++;
            row.latency.recordValue(us);
        }
        if (inTime) {
            row.inTime++;
            earned += ask.job().workload().importance;
        }
    }

    private Second second(int number) {
        while (seconds.size() <= number) {
            seconds.add(new Second());
        }
        return seconds.get(number);
    }

    /** The importance fulfilled in the promised time over the importance asked for. */
    public double service() {
        return importance == 0 ? 1 : earned / importance;
    }

    public long offered() {
        return rows.values().stream().mapToLong(row -> row.offered).sum();
    }

    public long answered() {
        return rows.values().stream()
                .mapToLong(row -> row.fulfilled + row.shed + row.givenUp)
                .sum();
    }

    /** All workloads together. */
    public Histogram latency() {
        Histogram all = new Histogram(LONGEST, 3);
        rows.values().forEach(row -> all.add(row.latency));
        return all;
    }

    /** The figures by their names, as experiments' lines and reports have them; times in ms. */
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
