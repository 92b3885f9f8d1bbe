package saltdale.nodes.wire;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of one record: big-endian numbers, and texts, buffers and vectors with their length before
 * them. Nothing is allocated by a length that the record cannot hold.
 */
public final class RecordReader {
    private final ByteBuffer bytes;

    public RecordReader(byte[] record) {
        bytes = ByteBuffer.wrap(record);
    }

    public int remaining() {
        return bytes.remaining();
    }

    public int number() throws Malformed {
        need(4);
        return bytes.getInt();
    }

    public long longNumber() throws Malformed {
        need(8);
        return bytes.getLong();
    }

    public boolean flag() throws Malformed {
        need(1);
        byte value = bytes.get();
        if (value != 0 && value != 1) {
            throw new Malformed("a flag that is neither 0 nor 1");
        }
        return value == 1;
    }

    /** A buffer; null where its length is -1. */
    public byte[] buffer() throws Malformed {
        int length = number();
        if (length == -1) {
            return null;
        }
        if (length < 0 || length > bytes.remaining()) {
            throw new Malformed("a length of " + length + " where " + bytes.remaining() + " bytes are left");
        }
        byte[] value = new byte[length];
        bytes.get(value);
        return value;
    }

    /** A text in UTF-8; null where its length is -1. */
    public String text() throws Malformed {
        byte[] value = buffer();
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
            throw new Malformed("a text that is no UTF-8");
        }
    }

    public String path() throws Malformed {
        String path = text();
        String fault = Paths.fault(path);
        if (fault != null) {
            throw new Malformed("a path that " + fault);
        }
        return path;
    }

    /** So many elements follow, of at least {@code least} bytes each; 0 for a vector of length -1. */
    public int count(int least) throws Malformed {
        int count = number();
        if (count == -1) {
            return 0;
        }
        if (count < 0 || (long) count * least > bytes.remaining()) {
            throw new Malformed("a vector of " + count + " where " + bytes.remaining() + " bytes are left");
        }
        return count;
    }

    public List<String> texts() throws Malformed {
        int count = count(4);
        List<String> all = new ArrayList<>(Math.min(count, 1024));
        for (int i = 0; i < count; i++) {
            all.add(text());
        }
        return all;
    }

    /** Nothing may be left. */
    public void end() throws Malformed {
        if (bytes.hasRemaining()) {
            throw new Malformed(bytes.remaining() + " bytes after the record's end");
        }
    }

    private void need(int count) throws Malformed {
        if (bytes.remaining() < count) {
            throw new Malformed("the record ends within a field");
        }
    }
}
