package saltdale.nodes.wire;

/**
 * The connect request and connect response: the first record of each side, which opens a session or
 * resumes one.
 */
public final class ConnectHandshake {
    /**
     * The connect request. A {@code session} of 0 requests a new session; {@code lastZxid} is the newest
     * zxid that the client has seen.
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
                    in.remaining() > 0 && in.readBoolean()); // the oldest clients omit this flag
            in.expectEnd();
            return request;
        }
    }

    /** The connect response. A {@code timeoutMillis} of 0 means that the requested session has expired. */
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
