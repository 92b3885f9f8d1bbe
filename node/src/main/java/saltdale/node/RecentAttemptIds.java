package saltdale.node;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the most recent attempts that a connection carried, by their hashes: an id may be as long as a head. Two
 * ids with one hash cost a new connection, no more.
 */
final class RecentAttemptIds {
    private static final int MAX_IDS = 32; // a late answer arrives in place of one of the next few answers

    private final Set<Integer> idHashes = new LinkedHashSet<>();

    /** Adds an id; returns false if the connection may have carried an attempt with this id. */
    boolean add(String id) {
        if (!idHashes.add(id.hashCode())) {
            return false;
        }
        if (idHashes.size() > MAX_IDS) {
            idHashes.remove(idHashes.iterator().next());
        }
        return true;
    }
}
