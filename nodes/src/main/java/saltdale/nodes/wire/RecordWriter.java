package saltdale.nodes.wire;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Writes the fields of one record, and optionally prefixes it with its length. */
public final class RecordWriter {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(64);

    public RecordWriter writeInt(int value) {
        out.write(value >>> 24);
        out.write(value >>> 16);
        out.write(value >>> 8);
        out.write(value);
        return this;
    }

    public RecordWriter writeLong(long value) {
        return writeInt((int) (value >>> 32)).writeInt((int) value);
    }

    public RecordWriter writeBoolean(boolean value) {
        out.write(value ? 1 : 0);
        return this;
    }

    public RecordWriter writeBuffer(byte[] value) {
        if (value == null) {
            return writeInt(-1);
        }
        writeInt(value.length);
        out.write(value, 0, value.length);
        return this;
    }

    public RecordWriter writeString(String value) {
        return writeBuffer(value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }

    public RecordWriter writeStrings(Collection<String> values) {
        writeInt(values.size());
        values.forEach(this::writeString);
        return this;
    }

    /** The record without a length prefix. */
    public byte[] record() {
        return out.toByteArray();
    }

    /** The record prefixed with its length. */
    public ByteBuffer framed() {
        ByteBuffer all = ByteBuffer.allocate(4 + out.size());
        return all.putInt(out.size()).put(out.toByteArray()).flip();
    }
}
