package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltdale.model.Workload;
import saltdale.rig.plan.Scenario;

/** The receipts shared by a group of runners, each stored for the deduplication window of its workload. */
public final class ReceiptStore {
    /** The stores that a runner shares with all runners, with those of its zone and with those of its cell. */
    public record ByScope(ReceiptStore all, ReceiptStore zone, ReceiptStore cell) {
        ReceiptStore of(Workload workload) {
            return switch (workload.dedupScope) {
                case ALL -> all;
                case ZONE -> zone;
                case CELL -> cell;
            };
        }
    }

    /** The stores of the runners of a day, by runner number. */
    public static List<ByScope> of(Scenario day) {
        ReceiptStore all = new ReceiptStore();
        Map<String, ReceiptStore> zones = new HashMap<>();
        Map<Integer, ReceiptStore> cells = new HashMap<>();
        List<ByScope> shared = new ArrayList<>();
        for (int i = 0; i < day.runnerCount; i++) {
            shared.add(new ByScope(
                    all,
                    zones.computeIfAbsent(day.zone(i), k -> new ReceiptStore()),
                    cells.computeIfAbsent(day.cell(i), k -> new ReceiptStore())));
        }
        return shared;
    }

    private record StoredReceipt(long storedNanos, long windowNanos) {}

    private final Map<String, StoredReceipt> receipts = new LinkedHashMap<>();

    /** Stores a receipt; true if it is new, or if an earlier one has expired. */
    boolean isNew(String receipt, Duration window, long nowNanos) {
        StoredReceipt previous = receipts.remove(receipt);
        boolean known = previous != null && nowNanos - previous.storedNanos <= previous.windowNanos;
        receipts.put(receipt, known ? previous : new StoredReceipt(nowNanos, window.toNanos()));
        if (receipts.size() % 1024 == 0) {
            receipts.values().removeIf(stored -> nowNanos - stored.storedNanos > stored.windowNanos);
        }
        return !known;
    }
}
