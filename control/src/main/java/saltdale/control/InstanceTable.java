package saltdale.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The known instances, merged from the platform's list, from the platform's responses to starts, and from updates of
 * other control nodes. For each identifier the latest phase wins, so merging copies in any order has the same result;
 * but an instance that was taken for gone is known again once the platform lists it.
 */
final class InstanceTable {
    private static final class Entry {
        Instance instance;
        boolean listed; // has appeared in the platform's list
        long phaseSince; // when this control node learned of the current phase
        long changeNumber;
    }

    /** How many times the usual boot time a started instance may take to appear in the platform's list. */
    private static final int LISTING_TIMEOUT_BOOT_TIMES = 3;

    /** Gone instances are remembered for this long, so that a late update does not bring them back. */
    private final long goneRetentionNanos;
    /** How long a started instance may take at least to appear in the platform's list. */
    private final long listingTimeoutNanos;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Set<String>> byService = new HashMap<>();
    private final TreeMap<Long, Entry> byChangeNumber = new TreeMap<>();
    private long changeNumber;

    InstanceTable(long listingTimeoutNanos, long goneRetentionNanos) {
        this.listingTimeoutNanos = listingTimeoutNanos;
        this.goneRetentionNanos = goneRetentionNanos;
    }

    /** The number of the last change; it grows with each change of any instance. */
    long changeNumber() {
        return changeNumber;
    }

    /** The instances that changed after the change with this number. */
    List<Instance> changedAfter(long number) {
        return byChangeNumber.tailMap(number, false).values().stream()
                .map(e -> e.instance)
                .toList();
    }

    Collection<Instance> ofService(String service) {
        return byService.getOrDefault(service, Set.of()).stream()
                .map(id -> entries.get(id).instance)
                .toList();
    }

    boolean hasInstancesOf(String service) {
        return !byService.getOrDefault(service, Set.of()).isEmpty();
    }

    /** Returns the instance with this identifier, or null if it is not known. */
    Instance get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.instance;
    }

    /** When this control node learned of the instance's current phase; the instance must be known. */
    long phaseSince(String id) {
        return entries.get(id).phaseSince;
    }

    Collection<Instance> all() {
        return entries.values().stream().map(e -> e.instance).toList();
    }

    /** Takes over this copy if its phase is later than the known one. Returns whether it did. */
    boolean merge(Instance copy, long now) {
        Entry entry = entries.get(copy.id());
        if (entry == null) {
            entry = new Entry();
            entries.put(copy.id(), entry);
            byService.computeIfAbsent(copy.service(), s -> new HashSet<>()).add(copy.id());
        } else if (copy.phase().compareTo(entry.instance.phase()) <= 0) {
            return false;
        }
        replace(entry, copy, now);
        return true;
    }

    private void replace(Entry entry, Instance copy, long now) {
        entry.instance = copy;
        entry.phaseSince = now;
        byChangeNumber.remove(entry.changeNumber);
        entry.changeNumber = ++changeNumber;
        byChangeNumber.put(changeNumber, entry);
    }

    /**
     * Takes over a listed instance that had been taken for gone before the list was requested: it took longer to start
     * than expected. Returns whether it was.
     */
    private boolean restore(Instance listed, long requestedAt, long now) {
        Entry entry = entries.get(listed.id());
        if (entry.instance.phase() != Instance.Phase.GONE || entry.phaseSince >= requestedAt) {
            return false;
        }
        replace(entry, listed, now);
        return true;
    }

    /**
     * Merges the platform's complete list, requested at {@code requestedAt}, and marks the instances that it no longer
     * shows, or has not shown in time, as gone. Returns the changed instances.
     *
     * @param bootNanos the usual boot time of a service
     */
    List<Instance> applyPlatformList(
            List<Instance> list, long requestedAt, long now, ToLongFunction<String> bootNanos) {
        List<Instance> changed = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (Instance each : list) {
            listedIds.add(each.id());
            if (merge(each, now) || restore(each, requestedAt, now)) {
                changed.add(each);
            }
            entries.get(each.id()).listed = true;
        }
        for (Entry entry : List.copyOf(entries.values())) {
            Instance known = entry.instance;
            boolean shouldBeListed = entry.listed || now - entry.phaseSince > listingTimeout(known, bootNanos);
            if (known.phase() != Instance.Phase.GONE
                    && !listedIds.contains(known.id())
                    && shouldBeListed
                    && entry.phaseSince < requestedAt) {
                Instance gone = known.withPhase(Instance.Phase.GONE);
                merge(gone, now);
                changed.add(gone);
            } else if (known.phase() == Instance.Phase.GONE
                    && now - entry.phaseSince > goneRetentionNanos
                    && !listedIds.contains(known.id())) {
                entries.remove(known.id());
                byChangeNumber.remove(entry.changeNumber);
                byService.get(known.service()).remove(known.id());
            }
        }
        return changed;
    }

    private long listingTimeout(Instance instance, ToLongFunction<String> bootNanos) {
        return Math.max(listingTimeoutNanos, LISTING_TIMEOUT_BOOT_TIMES * bootNanos.applyAsLong(instance.service()));
    }
}
