package saltdale.nodes.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** One pass of reading all nodes again, as after a reconnect: each once, at maxInFlight so many in flight. */
public final class ReadPlan {
    private final int maxInFlight;
    private final Set<String> waiting = new LinkedHashSet<>(); // 10,000 nodes are looked up in it
    private final Set<String> inFlight = new HashSet<>();
    private long reads;

    /** {@code maxInFlight}: reads in flight. */
    public ReadPlan(int maxInFlight) {
        this.maxInFlight = maxInFlight;
    }

    /** These are to be read; what waits or is in flight already is not read twice for it. */
    public void add(Collection<String> names) {
        for (String name : names) {
            if (!inFlight.contains(name)) {
                waiting.add(name);
            }
        }
    }

    /** The next to be read; null where none may be begun by now. */
    public String next() {
        if (inFlight.size() >= maxInFlight || waiting.isEmpty()) {
            return null;
        }
        String name = waiting.iterator().next();
        waiting.remove(name);
        inFlight.add(name);
        reads++;
        return name;
    }

    public void completed(String name) {
        inFlight.remove(name);
    }

    public boolean isOver() {
        return waiting.isEmpty() && inFlight.isEmpty();
    }

    public long reads() {
        return reads;
    }
}
