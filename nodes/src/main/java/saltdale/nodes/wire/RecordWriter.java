package saltdale.nodes.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Writes the fields of one record, and frames it with its length. */
public final class RecordWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(64);

    public RecordWriter number(int value) {
        out.write(value >>> 24);
        out.write(value >>> 16);
        out.write(value >>> 8);
        out.write(value);
        return this;
    }

    public RecordWriter longNumber(long value) {
        return number((int) (value >>> 32)).number((int) value);
    }

    public RecordWriter flag(boolean value) {
        out.write(value ? 1 : 0);
        return this;
    }

    public RecordWriter buffer(byte[] value) {
        if (value == null) {
            return number(-1);
        }
        number(value.length);
        out.write(value, 0, value.length);
        return this;
    }

    public RecordWriter text(String value) {
        return buffer(value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }

    public RecordWriter texts(Collection<String> values) {
        number(values.size());
        values.forEach(this::text);
        return this;
    }

    public byte[] record() {
        return out.toByteArray();
    }

    /** The record with its length before it. */
    public ByteBuffer framed() {
        ByteBuffer all = ByteBuffer.allocate(4 + out.size());
        return all.putInt(out.size()).put(out.toByteArray()).flip();
    }
}
