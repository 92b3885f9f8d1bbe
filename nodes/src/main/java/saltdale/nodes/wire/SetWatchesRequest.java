package saltdale.nodes.wire;

import java.util.List;

/**
 * The watches that a client sets again after a reconnect. Those on nodes that have changed since {@code
 * zxid} fire at once.
 */
public record SetWatchesRequest(
        long zxid,
        List<String> data,
        List<String> exist,
        List<String> children,
        List<String> persistent,
        List<String> recursive) {
    public void write(RecordWriter to) {
        to.writeLong(zxid)
                .writeStrings(data)
                .writeStrings(exist)
                .writeStrings(children)
                .writeStrings(persistent)
                .writeStrings(recursive);
    }

    /**
     * {@code withPersistent}: whether the record has the persistent and recursive watches, as SET_WATCHES2
     * does.
     */
    public static SetWatchesRequest read(RecordReader in, boolean withPersistent) throws MalformedRecordException {
        return new SetWatchesRequest(
                in.readLong(),
                in.readStrings(),
                in.readStrings(),
                in.readStrings(),
                withPersistent ? in.readStrings() : List.of(),
                withPersistent ? in.readStrings() : List.of());
    }
}
