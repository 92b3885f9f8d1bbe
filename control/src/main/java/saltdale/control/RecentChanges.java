package saltdale.control;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * The updates that made the newest revisions of the configuration, so that an update that is retried after a lost
 * response is recognized. Revisions form one chain and each is made by one update, so an entry consists of the digest
 * of the update and the step from its base revision to the revision that it made. Immutable.
 */
public final class RecentChanges {
    /** The result of looking up an update. */
    enum LookupResult {
        /** This update made the revision that follows its base revision. */
        APPLIED,
        /** No such update was applied. */
        NOT_APPLIED,
        /** Its base revision is older than the oldest entry, so it may have been applied. */
        FORGOTTEN
    }

    /**
     * The number of updates remembered; a day brings hundreds. An entry takes {@link #DIGEST_BYTES} and usually one
     * byte more, so that a full table adds 3.5 KB to each message that contains a state.
     */
    static final int MAX_ENTRIES = 512;

    /**
     * The length of a digest. A digest is compared with that of one update only, so it is wrong once in 2^48 updates
     * that lost to another one.
     */
    static final int DIGEST_BYTES = 6;

    private static final int VARINT_BITS = 7;
    private static final int VARINT_CONTINUATION_BIT = 1 << VARINT_BITS;

    private final long coveredFrom;
    private final byte[] entries;

    private RecentChanges(long coveredFrom, byte[] entries) {
        this.coveredFrom = coveredFrom;
        this.entries = entries;
    }

    /** An empty table: nothing is known of updates based on a revision below this one. */
    static RecentChanges startingAt(long revision) {
        return new RecentChanges(revision, new byte[0]);
    }

    /** Reads a table from a message or from disk; its last entry must lead to the present revision. */
    static RecentChanges of(long coveredFrom, byte[] entries, long revision) throws MalformedMessage {
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next()) {
            if (reader.newRevision <= reader.baseRevision) {
                throw new MalformedMessage("recent changes: revisions do not increase");
            }
        }
        if (reader.offset != entries.length || reader.newRevision != revision) {
            throw new MalformedMessage("recent changes do not lead to revision " + revision);
        }
        return new RecentChanges(coveredFrom, entries);
    }

    /** All updates based on this revision or a later one are known. */
    long coveredFrom() {
        return coveredFrom;
    }

    /** The encoded entries, oldest first, for messages and the disk. */
    byte[] entries() {
        return entries;
    }

    /** Adds the update that made a revision; drops the oldest entry if the table is full. */
    RecentChanges with(long baseRevision, long newRevision, byte[] digest) {
        if (digest.length != DIGEST_BYTES || newRevision <= baseRevision) {
            throw new IllegalArgumentException("invalid change from revision " + baseRevision + " to " + newRevision);
        }
        Reader oldest = new Reader(coveredFrom, entries);
        boolean full = count() >= MAX_ENTRIES && oldest.next();
        ByteArrayOutputStream encoded = new ByteArrayOutputStream(entries.length + DIGEST_BYTES + 2);
        encoded.write(entries, oldest.offset, entries.length - oldest.offset);
        encoded.writeBytes(digest);
        long step = newRevision - baseRevision;
        while (step >= VARINT_CONTINUATION_BIT) {
            encoded.write((int) (step % VARINT_CONTINUATION_BIT) | VARINT_CONTINUATION_BIT);
            step >>= VARINT_BITS;
        }
        encoded.write((int) step);
        return new RecentChanges(full ? oldest.newRevision : coveredFrom, encoded.toByteArray());
    }

    /** The number of entries. */
    int count() {
        int count = 0;
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next()) {
            count++;
        }
        return count;
    }

    /** Looks up the update with this digest among those with this base revision. */
    LookupResult find(long baseRevision, byte[] digest) {
        if (baseRevision < coveredFrom) {
            return LookupResult.FORGOTTEN;
        }
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next() && reader.baseRevision <= baseRevision) {
            if (reader.baseRevision == baseRevision && reader.matches(digest)) {
                return LookupResult.APPLIED;
            }
        }
        return LookupResult.NOT_APPLIED;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RecentChanges that
                && coveredFrom == that.coveredFrom
                && Arrays.equals(entries, that.entries);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(coveredFrom) + Arrays.hashCode(entries);
    }

    @Override
    public String toString() {
        return count() + " changes from " + coveredFrom;
    }

    /** Iterates over the entries. */
    private static final class Reader {
        private final byte[] entries;
        private int digestOffset;
        private int offset;
        private long baseRevision;
        private long newRevision;

        Reader(long coveredFrom, byte[] entries) {
            this.entries = entries;
            newRevision = coveredFrom;
        }

        /** Moves to the next entry; false at the end, and if an entry is truncated. */
        boolean next() {
            long step = 0;
            int shift = 0;
            for (int position = offset + DIGEST_BYTES; position < entries.length && shift < Long.SIZE; position++) {
                step |= (long) (entries[position] & VARINT_CONTINUATION_BIT - 1) << shift;
                shift += VARINT_BITS;
                if ((entries[position] & VARINT_CONTINUATION_BIT) == 0) {
                    digestOffset = offset;
                    offset = position + 1;
                    baseRevision = newRevision;
                    newRevision += step;
                    return true;
                }
            }
            return false;
        }

        boolean matches(byte[] digest) {
            return Arrays.equals(entries, digestOffset, digestOffset + DIGEST_BYTES, digest, 0, digest.length);
        }
    }
}
