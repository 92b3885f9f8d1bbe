package saltdale.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest configuration and the ones shortly before it, so that a proxy can be sent the changes since the one that
 * it has. A proxy that has none of them fetches a snapshot, which is rebuilt only when too much has changed since the
 * last one.
 */
final class ConfigurationHistory {
    private static final int MAX_TREES = 64;
    private static final int MAX_SNAPSHOTS = 2; // the one being fetched, and the next one
    /**
     * A change is replaced by a snapshot, which is compressed, if its size times this exceeds that
     * of the configuration.
     */
    private static final int CHANGE_SIZE_FACTOR = 8;

    private final Map<Long, ConfigurationTree> trees = new LinkedHashMap<>(); // by revision
    /** The changes to the newest configuration, by base revision. */
    private final Map<Long, Map<String, Object>> changes = new HashMap<>();

    private final Map<String, ConfigurationSnapshot> snapshots = new LinkedHashMap<>(); // by digest
    private ConfigurationTree newest;
    private long unreadableRevision = -1; // the newest version that could not be read
    private ConfigurationSnapshot latestSnapshot;

    /** Adds the next configuration; unchanged items are shared with the previous one. */
    void add(ConfigurationTree next) throws MalformedMessage {
        ConfigurationTree shared = newest == null ? next : newest.withChange(newest.changeTo(next));
        newest = shared.digest().equals(next.digest()) ? shared : next;
        changes.clear();
        trees.put(newest.revision(), newest);
        removeOldest(trees, MAX_TREES);
    }

    /** Notes that a version was agreed on that cannot be read here, and so cannot be sent to proxies. */
    void markUnreadable(long revision) {
        unreadableRevision = Math.max(unreadableRevision, revision);
    }

    /** Whether a newer version than the newest one held here was agreed on. */
    boolean isOutdated() {
        return newestAgreedRevision() > (newest == null ? -1 : newest.revision());
    }

    /** The revision of the newest version that was agreed on, as far as it is known here; -1 if there is none. */
    long newestAgreedRevision() {
        return Math.max(unreadableRevision, newest == null ? -1 : newest.revision());
    }

    /** The newest configuration; {@code null} if there is none yet. */
    ConfigurationTree newest() {
        return newest;
    }

    /**
     * The change from a base to the newest configuration; {@code null} if the base is not known here, or too
     * much has changed.
     */
    Map<String, Object> changeSince(long revision, String digest) {
        ConfigurationTree base = trees.get(revision);
        if (base == null || !base.digest().equals(digest)) {
            return null;
        }
        Map<String, Object> change = changes.computeIfAbsent(revision, r -> base.changeTo(newest));
        return ConfigurationTree.changeSize(change) * CHANGE_SIZE_FACTOR > newest.size()
                        && newest.size() > CHANGE_SIZE_FACTOR * 4
                ? null
                : change;
    }

    /**
     * The snapshot with this digest if it is still kept, or else one from which a change leads to
     * the newest configuration.
     */
    ConfigurationSnapshot snapshot(String digest) {
        ConfigurationSnapshot requested = snapshots.get(digest);
        if (requested != null) {
            return requested;
        }
        boolean leadsToNewest = latestSnapshot != null
                && changeSince(
                                latestSnapshot.tree().revision(),
                                latestSnapshot.tree().digest())
                        != null;
        if (!leadsToNewest) {
            latestSnapshot = ConfigurationSnapshot.of(newest);
            snapshots.put(latestSnapshot.digest(), latestSnapshot);
            removeOldest(snapshots, MAX_SNAPSHOTS);
        }
        return latestSnapshot;
    }

    private static void removeOldest(Map<?, ?> map, int maxEntries) {
        if (map.size() > maxEntries) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
