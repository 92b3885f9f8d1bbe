package saltdale.nodes.wire;

/**
 * Metadata of a node. Times are Unix time in ms; {@code ephemeralOwner} is the owning session of an ephemeral node
 * and 0 for other nodes.
 */
public record Stat(
        long czxid,
        long mzxid,
        long ctimeMillis,
        long mtimeMillis,
        int version,
        int cversion,
        int aversion,
        long ephemeralOwner,
        int dataLength,
        int numChildren,
        long pzxid) {
    public void write(RecordWriter to) {
        to.writeLong(czxid)
                .writeLong(mzxid)
                .writeLong(ctimeMillis)
                .writeLong(mtimeMillis)
                .writeInt(version)
                .writeInt(cversion)
                .writeInt(aversion)
                .writeLong(ephemeralOwner)
                .writeInt(dataLength)
                .writeInt(numChildren)
                .writeLong(pzxid);
    }

    public static Stat read(RecordReader from) throws MalformedRecordException {
        return new Stat(
                from.readLong(),
                from.readLong(),
                from.readLong(),
                from.readLong(),
                from.readInt(),
                from.readInt(),
                from.readInt(),
                from.readLong(),
                from.readInt(),
                from.readInt(),
                from.readLong());
    }
}
