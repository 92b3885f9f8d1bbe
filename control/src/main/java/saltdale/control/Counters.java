package saltdale.control;

import java.util.EnumMap;
import java.util.Map;

/** The counters of one process; used in its one thread. */
public final class Counters {
    private final Map<Counter, Long> counts = new EnumMap<>(Counter.class);

    public Counters() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, 0L);
        }
    }

    public void count(Counter counter) {
        counts.merge(counter, 1L, Long::sum);
    }

    public long get(Counter counter) {
        return counts.get(counter);
    }

    /** All of them, a line each: the name and the figure. */
    public String text() {
        StringBuilder all = new StringBuilder();
        counts.forEach((counter, count) ->
                all.append(counter.label()).append(' ').append(count).append('\n'));
        return all.toString();
    }
}
