package saltdale.nodes.wire;

/** The first record of each side: asking for a session, new or to be resumed, and what was granted. */
public final class Opening {
    /**
     * {@code session} 0 asks for a new one; {@code lastZxid} is the newest change that the client has seen.
     */
    public record Asked(long lastZxid, int timeoutMillis, long session, byte[] password, boolean readOnly) {
        public RecordWriter write() {
            return new RecordWriter()
                    .number(0)
                    .longNumber(lastZxid)
                    .number(timeoutMillis)
                    .longNumber(session)
                    .buffer(password)
                    .flag(readOnly);
        }

        public static Asked read(byte[] record) throws Malformed {
            RecordReader in = new RecordReader(record);
            in.number();
            Asked asked = new Asked(
                    in.longNumber(),
                    in.number(),
                    in.longNumber(),
                    in.buffer(),
                    in.remaining() > 0 && in.flag()); // the oldest clients end before this flag
            in.end();
            return asked;
        }
    }

    /** A time-out of 0: the session that was asked for is over. */
    public record Granted(int timeoutMillis, long session, byte[] password) {
        public RecordWriter write() {
            return new RecordWriter()
                    .number(0)
                    .number(timeoutMillis)
                    .longNumber(session)
                    .buffer(password)
                    .flag(false);
        }

        public static Granted read(byte[] record) throws Malformed {
            RecordReader in = new RecordReader(record);
            in.number();
            Granted granted = new Granted(in.number(), in.longNumber(), in.buffer());
            if (in.remaining() > 0) {
                in.flag();
            }
            in.end();
            return granted;
        }
    }

    private Opening() {}
}
