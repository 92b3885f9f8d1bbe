package saltdale.nodes.tree;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Paths;

/**
 * The watches that are set, and whom to notify of an event. A watch on the data or the existence of a node
 * fires on its creation, data change and deletion; a watch on its children fires on a change of the list
 * of children and on deletion of the node. One-time watches are removed when they fire. Persistent ones
 * stay; recursive ones also cover all descendants, but do not fire on changes of a list of children.
 */
public final class Watches<W> {
    /** The kind of a watch. */
    public enum Kind {
        DATA,
        CHILDREN,
        PERSISTENT,
        RECURSIVE
    }

    private record Key(Kind kind, String path) {}

    private final Map<Key, Set<W>> watchers = new HashMap<>();

    /** Sets a watch. */
    public void add(Kind kind, String path, W watcher) {
        watchers.computeIfAbsent(new Key(kind, path), k -> new HashSet<>()).add(watcher);
    }

    /** Removes all watches of a watcher. */
    public void removeWatcher(W watcher) {
        watchers.values().removeIf(each -> each.remove(watcher) && each.isEmpty());
    }

    /** Number of watches that are set. */
    public int size() {
        return watchers.values().stream().mapToInt(Set::size).sum();
    }

    /** The watchers to notify of this event, each once; one-time watches that fire are removed. */
    public List<W> trigger(Event event) {
        Set<W> all = new HashSet<>();
        String path = event.path();
        if (event.kind() == Event.Kind.CHILDREN_CHANGED) {
            collectOneTime(Kind.CHILDREN, path, all);
            collectPersistent(Kind.PERSISTENT, path, all);
            return new ArrayList<>(all);
        }
        collectOneTime(Kind.DATA, path, all);
        if (event.kind() == Event.Kind.DELETED) {
            collectOneTime(Kind.CHILDREN, path, all);
        }
        collectPersistent(Kind.PERSISTENT, path, all);
        for (String at = path; ; at = Paths.parent(at)) {
            collectPersistent(Kind.RECURSIVE, at, all);
            if (at.equals("/")) {
                return new ArrayList<>(all);
            }
        }
    }

    private void collectOneTime(Kind kind, String path, Set<W> to) {
        Set<W> found = watchers.remove(new Key(kind, path));
        if (found != null) {
            to.addAll(found);
        }
    }

    private void collectPersistent(Kind kind, String path, Set<W> to) {
        to.addAll(watchers.getOrDefault(new Key(kind, path), Set.of()));
    }

    /** All events for each watcher, in the order of the events. */
    public Map<W, List<Event>> trigger(List<Event> events) {
        Map<W, List<Event>> all = new LinkedHashMap<>();
        for (Event event : events) {
            for (W watcher : trigger(event)) {
                all.computeIfAbsent(watcher, k -> new ArrayList<>()).add(event);
            }
        }
        return all;
    }
}
