package saltdale.nodes.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Takes length-framed records out of bytes that come in any pieces. */
public final class Frames {
    private final int most;
    private final Consumer<byte[]> whole;
    private final byte[] length = new byte[4];
    private int lengthCount;
    private byte[] record;
    private int count;
    private int wanted;
    private String fault;

    /** {@code most}: bytes of a record; a longer one is a fault, before anything is allocated for it. */
    public Frames(int most, Consumer<byte[]> whole) {
        this.most = most;
        this.whole = whole;
    }

    /** What is wrong, after which nothing more is taken; null while all is well. */
    public String fault() {
        return fault;
    }

    public void take(ByteBuffer bytes) {
        while (fault == null && bytes.hasRemaining()) {
            if (record == null) {
                length[lengthCount++] = bytes.get();
                if (lengthCount == 4) {
                    begin(ByteBuffer.wrap(length).getInt());
                }
            } else {
                // Grows with what comes: guards against a length that is told and never sent.
                int part = Math.min(bytes.remaining(), record.length - count);
                bytes.get(record, count, part);
                count += part;
                if (count == record.length && count < wanted) {
                    record = Arrays.copyOf(record, Math.min(wanted, record.length * 2));
                }
            }
            if (record != null && count == wanted) {
                byte[] done = record;
                record = null;
                lengthCount = 0;
                whole.accept(done);
            }
        }
    }

    private void begin(int told) {
        if (told < 0 || told > most) {
            fault = "a record of " + told + " bytes; at most " + most;
            return;
        }
        wanted = told;
        count = 0;
        record = new byte[Math.min(told, 4096)];
    }
}
