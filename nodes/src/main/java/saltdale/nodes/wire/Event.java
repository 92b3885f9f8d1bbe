package saltdale.nodes.wire;

/** A watch event. */
public record Event(Kind kind, String path) {
    /** The event types, with their codes in the protocol. */
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

    /** KeeperState SyncConnected, which goes with each event of a live session. */
    private static final int SYNC_CONNECTED = 3;

    public void write(RecordWriter to) {
        to.writeInt(kind.code).writeInt(SYNC_CONNECTED).writeString(path);
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
