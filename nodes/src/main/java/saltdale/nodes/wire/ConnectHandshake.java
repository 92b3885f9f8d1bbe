package saltdale.nodes.wire;

/** The first record of each side: asking for a session, new or to be resumed, and what was response. */
public final class ConnectHandshake {
    /**
     * {@code session} 0 asks for a new one; {@code lastZxid} is the newest change that the client has seen.
     */
    public record Request(long lastZxid, int timeoutMillis, long session, byte[] password, boolean readOnly) {
        public RecordWriter write() {
            return new RecordWriter()
                    .writeInt(0)
                    .writeLong(lastZxid)
                    .writeInt(timeoutMillis)
                    .writeLong(session)
                    .writeBuffer(password)
                    .writeBoolean(readOnly);
        }

        public static Request read(byte[] record) throws MalformedRecordException {
            RecordReader in = new RecordReader(record);
            in.readInt();
            Request request = new Request(
                    in.readLong(),
                    in.readInt(),
                    in.readLong(),
                    in.readBuffer(),
                    in.remaining() > 0 && in.readBoolean()); // the oldest clients end before this flag
            in.expectEnd();
            return request;
        }
    }

    /** A time-out of 0: the session that was request for is over. */
    public record Response(int timeoutMillis, long session, byte[] password) {
        public RecordWriter write() {
            return new RecordWriter()
                    .writeInt(0)
                    .writeInt(timeoutMillis)
                    .writeLong(session)
                    .writeBuffer(password)
                    .writeBoolean(false);
        }

        public static Response read(byte[] record) throws MalformedRecordException {
            RecordReader in = new RecordReader(record);
            in.readInt();
            Response response = new Response(in.readInt(), in.readLong(), in.readBuffer());
            if (in.remaining() > 0) {
                in.readBoolean();
            }
            in.expectEnd();
            return response;
        }
    }

    private ConnectHandshake() {}
}
