package saltdale.nodes.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One pass of reading all nodes again, as after a reconnect: each once, at most so many in flight, begun after a delay
 * that is drawn, so that dispatchers which all lost the service at one moment do not all ask at the next.
 */
public final class ReadPlan {
    private final int most;
    private final Set<String> waiting = new LinkedHashSet<>();  // 10,000 nodes are looked up in it
    private final Set<String> inFlight = new HashSet<>();
    private final Duration beginsAt;
    private long reads;

    /**
     * @param most reads in flight
     * @param spread over which dispatchers begin
     */
    public ReadPlan(Duration now, int most, Duration spread, SplittableRandom chance) {
        this.most = most;
        this.beginsAt = now.plusNanos((long) (spread.toNanos() * chance.nextDouble()));
    }

    public Duration beginsAt() {
        return beginsAt;
    }

    /** These are to be read; what waits or is in flight already is not read twice for it. */
    public void add(Collection<String> names) {
        for (String name : names) {
            if (!inFlight.contains(name)) {
                waiting.add(name);
            }
        }
    }

    /** The next to be read by now; null where none may be begun. */
    public String next(Duration now) {
        if (now.compareTo(beginsAt) < 0 || inFlight.size() >= most || waiting.isEmpty()) {
            return null;
        }
        String name = waiting.iterator().next();
        waiting.remove(name);
        inFlight.add(name);
        reads++;
        return name;
    }

    public void read(String name) {
        inFlight.remove(name);
    }

    /** The connection ended: what was in flight is to be read again by the pass that follows. */
    public void broken() {
        waiting.addAll(inFlight);
        inFlight.clear();
    }

    public boolean isOver() {
        return waiting.isEmpty() && inFlight.isEmpty();
    }

    public long reads() {
        return reads;
    }
}
