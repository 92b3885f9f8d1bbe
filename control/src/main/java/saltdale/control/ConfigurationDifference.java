package saltdale.control;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The names of what differs between two configurations: unlike the configurations themselves, small enough to be kept
 * for many changes. The differences of consecutive configurations add up to that of the first and the last one, or to
 * somewhat more, where a value has changed and changed back.
 */
final class ConfigurationDifference {
    private static final int BYTES_PER_NAME = 120; // the entry of the set, and the objects of the name

    /** Names of fields that have another value, or are new. */
    private final Set<String> changedFields = new LinkedHashSet<>();
    /** Names of fields and lists that are gone, and of lists that are new. */
    private final Set<String> replaced = new LinkedHashSet<>();
    /** Names of the items that are new, changed or gone, by list. */
    private final Map<String, Set<String>> changedItems = new LinkedHashMap<>();

    void addChangedField(String name) {
        changedFields.add(name);
    }

    void addReplaced(String name) {
        replaced.add(name);
    }

    void addChangedItem(String list, String name) {
        changedItems.computeIfAbsent(list, each -> new LinkedHashSet<>()).add(name);
    }

    /** Adds the difference of the configurations that follow. */
    void addAll(ConfigurationDifference next) {
        changedFields.addAll(next.changedFields);
        replaced.addAll(next.replaced);
        next.changedItems.forEach((list, names) -> changedItems
                .computeIfAbsent(list, each -> new LinkedHashSet<>())
                .addAll(names));
    }

    Set<String> changedFields() {
        return changedFields;
    }

    Set<String> replaced() {
        return replaced;
    }

    Map<String, Set<String>> changedItems() {
        return changedItems;
    }

    /** Returns the number of names. */
    int size() {
        return changedFields.size()
                + replaced.size()
                + changedItems.values().stream().mapToInt(Set::size).sum();
    }

    /** Returns about how much memory the names take. */
    long memoryBytes() {
        return memoryBytes(changedFields)
                + memoryBytes(replaced)
                + changedItems.values().stream()
                        .mapToLong(ConfigurationDifference::memoryBytes)
                        .sum();
    }

    private static long memoryBytes(Set<String> names) {
        return names.stream()
                .mapToLong(name -> BYTES_PER_NAME + 2L * name.length())
                .sum();
    }
}
