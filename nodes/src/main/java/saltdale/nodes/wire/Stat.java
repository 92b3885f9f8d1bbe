package saltdale.nodes.wire;

/**
 * What a service tells of a node beside its data; times are Unix time in ms, {@code owner} 0 where it is not
 * ephemeral.
 */
public record Stat(
        long created,
        long modified,
        long createdAt,
        long modifiedAt,
        int version,
        int childVersion,
        int aclVersion,
        long owner,
        int dataLength,
        int children,
        long childrenChanged) {
    public void write(RecordWriter to) {
        to.writeLong(created)
                .writeLong(modified)
                .writeLong(createdAt)
                .writeLong(modifiedAt)
                .writeInt(version)
                .writeInt(childVersion)
                .writeInt(aclVersion)
                .writeLong(owner)
                .writeInt(dataLength)
                .writeInt(children)
                .writeLong(childrenChanged);
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
