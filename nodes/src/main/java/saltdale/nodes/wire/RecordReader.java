package saltdale.nodes.wire;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of one record: big-endian numbers, and length-prefixed strings, buffers and vectors. A
 * length that exceeds the record is rejected before anything is allocated for it.
 */
public final class RecordReader {
    private final ByteBuffer bytes;

    public RecordReader(byte[] record) {
        bytes = ByteBuffer.wrap(record);
    }

    /** Number of bytes not yet read. */
    public int remaining() {
        return bytes.remaining();
    }

    public int readInt() throws MalformedRecordException {
        requireBytes(4);
        return bytes.getInt();
    }

    public long readLong() throws MalformedRecordException {
        requireBytes(8);
        return bytes.getLong();
    }

    public boolean readBoolean() throws MalformedRecordException {
        requireBytes(1);
        byte value = bytes.get();
        if (value != 0 && value != 1) {
            throw new MalformedRecordException("a boolean that is neither 0 nor 1");
        }
        return value == 1;
    }

    /** Reads a buffer; null if its length is -1. */
    public byte[] readBuffer() throws MalformedRecordException {
        int length = readInt();
        if (length == -1) {
            return null;
        }
        if (length < 0 || length > bytes.remaining()) {
            throw new MalformedRecordException(
                    "a length of " + length + " where " + bytes.remaining() + " bytes are left");
        }
        byte[] value = new byte[length];
        bytes.get(value);
        return value;
    }

    /** Reads a UTF-8 string; null if its length is -1. */
    public String readString() throws MalformedRecordException {
        byte[] value = readBuffer();
        if (value == null) {
            return null;
        }
        try {
            CharBuffer chars = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(value));
            return chars.toString();
        } catch (CharacterCodingException e) {
            throw new MalformedRecordException("a string that is not valid UTF-8");
        }
    }

    /** Reads a string and checks that it is a valid node path. */
    public String readPath() throws MalformedRecordException {
        String path = readString();
        String error = Paths.validationError(path);
        if (error != null) {
            throw new MalformedRecordException("a path that " + error);
        }
        return path;
    }

    /**
     * Reads the length of a vector whose elements take at least {@code minElementBytes} bytes each; 0 if
     * it is -1.
     */
    public int readCount(int minElementBytes) throws MalformedRecordException {
        int count = readInt();
        if (count == -1) {
            return 0;
        }
        if (count < 0 || (long) count * minElementBytes > bytes.remaining()) {
            throw new MalformedRecordException(
                    "a vector of " + count + " elements where " + bytes.remaining() + " bytes are left");
        }
        return count;
    }

    public List<String> readStrings() throws MalformedRecordException {
        int count = readCount(4);
        List<String> all = new ArrayList<>(Math.min(count, 1024));
        for (int i = 0; i < count; i++) {
            all.add(readString());
        }
        return all;
    }

    /** Checks that the whole record has been read. */
    public void expectEnd() throws MalformedRecordException {
        if (bytes.hasRemaining()) {
            throw new MalformedRecordException(bytes.remaining() + " unread bytes at the end of the record");
        }
    }

    private void requireBytes(int count) throws MalformedRecordException {
        if (bytes.remaining() < count) {
            throw new MalformedRecordException("the record ends within a field");
        }
    }
}
