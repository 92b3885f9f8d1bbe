package saltdale.nodes.membership;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One pass over all nodes, for example after a reconnect: reads each node once, with a bounded number of
 * reads in flight.
 */
public final class ReadPlan {
    private final int maxInFlight;
    // A set rather than a queue: add() looks names up in it, and there may be 10,000 nodes.
    private final Set<String> waiting = new LinkedHashSet<>();
    private final Set<String> inFlight = new HashSet<>();
    private long reads;

    /** {@code maxInFlight}: upper bound of concurrent reads. */
    public ReadPlan(int maxInFlight) {
        this.maxInFlight = maxInFlight;
    }

    /** Queues nodes to be read; a node that is already queued or in flight is not queued again. */
    public void add(Collection<String> names) {
        for (String name : names) {
            if (!inFlight.contains(name)) {
                waiting.add(name);
            }
        }
    }

    /** The next node to read; null if none is queued or the bound of reads in flight is reached. */
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

    /** Records that the read of this node has completed. */
    public void completed(String name) {
        inFlight.remove(name);
    }

    /** Whether no read is queued or in flight. */
    public boolean isOver() {
        return waiting.isEmpty() && inFlight.isEmpty();
    }

    /** Number of reads started. */
    public long reads() {
        return reads;
    }
}
