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
        to.writeInt(kind.code).writeInt(CONNECTED).writeString(path);
    }

    public static Event read(RecordReader from) throws MalformedRecordException {
        int code = from.readInt();
        from.readInt();
        String path = from.readString();
        for (Kind each : Kind.values()) {
            if (each.code == code) {
                return new Event(each, path);
            }
        }
        throw new MalformedRecordException("an event of kind " + code);
    }
}
