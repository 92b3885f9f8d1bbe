package saltdale.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * This dispatcher's part of what may arrive at a service beyond the first arrival of each request. All parts together
 * stay within the whole: each takes its ratio of the requests that it has itself seen, and an equal share of the slack.
 */
final class RetryBudget {
    private static final int PARTS = 10; // of the window
    private static final double CAUTION = 0.7; // the requests that repeated runs make count too, and are not seen here

    private static final class Counts {
        final long[] slot = new long[PARTS + 1];
        final int[] firsts = new int[PARTS + 1];
        final int[] furthers = new int[PARTS + 1];
    }

    private final double ratio;
    private final double slack;
    private final long part;
    private final Map<String, Counts> services = new HashMap<>();

    RetryBudget(double ratio, long window, double slack) {
        this.ratio = ratio;
        this.slack = slack;
        part = Math.max(1, window / PARTS);
    }

    void first(String service, long now) {
        at(service, now).firsts[index(now)]++;
    }

    /** Whether a further attempt may go; it is counted if so. */
    boolean further(String service, long now, int members) {
        Counts counts = at(service, now);
        int firsts = 0;
        int furthers = 0;
        for (int i = 0; i <= PARTS; i++) {
            if (now / part - counts.slot[i] <= PARTS) {
                firsts += counts.firsts[i];
                furthers += counts.furthers[i];
            }
        }
        boolean may = furthers + 1 <= CAUTION * (ratio * firsts + slack / Math.max(1, members));
        if (may) {
            counts.furthers[index(now)]++;
        }
        return may;
    }

    private int index(long now) {
        return (int) (now / part % (PARTS + 1));
    }

    private Counts at(String service, long now) {
        Counts counts = services.computeIfAbsent(service, s -> new Counts());
        int i = index(now);
        if (counts.slot[i] != now / part) {
            counts.slot[i] = now / part;
            counts.firsts[i] = 0;
            counts.furthers[i] = 0;
        }
        return counts;
    }
}
