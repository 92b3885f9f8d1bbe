package saltdale.control;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Map;

/**
 * The digest of a set of parts, whatever their order: the sum of the parts' own digests, so that parts are added and
 * taken away without reading the others. It finds faults; it is no protection against forgers.
 */
public record SetDigest(long high, long low) {
    public static final SetDigest EMPTY = new SetDigest(0, 0);

    /** With this part, a tree as {@link Trees} writes it. */
    public SetDigest plus(Object part) {
        ByteBuffer hash = ByteBuffer.wrap(sha256(Trees.toCbor(part)));
        return new SetDigest(high + hash.getLong(), low + hash.getLong());
    }

    /** Without this part. */
    public SetDigest minus(Object part) {
        ByteBuffer hash = ByteBuffer.wrap(sha256(Trees.toCbor(part)));
        return new SetDigest(high - hash.getLong(), low - hash.getLong());
    }

    /** The digest of members, by life, that were these and are those. */
    public SetDigest updated(Map<String, Member> before, Map<String, Member> after) {
        SetDigest digest = this;
        for (Member was : before.values()) {
            digest = was.equals(after.get(was.incarnation())) ? digest : digest.minus(was.tree());
        }
        for (Member is : after.values()) {
            digest = is.equals(before.get(is.incarnation())) ? digest : digest.plus(is.tree());
        }
        return digest;
    }

    /** As it is written in messages. */
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
