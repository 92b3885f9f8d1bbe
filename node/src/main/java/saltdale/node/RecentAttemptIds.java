package saltdale.node;

import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of the most recent attempts that a connection carried. */
final class RecentAttemptIds {
    private static final int MAX_IDS = 32; // a late answer arrives in place of one of the next few answers

    private final Set<String> ids = new LinkedHashSet<>();

    /** Adds an id; returns false if the connection has already carried an attempt with this id. */
    boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        if (ids.size() > MAX_IDS) {
            ids.remove(ids.iterator().next());
        }
        return true;
    }
}
