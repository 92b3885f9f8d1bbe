package saltdale.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The newest configuration and those shortly before it, so that a proxy is told what changed since the one that it has.
 * A snapshot serves who has none of them; it is made anew only when too much has changed since the last one.
 */
final class ConfigurationHistory {
    private static final int MOST_TREES = 64;
    private static final int MOST_SNAPSHOTS = 2; // one that is being fetched, and the next
    /** A change of more than this share of a configuration is told as a snapshot, which is compressed. */
    private static final int LARGEST_SHARE = 8;

    private final Map<Long, ConfigurationTree> trees = new LinkedHashMap<>(); // by revision
    private final Map<Long, Map<String, Object>> changes = new HashMap<>(); // to the newest, by their base
    private final Map<String, ConfigurationSnapshot> snapshots = new LinkedHashMap<>(); // by digest
    private ConfigurationTree newest;
    private ConfigurationSnapshot latest;

    /** Takes the next configuration; items that did not change are kept once for all. */
    void add(ConfigurationTree next) throws MalformedMessage {
        ConfigurationTree sharing = newest == null ? next : newest.withChange(newest.changeTo(next));
        newest = sharing.digest().equals(next.digest()) ? sharing : next;
        changes.clear();
        trees.put(newest.revision(), newest);
        removeOldest(trees, MOST_TREES);
    }

    /** Null where there is none yet. */
    ConfigurationTree newest() {
        return newest;
    }

    /** The change from a base to the newest; null where the base is not known here, or too much has changed. */
    Map<String, Object> changeSince(long revision, String digest) {
        ConfigurationTree base = trees.get(revision);
        if (base == null || !base.digest().equals(digest)) {
            return null;
        }
        Map<String, Object> change = changes.computeIfAbsent(revision, r -> base.changeTo(newest));
        return ConfigurationTree.sizeOf(change) * LARGEST_SHARE > newest.size() && newest.size() > LARGEST_SHARE * 4
                ? null
                : change;
    }

    /** The snapshot with this digest while it is kept, else one from which a change leads to the newest. */
    ConfigurationSnapshot snapshot(String digest) {
        ConfigurationSnapshot asked = snapshots.get(digest);
        if (asked != null) {
            return asked;
        }
        boolean leads = latest != null
                && changeSince(latest.tree().revision(), latest.tree().digest()) != null;
        if (!leads) {
            latest = ConfigurationSnapshot.of(newest);
            snapshots.put(latest.digest(), latest);
            removeOldest(snapshots, MOST_SNAPSHOTS);
        }
        return latest;
    }

    private static void removeOldest(Map<?, ?> map, int most) {
        if (map.size() > most) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
