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
 * Who is to be told of what. A watch on a node's data or its being there is told of its creation, change and
 * end; one on its children of theirs and of its end. One-time watches are told once; persistent ones stay,
 * recursive ones hear of all below, but not of children's changing as such.
 */
public final class Watches<W> {
    /** What a watch is on. */
    public enum Kind {
        DATA,
        CHILDREN,
        PERSISTENT,
        RECURSIVE
    }

    private record Key(Kind kind, String path) {}

    private final Map<Key, Set<W>> watchers = new HashMap<>();

    public void add(Kind kind, String path, W watcher) {
        watchers.computeIfAbsent(new Key(kind, path), k -> new HashSet<>()).add(watcher);
    }

    public void removeWatcher(W watcher) {
        watchers.values().removeIf(each -> each.remove(watcher) && each.isEmpty());
    }

    public int size() {
        return watchers.values().stream().mapToInt(Set::size).sum();
    }

    /** Whom this event is to be told to; one-time watches that it meets are used up. Each is told once. */
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

    /** All events to all their watchers, in the order of the events. */
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
