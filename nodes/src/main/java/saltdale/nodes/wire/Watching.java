package saltdale.nodes.wire;

import java.util.List;

/**
 * The watches that a client asks for again after a reconnect: what has changed since {@code zxid} is told at
 * once.
 */
public record Watching(
        long zxid,
        List<String> data,
        List<String> exist,
        List<String> children,
        List<String> persistent,
        List<String> recursive) {
    public void write(RecordWriter to) {
        to.longNumber(zxid)
                .texts(data)
                .texts(exist)
                .texts(children)
                .texts(persistent)
                .texts(recursive);
    }

    /** {@code all}: with the persistent ones, as the newer kind of request has them. */
    public static Watching read(RecordReader in, boolean all) throws Malformed {
        return new Watching(
                in.longNumber(),
                in.texts(),
                in.texts(),
                in.texts(),
                all ? in.texts() : List.of(),
                all ? in.texts() : List.of());
    }
}
