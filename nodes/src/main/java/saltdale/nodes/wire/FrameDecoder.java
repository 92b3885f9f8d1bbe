package saltdale.nodes.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Consumer;

/** Extracts length-prefixed records from a byte stream that arrives in arbitrary chunks. */
public final class FrameDecoder {
    private final int maxRecordBytes;
    private final Consumer<byte[]> consumer;
    private final byte[] length = new byte[4];
    private int lengthBytesRead;
    private byte[] record;
    private int bytesRead;
    private int recordLength;
    private String error;

    /** {@code maxRecordBytes}: a longer record is an error, detected before anything is allocated for it. */
    public FrameDecoder(int maxRecordBytes, Consumer<byte[]> consumer) {
        this.maxRecordBytes = maxRecordBytes;
        this.consumer = consumer;
    }

    /** The error after which no more input is decoded; null if there is none. */
    public String error() {
        return error;
    }

    /** Decodes the next chunk and passes each completed record to the consumer. */
    public void decode(ByteBuffer bytes) {
        while (error == null && bytes.hasRemaining()) {
            if (record == null) {
                length[lengthBytesRead++] = bytes.get();
                if (lengthBytesRead == 4) {
                    beginRecord(ByteBuffer.wrap(length).getInt());
                }
            } else {
                // The buffer grows with the bytes received, to guard against a declared length whose bytes
                // are never sent.
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
            error = "a record of " + declaredLength + " bytes; at most " + maxRecordBytes;
            return;
        }
        recordLength = declaredLength;
        bytesRead = 0;
        record = new byte[Math.min(declaredLength, 4096)];
    }
}
