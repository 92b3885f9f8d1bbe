package saltdale.rig.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;

/** A map whose changes become visible to readers after a fixed delay. */
final class DelayedMap<K extends Comparable<K>, V> {
    private record Change<K, V>(Duration at, K key, V value) {}

    private final Duration delay;
    private final SortedMap<K, V> visible = new TreeMap<>();
    private final Deque<Change<K, V>> pending = new ArrayDeque<>();

    DelayedMap(Duration delay) {
        this.delay = delay;
    }

    /** Sets the value of the key from {@code now} on; null removes the key. */
    void set(Duration now, K key, V value) {
        pending.add(new Change<>(now, key, value));
    }

    /** Returns the content as readers see it at {@code now}; calls must come in order of time. */
    SortedMap<K, V> at(Duration now) {
        while (!pending.isEmpty() && pending.peek().at.plus(delay).compareTo(now) <= 0) {
            Change<K, V> change = pending.poll();
            if (change.value == null) {
                visible.remove(change.key);
            } else {
                visible.put(change.key, change.value);
            }
        }
        return visible;
    }
}
