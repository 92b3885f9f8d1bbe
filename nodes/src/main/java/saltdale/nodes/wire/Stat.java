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
        to.longNumber(created)
                .longNumber(modified)
                .longNumber(createdAt)
                .longNumber(modifiedAt)
                .number(version)
                .number(childVersion)
                .number(aclVersion)
                .longNumber(owner)
                .number(dataLength)
                .number(children)
                .longNumber(childrenChanged);
    }

    public static Stat read(RecordReader from) throws Malformed {
        return new Stat(
                from.longNumber(),
                from.longNumber(),
                from.longNumber(),
                from.longNumber(),
                from.number(),
                from.number(),
                from.number(),
                from.longNumber(),
                from.number(),
                from.number(),
                from.longNumber());
    }
}
