package saltdale.proxy;

import java.io.ByteArrayOutputStream;
import saltdale.control.ConfigurationSnapshot;
import saltdale.control.ConfigurationTree;
import saltdale.control.MalformedMessage;
import saltdale.control.message.SessionMessage.ConfigurationChange;
import saltdale.control.message.SessionMessage.SnapshotPart;

/**
 * The configuration as control nodes have told it: a snapshot, fetched part by part, and the changes since. It stays
 * as it is when the session changes; so do the parts of a snapshot that have come.
 */
final class ConfigurationReplica {
    /** What became of a change. */
    enum Outcome {
        TAKEN,
        KNOWN,
        /** Its base is not what we have, or the digest of what comes out is not the one told. */
        REFUSED
    }

    private ConfigurationTree tree; // null before the first one is whole
    private boolean trusted = true; // else a snapshot must come before any change
    private String digest = ""; // of the snapshot that is being fetched
    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();

    /** Null before the first one is whole. */
    ConfigurationTree tree() {
        return tree;
    }

    /** -1 before the first one is whole. */
    long revision() {
        return tree == null ? -1 : tree.revision();
    }

    /** The digest of what we have; empty where it is no base for changes. */
    String digest() {
        return tree == null || !trusted ? "" : tree.digest();
    }

    Outcome change(ConfigurationChange news) throws MalformedMessage {
        if (tree != null && tree.revision() >= news.revision() && trusted) {
            return Outcome.KNOWN;
        } else if (tree == null
                || news.baseRevision() != revision()
                || !news.baseDigest().equals(digest())) {
            return Outcome.REFUSED;
        }
        ConfigurationTree next = tree.withChange(news.change());
        if (!next.digest().equals(news.digest()) || next.revision() != news.revision()) {
            trusted = false;
            return Outcome.REFUSED;
        }
        tree = next;
        return Outcome.TAKEN;
    }

    /** Of which snapshot parts have come; empty where none have. */
    String snapshotDigest() {
        return digest;
    }

    /** From where on the next part is needed. */
    int snapshotOffset() {
        return gathered.size();
    }

    /** Takes a part; whether the snapshot is whole with it. */
    boolean part(SnapshotPart part) throws MalformedMessage {
        if (!part.digest().equals(digest)) {
            digest = part.digest();
            gathered.reset();
        }
        int count = gathered.size();
        boolean fits = part.offset() == count && part.bytes().length <= part.total() - count;
        if (!fits) {
            return false; // it came twice, or is not the one that was asked for
        }
        gathered.writeBytes(part.bytes());
        if (gathered.size() < part.total()) {
            return false;
        }
        byte[] bytes = gathered.toByteArray();
        String expected = digest;
        digest = "";
        gathered.reset();
        tree = ConfigurationSnapshot.read(bytes, expected);
        trusted = true;
        return true;
    }
}
