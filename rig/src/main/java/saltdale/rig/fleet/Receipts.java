package saltdale.rig.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** The receipts that a group of runners remembers together, each for the window of its workload. */
public final class Receipts {
    private record Seen(long at, long window) {
    }

    private final Map<String, Seen> seen = new LinkedHashMap<>();

    /** Notes this receipt; true where it is new, or so old that it was forgotten. */
    boolean isNew(String receipt, Duration window, long now) {
        Seen before = seen.remove(receipt);
        boolean known = before != null && now - before.at <= before.window;
        seen.put(receipt, known ? before : new Seen(now, window.toNanos()));
        if (seen.size() % 1024 == 0) {
            seen.values().removeIf(each -> now - each.at > each.window);
        }
        return !known;
    }
}
