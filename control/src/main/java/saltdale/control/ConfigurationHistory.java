package saltdale.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest configuration, and the names of what has changed shortly before it, so that a proxy can be sent the
 * changes since the configuration that it has. A proxy that has an older one fetches a snapshot, which is rebuilt only
 * when too much has changed since the last one. Only the newest configuration is kept whole: what is held does not grow
 * with the number of changes.
 */
final class ConfigurationHistory {
    /** One change: the configuration that it led from, and the names of what changed. */
    private record Step(long baseRevision, String baseDigest, ConfigurationDifference difference) {}

    private static final int MAX_STEPS = 64;
    private static final long MAX_NAME_BYTES = 1 << 20; // of all steps
    private static final int MAX_SNAPSHOTS = 2; // the one being fetched, and the next one
    /**
     * A change is replaced by a snapshot, which is compressed, if its size times this exceeds that
     * of the configuration.
     */
    private static final int CHANGE_SIZE_FACTOR = 8;
    /**
     * A larger change is replaced by a snapshot: changes wait for each proxy that does not read, parts of a snapshot
     * are sent one at a time, on request.
     */
    private static final int MAX_CHANGE_BYTES = 128 << 10;

    private final Deque<Step> steps = new ArrayDeque<>(); // oldest first
    private long nameBytes; // of all steps
    /** The changes to the newest configuration, by base revision; empty where a snapshot is needed. */
    private final Map<Long, Optional<Map<String, Object>>> changes = new HashMap<>();

    private final Map<String, ConfigurationSnapshot> snapshots = new LinkedHashMap<>(); // by digest
    private ConfigurationTree newest;
    private long unreadableRevision = -1; // the newest version that could not be read
    private ConfigurationSnapshot latestSnapshot;

    /** Adds the next configuration. */
    void add(ConfigurationTree next) {
        if (newest != null) {
            addStep(new Step(newest.revision(), newest.digest(), newest.differenceTo(next)));
        }
        newest = next;
        changes.clear();
    }

    private void addStep(Step step) {
        steps.addLast(step);
        nameBytes += step.difference().memoryBytes();
        while (steps.size() > MAX_STEPS || nameBytes > MAX_NAME_BYTES && !steps.isEmpty()) {
            nameBytes -= steps.removeFirst().difference().memoryBytes();
        }
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
        boolean isNewest = revision == newest.revision() && newest.digest().equals(digest);
        boolean isKnown = steps.stream()
                .anyMatch(step ->
                        step.baseRevision() == revision && step.baseDigest().equals(digest));
        return isNewest || isKnown
                ? changes.computeIfAbsent(revision, this::changeSince).orElse(null)
                : null;
    }

    private Optional<Map<String, Object>> changeSince(long revision) {
        ConfigurationDifference difference = new ConfigurationDifference();
        steps.stream()
                .filter(step -> step.baseRevision() >= revision)
                .forEach(step -> difference.addAll(step.difference()));
        if (isTooLarge(difference.size())) {
            return Optional.empty();
        }
        Map<String, Object> change = newest.changeFor(difference);
        return isTooLarge(ConfigurationTree.changeSize(change)) || Trees.toCbor(change).length > MAX_CHANGE_BYTES
                ? Optional.empty()
                : Optional.of(change);
    }

    private boolean isTooLarge(int changeSize) {
        return changeSize * CHANGE_SIZE_FACTOR > newest.size() && newest.size() > CHANGE_SIZE_FACTOR * 4;
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
        boolean leadsToNewest =
                latestSnapshot != null && changeSince(latestSnapshot.revision(), latestSnapshot.treeDigest()) != null;
        if (!leadsToNewest) {
            latestSnapshot = ConfigurationSnapshot.of(newest);
            snapshots.put(latestSnapshot.digest(), latestSnapshot);
            if (snapshots.size() > MAX_SNAPSHOTS) {
                snapshots.remove(snapshots.keySet().iterator().next());
            }
        }
        return latestSnapshot;
    }
}
