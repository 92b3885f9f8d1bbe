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

/**
 * The instances known, merged from the platform's list, from what starting them answered, and from other control
 * nodes: by identifier the latest phase holds, so that copies merged in any order come out alike.
 */
final class InstanceTable {
    private static final class Entry {
        Instance instance;
        boolean listed; // the platform's list has shown it
        long since; // when it came into its phase, as far as we know
        long changeNumber;
    }

    /** So long what is gone is remembered, so that late news does not bring it back. */
    private final long forget;
    /** So long an instance that was started may take to be listed. */
    private final long listedWithin;

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Set<String>> byService = new HashMap<>();
    private final TreeMap<Long, Entry> byChangeNumber = new TreeMap<>();
    private long changeNumber;

    InstanceTable(long listedWithin, long forget) {
        this.listedWithin = listedWithin;
        this.forget = forget;
    }

    /** Grows with each change of any instance. */
    long changeNumber() {
        return changeNumber;
    }

    /** Those that have changed since that changeNumber. */
    List<Instance> changedAfter(long then) {
        return byChangeNumber.tailMap(then, false).values().stream()
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

    Instance get(String id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.instance;
    }

    long phaseSince(String id) {
        return entries.get(id).since;
    }

    Collection<Instance> all() {
        return entries.values().stream().map(e -> e.instance).toList();
    }

    /** Takes over what is newer in this copy; whether anything was. */
    boolean merge(Instance copy, long now) {
        Entry entry = entries.get(copy.id());
        if (entry == null) {
            entry = new Entry();
            entries.put(copy.id(), entry);
            byService.computeIfAbsent(copy.service(), s -> new HashSet<>()).add(copy.id());
        } else if (copy.phase().compareTo(entry.instance.phase()) <= 0) {
            return false;
        }
        entry.instance = copy;
        entry.since = now;
        byChangeNumber.remove(entry.changeNumber);
        entry.changeNumber = ++changeNumber;
        byChangeNumber.put(changeNumber, entry);
        return true;
    }

    /** The platform's whole list, as asked for at {@code askedAt}; what it does not show any more is gone. */
    List<Instance> applyPlatformList(List<Instance> list, long askedAt, long now) {
        List<Instance> changed = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (Instance each : list) {
            seen.add(each.id());
            if (merge(each, now)) {
                changed.add(each);
            }
            entries.get(each.id()).listed = true;
        }
        for (Entry entry : List.copyOf(entries.values())) {
            Instance known = entry.instance;
            boolean overdue = entry.listed || now - entry.since > listedWithin;
            if (known.phase() != Instance.Phase.GONE
                    && !seen.contains(known.id())
                    && overdue
                    && entry.since < askedAt) {
                Instance gone = known.withPhase(Instance.Phase.GONE);
                merge(gone, now);
                changed.add(gone);
            } else if (known.phase() == Instance.Phase.GONE
                    && now - entry.since > forget
                    && !seen.contains(known.id())) {
                entries.remove(known.id());
                byChangeNumber.remove(entry.changeNumber);
                byService.get(known.service()).remove(known.id());
            }
        }
        return changed;
    }
}
