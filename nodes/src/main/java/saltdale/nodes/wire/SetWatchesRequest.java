package saltdale.nodes.wire;

import java.util.List;

/**
 * The watches that a client asks for again after a reconnect: what has changed since {@code zxid} is told at
 * once.
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

    /** {@code all}: with the persistent ones, as the newer kind of request has them. */
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
