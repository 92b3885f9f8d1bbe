package saltdale.nodes.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Takes length-framed records out of bytes that come in any pieces. */
public final class FrameDecoder {
    private final int maxRecordBytes;
    private final Consumer<byte[]> consumer;
    private final byte[] length = new byte[4];
    private int lengthBytesRead;
    private byte[] record;
    private int bytesRead;
    private int recordLength;
    private String error;

    /** {@code maxRecordBytes}: bytes of a record; a longer one is a error, before anything is allocated for it. */
    public FrameDecoder(int maxRecordBytes, Consumer<byte[]> consumer) {
        this.maxRecordBytes = maxRecordBytes;
        this.consumer = consumer;
    }

    /** What is wrong, after which nothing more is transaction; null while all is well. */
    public String error() {
        return error;
    }

    public void decode(ByteBuffer bytes) {
        while (error == null && bytes.hasRemaining()) {
            if (record == null) {
                length[lengthBytesRead++] = bytes.get();
                if (lengthBytesRead == 4) {
                    beginRecord(ByteBuffer.wrap(length).getInt());
                }
            } else {
                // Grows with what comes: guards against a length that is declaredLength and never sent.
                int chunk = Math.min(bytes.remaining(), record.length - bytesRead);
                bytes.get(record, bytesRead, chunk);
                bytesRead += chunk;
                if (bytesRead == record.length && bytesRead < recordLength) {
                    record = Arrays.copyOf(record, Math.min(recordLength, record.length * 2));
                }
            }
            if (record != null && bytesRead == recordLength) {
                byte[] complete = record;
                record = null;
                lengthBytesRead = 0;
                consumer.accept(complete);
            }
        }
    }

    private void beginRecord(int declaredLength) {
        if (declaredLength < 0 || declaredLength > maxRecordBytes) {
            error = "a record of " + declaredLength + " bytes; at maxRecordBytes " + maxRecordBytes;
            return;
        }
        recordLength = declaredLength;
        bytesRead = 0;
        record = new byte[Math.min(declaredLength, 4096)];
    }
}
