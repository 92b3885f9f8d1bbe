package saltdale.control;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/**
 * The orders that made the newest revisions of the configuration, so that one that is sent again after a lost answer is
 * known. Revisions form one chain and each is made by one order, so an entry is a digest of the order and the step from
 * the revision that it was based on to the one that it made. Immutable.
 */
public final class RecentChanges {
    /** What is known of an order. */
    enum LookupResult {
        /** This very order made the revision that follows its base. */
        APPLIED,
        /** No such order was taken. */
        NOT_APPLIED,
        /** Its base is older than what is remembered: it may have been taken. */
        FORGOTTEN
    }

    /**
     * So many orders are remembered: the hundreds of a day. An entry takes {@link #DIGEST_BYTES} and one byte more for
     * usual steps, so that a whole memory takes 3.5 KB of each message that bears a state.
     */
    static final int MAX_ENTRIES = 512;

    /** A digest is compared with that of one order alone: it errs once in 2^48 orders that lost their race. */
    static final int DIGEST_BYTES = 6;

    private static final int VARINT_BITS = 7;
    private static final int VARINT_MORE = 1 << VARINT_BITS;

    private final long coveredFrom;
    private final byte[] entries;

    private RecentChanges(long coveredFrom, byte[] entries) {
        this.coveredFrom = coveredFrom;
        this.entries = entries;
    }

    /** Nothing is known of orders that were based on a revision below this one. */
    static RecentChanges startingAt(long revision) {
        return new RecentChanges(revision, new byte[0]);
    }

    /** Reads a memory as another process or the disk tells it; it must end with the present revision. */
    static RecentChanges of(long coveredFrom, byte[] entries, long revision) throws MalformedMessage {
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next()) {
            if (reader.made <= reader.base) {
                throw new MalformedMessage("recent changes do not rise");
            }
        }
        if (reader.at != entries.length || reader.made != revision) {
            throw new MalformedMessage("recent changes do not lead to revision " + revision);
        }
        return new RecentChanges(coveredFrom, entries);
    }

    /** Orders based on this revision or a later one are all known. */
    long coveredFrom() {
        return coveredFrom;
    }

    /** The entries, oldest first, as they are told and written. */
    byte[] entries() {
        return entries;
    }

    /** Adds the order that made a revision; the oldest is forgotten where there are too many. */
    RecentChanges with(long base, long made, byte[] digest) {
        if (digest.length != DIGEST_BYTES || made <= base) {
            throw new IllegalArgumentException("no change from " + base + " to " + made);
        }
        Reader oldest = new Reader(coveredFrom, entries);
        boolean full = count() >= MAX_ENTRIES && oldest.next();
        ByteArrayOutputStream all = new ByteArrayOutputStream(entries.length + DIGEST_BYTES + 2);
        all.write(entries, oldest.at, entries.length - oldest.at);
        all.writeBytes(digest);
        long step = made - base;
        while (step >= VARINT_MORE) {
            all.write((int) (step % VARINT_MORE) | VARINT_MORE);
            step >>= VARINT_BITS;
        }
        all.write((int) step);
        return new RecentChanges(full ? oldest.made : coveredFrom, all.toByteArray());
    }

    int count() {
        int count = 0;
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next()) {
            count++;
        }
        return count;
    }

    /** Looks up the order with this digest among those that were based on this revision. */
    LookupResult find(long base, byte[] digest) {
        if (base < coveredFrom) {
            return LookupResult.FORGOTTEN;
        }
        Reader reader = new Reader(coveredFrom, entries);
        while (reader.next() && reader.base <= base) {
            if (reader.base == base && reader.holds(digest)) {
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

    /** Goes through the entries in turn. */
    private static final class Reader {
        private final byte[] entries;
        private int digestAt;
        private int at;
        private long base;
        private long made;

        Reader(long coveredFrom, byte[] entries) {
            this.entries = entries;
            made = coveredFrom;
        }

        /** False at the end, and where an entry is cut short. */
        boolean next() {
            long step = 0;
            int shift = 0;
            for (int next = at + DIGEST_BYTES; next < entries.length && shift < Long.SIZE; next++) {
                step |= (long) (entries[next] & VARINT_MORE - 1) << shift;
                shift += VARINT_BITS;
                if ((entries[next] & VARINT_MORE) == 0) {
                    digestAt = at;
                    at = next + 1;
                    base = made;
                    made += step;
                    return true;
                }
            }
            return false;
        }

        boolean holds(byte[] digest) {
            return Arrays.equals(entries, digestAt, digestAt + DIGEST_BYTES, digest, 0, digest.length);
        }
    }
}
