package saltdale.control;

import java.util.EnumMap;
import java.util.Map;

/** The counters of one process, and the violations of its invariants; used in its one thread. */
public final class Counters {
    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

    public Counters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, 0L);
        }
        for (Invariant invariant : Invariant.values()) {
            violations.put(invariant, 0L);
        }
    }

    public void increment(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    public long get(Counter counter) {
        return counts.get(counter);
    }

    void countViolation(Invariant invariant) {
        violations.merge(invariant, 1L, Long::sum);
    }

    /** How often this did not hold. */
    public long violations(Invariant invariant) {
        return violations.get(invariant);
    }

    /** All of them, a line each: the name and the figure. */
    public String toText() {
        StringBuilder all = new StringBuilder();
        counts.forEach((counter, count) -> line(all, counter.metricName(), count));
        violations.forEach((invariant, count) -> line(all, invariant.metricName(), count));
        return all.toString();
    }

    private static void line(StringBuilder all, String label, long figure) {
        all.append(label).append(' ').append(figure).append('\n');
    }
}
