package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.model.Workload;
import saltdale.rig.plan.Day;

/** The receipts that a group of runners remembers together, each for the window of its workload. */
public final class Receipts {
    /** The memories that one runner shares: with all, with those of its zone, with those of its cell. */
    public record Shared(Receipts all, Receipts zone, Receipts cell) {
        Receipts of(Workload workload) {
            return switch (workload.dedupScope) {
                case ALL -> all;
                case ZONE -> zone;
                case CELL -> cell;
            };
        }
    }

    /** The memories of the runners of a day, by their numbers. */
    public static List<Shared> of(Day day) {
        Receipts all = new Receipts();
        Map<String, Receipts> zones = new HashMap<>();
        Map<Integer, Receipts> cells = new HashMap<>();
        List<Shared> shared = new ArrayList<>();
        for (int i = 0; i < day.runners; i++) {
            shared.add(new Shared(
                    all,
                    zones.computeIfAbsent(day.zone(i), k -> new Receipts()),
                    cells.computeIfAbsent(day.cell(i), k -> new Receipts())));
        }
        return shared;
    }

    private record Seen(long at, long window) {}

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
