package saltdale.proxy;

import java.io.ByteArrayOutputStream;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.ConfigurationTree;
import saltdale.control.MalformedMessage;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.SnapshotPart;

/**
 * The configuration as received from control nodes: a snapshot, fetched in parts, and the changes since. It is kept
 * when another session starts, as are the received parts of an incomplete snapshot.
 */
final class ConfigurationReplica {
    /** The result of applying a change. */
    enum Outcome {
        APPLIED,
        ALREADY_KNOWN,
        /** Its base is not the current configuration, or its result does not have the expected digest. */
        REJECTED
    }

    private ConfigurationTree tree; // null before the first one is complete
    private boolean trusted = true; // otherwise a snapshot must arrive before any change
    private String snapshotDigest = ""; // of the snapshot that is being fetched
    private final ByteArrayOutputStream snapshotBytes = new ByteArrayOutputStream();

    /** Null before the first one is complete. */
    ConfigurationTree tree() {
        return tree;
    }

    /** -1 before the first one is complete. */
    long revision() {
        return tree == null ? -1 : tree.revision();
    }

    /** The digest of the current configuration; empty if it cannot serve as the base of changes. */
    String digest() {
        return tree == null || !trusted ? "" : tree.digest();
    }

    Outcome apply(ConfigurationChange change) throws MalformedMessage {
        if (tree != null && tree.revision() >= change.revision() && trusted) {
            return Outcome.ALREADY_KNOWN;
        } else if (tree == null
                || change.baseRevision() != revision()
                || !change.baseDigest().equals(digest())) {
            return Outcome.REJECTED;
        }
        ConfigurationTree next = tree.withChange(change.change());
        if (!next.digest().equals(change.digest()) || next.revision() != change.revision()) {
            trusted = false;
            return Outcome.REJECTED;
        }
        tree = next;
        return Outcome.APPLIED;
    }

    /** The digest of the snapshot of which parts have been received; empty if there are none. */
    String snapshotDigest() {
        return snapshotDigest;
    }

    /** The offset of the next part to fetch. */
    int snapshotOffset() {
        return snapshotBytes.size();
    }

    /** Adds a part; returns whether the snapshot is complete with it and now the current configuration. */
    boolean addSnapshotPart(SnapshotPart part) throws MalformedMessage {
        if (!part.digest().equals(snapshotDigest)) {
            snapshotDigest = part.digest();
            snapshotBytes.reset();
        }
        int offset = snapshotBytes.size();
        boolean fits = part.offset() == offset && part.bytes().length <= part.total() - offset;
        if (!fits) {
            return false; // a duplicate, or not the part that was requested
        }
        snapshotBytes.writeBytes(part.bytes());
        if (snapshotBytes.size() < part.total()) {
            return false;
        }
        byte[] bytes = snapshotBytes.toByteArray();
        String expectedDigest = snapshotDigest;
        snapshotDigest = "";
        snapshotBytes.reset();
        tree = ConfigurationSnapshot.read(bytes, expectedDigest);
        trusted = true;
        return true;
    }
}
