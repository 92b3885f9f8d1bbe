package saltdale.control;

import java.util.EnumMap;
import java.util.Map;

/** The counters of one process and the violations of its invariants; confined to one thread. */
public final class Counters {
    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);
    private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

    /** All counters start at 0. */
    public Counters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, 0L);
        }
        for (Invariant invariant : Invariant.values()) {
            violations.put(invariant, 0L);
        }
    }

    /** Increments a counter. */
    public void increment(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    /** The value of a counter. */
    public long get(Counter counter) {
        return counts.get(counter);
    }

    /** Counts a violation of an invariant. */
    void countViolation(Invariant invariant) {
        violations.merge(invariant, 1L, Long::sum);
    }

    /** How often this invariant was violated. */
    public long violations(Invariant invariant) {
        return violations.get(invariant);
    }

    /** All counters as text, one line each: the name and the value. */
    public String toText() {
        StringBuilder text = new StringBuilder();
        counts.forEach((counter, count) -> appendLine(text, counter.metricName(), count));
        violations.forEach((invariant, count) -> appendLine(text, invariant.metricName(), count));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long count) {
        text.append(name).append(' ').append(count).append('\n');
    }
}
