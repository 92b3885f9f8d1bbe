package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;

/** A table that is seen as it was some time ago. */
final class Lagged<K extends Comparable<K>, V> {
    private record Change<K, V>(Duration at, K key, V value) {}

    private final Duration lag;
    private final SortedMap<K, V> seen = new TreeMap<>();
    private final Deque<Change<K, V>> unseen = new ArrayDeque<>();

    Lagged(Duration lag) {
        this.lag = lag;
    }

    /** From now on the key has this value; null where it has none. */
    void set(Duration now, K key, V value) {
        unseen.add(new Change<>(now, key, value));
    }

    SortedMap<K, V> at(Duration now) {
        while (!unseen.isEmpty() && unseen.peek().at.plus(lag).compareTo(now) <= 0) {
            Change<K, V> change = unseen.poll();
            if (change.value == null) {
                seen.remove(change.key);
            } else {
                seen.put(change.key, change.value);
            }
        }
        return seen;
    }
}
