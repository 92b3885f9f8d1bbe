package saltdale.control;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;

/**
 * An order-independent digest of a set of parts: the sum of the digests of the parts, so that parts can be added and
 * removed without reading the others. It detects errors; it does not protect against forgery.
 */
public record SetDigest(long high, long low) {
    /** The digest of the empty set. */
    public static final SetDigest EMPTY = new SetDigest(0, 0);

    /** Adds a part, a tree in the sense of {@link Trees}. */
    public SetDigest plus(Object part) {
        ByteBuffer hash = ByteBuffer.wrap(sha256(Trees.toCbor(part)));
        return new SetDigest(high + hash.getLong(), low + hash.getLong());
    }

    /** Removes a part. */
    public SetDigest minus(Object part) {
        ByteBuffer hash = ByteBuffer.wrap(sha256(Trees.toCbor(part)));
        return new SetDigest(high - hash.getLong(), low - hash.getLong());
    }

    /** Updates the digest of a set of members, given by incarnation before and after the change. */
    public SetDigest updated(Map<String, Member> before, Map<String, Member> after) {
        SetDigest digest = this;
        for (Member previous : before.values()) {
            digest = previous.equals(after.get(previous.incarnation())) ? digest : digest.minus(previous.tree());
        }
        for (Member current : after.values()) {
            digest = current.equals(before.get(current.incarnation())) ? digest : digest.plus(current.tree());
        }
        return digest;
    }

    /** The digest as written in messages. */
    public String text() {
        return Long.toUnsignedString(high, 36) + "-" + Long.toUnsignedString(low, 36);
    }

    private static byte[] sha256(byte[] bytes) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
