package saltdale.nodes.wire;

/** What a watch tells. */
public record Event(Kind kind, String path) {
    /** The kinds, by the protocol's numbers. */
    public enum Kind {
        NONE(-1),
        CREATED(1),
        DELETED(2),
        DATA_CHANGED(3),
        CHILDREN_CHANGED(4);

        public final int code;

        Kind(int code) {
            this.code = code;
        }
    }

    private static final int CONNECTED = 3; // the state that goes with each event of a live session

    public void write(RecordWriter to) {
        to.number(kind.code).number(CONNECTED).text(path);
    }

    public static Event read(RecordReader from) throws Malformed {
        int code = from.number();
        from.number();
        String path = from.text();
        for (Kind each : Kind.values()) {
            if (each.code == code) {
                return new Event(each, path);
            }
        }
        throw new Malformed("an event of kind " + code);
    }
}
