package saltdale.proxy;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A map of bounded size that keeps the entries used most recently. It serves where nothing tells when an entry is no
 * longer needed, and an entry that is dropped too early can be made again.
 */
public final class RecentlyUsed<K, V> {
    private final Map<K, V> entries;

    /**
     * Creates an empty map.
     *
     * @param onDropped is called with each value that is dropped because newer ones took its place
     */
    public RecentlyUsed(int maxEntries, Consumer<V> onDropped) {
        entries = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                boolean full = size() > maxEntries;
                if (full) {
                    onDropped.accept(eldest.getValue());
                }
                return full;
            }
        };
    }

    /** Returns the value of a key, or makes one; either counts as a use. */
    public V use(K key, Function<K, V> factory) {
        V value = entries.get(key);
        if (value == null) {
            value = factory.apply(key);
            entries.put(key, value);
        }
        return value;
    }

    /** Whether there is an entry for this key; the question does not count as a use. */
    public boolean contains(K key) {
        return entries.containsKey(key);
    }

    /** Removes an entry and returns its value; null if there is none. */
    public V remove(K key) {
        return entries.remove(key);
    }

    /** The number of entries. */
    public int size() {
        return entries.size();
    }
}
