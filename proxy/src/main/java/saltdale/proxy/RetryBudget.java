package saltdale.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * This proxy's share of the attempts that may reach a service in addition to the first attempt of each request. The
 * shares of all proxies together stay within the total: each proxy applies the ratio to the requests that it has
 * received itself, and gets an equal share of the slack.
 */
final class RetryBudget {
    private static final int BUCKETS = 10; // per window

    /** Reserve for nested requests made by repeated executions: they count too, but this proxy does not see them. */
    private static final double SAFETY_FACTOR = 0.7;

    /** Counts of one service in a ring of buckets. */
    private static final class Counts {
        final long[] period = new long[BUCKETS + 1]; // number of the time period that a bucket holds
        final int[] firstAttempts = new int[BUCKETS + 1];
        final int[] retries = new int[BUCKETS + 1];
    }

    private final double ratio;
    private final double slack;
    private final long bucketNanos;
    private final Map<String, Counts> services = new HashMap<>();

    RetryBudget(double ratio, long windowNanos, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        bucketNanos = Math.max(1, windowNanos / BUCKETS);
    }

    /** Counts the arrival of a request. */
    void countRequest(String service, long now) {
        counts(service, now).firstAttempts[bucket(now)]++;
    }

    /** Whether a retry is within the budget; if so, it is counted. */
    boolean tryRetry(String service, long now, int members) {
        Counts counts = counts(service, now);
        int firstAttempts = 0;
        int retries = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            if (now / bucketNanos - counts.period[i] <= BUCKETS) {
                firstAttempts += counts.firstAttempts[i];
                retries += counts.retries[i];
            }
        }
        boolean allowed = retries + 1 <= SAFETY_FACTOR * (ratio * firstAttempts + slack / Math.max(1, members));
        if (allowed) {
            counts.retries[bucket(now)]++;
        }
        return allowed;
    }

    private int bucket(long now) {
        return (int) (now / bucketNanos % (BUCKETS + 1));
    }

    /** The counts of a service, with the current bucket cleared if it held an older period. */
    private Counts counts(String service, long now) {
        Counts counts = services.computeIfAbsent(service, s -> new Counts());
        int i = bucket(now);
        if (counts.period[i] != now / bucketNanos) {
            counts.period[i] = now / bucketNanos;
            counts.firstAttempts[i] = 0;
            counts.retries[i] = 0;
        }
        return counts;
    }
}
