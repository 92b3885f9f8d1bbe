package saltdale.node;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import saltdale.control.MalformedMessage;

/**
 * The framing of messages on a connection: the length of the payload in four bytes, negated if the payload is
 * compressed, followed by the payload.
 */
final class Frame {
    static final int HEADER_BYTES = 4;
    /** The maximum size of a message, uncompressed. */
    static final int MAX_MESSAGE_BYTES = 64 << 20;
    /** Shorter messages are not compressed, since that would not be worth the processor time. */
    private static final int MIN_COMPRESSED_BYTES = 4096;

    private Frame() {}

    /** Returns the frame of a message. Large messages are compressed if that makes them smaller. */
    static ByteBuffer encode(byte[] message) {
        byte[] compressed = message.length < MIN_COMPRESSED_BYTES ? null : compress(message);
        byte[] payload = compressed == null ? message : compressed;
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        return frame.putInt(compressed == null ? payload.length : -payload.length)
                .put(payload)
                .flip();
    }

    /** Compresses a message; returns null if that does not save a quarter of its size. */
    private static byte[] compress(byte[] message) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(message);
            deflater.finish();
            byte[] compressed = new byte[HEADER_BYTES + message.length * 3 / 4];
            int length = deflater.deflate(compressed, HEADER_BYTES, compressed.length - HEADER_BYTES);
            if (!deflater.finished()) {
                return null;
            }
            ByteBuffer.wrap(compressed).putInt(message.length);
            return Arrays.copyOf(compressed, HEADER_BYTES + length);
        } finally {
            deflater.end();
        }
    }

    /** Returns whether {@link #encode} can have written this header. */
    static boolean isValidHeader(int header) {
        return header != 0 && Math.abs((long) header) <= MAX_MESSAGE_BYTES;
    }

    /** Returns the message of a complete frame. */
    static byte[] decode(int header, byte[] payload) throws MalformedMessage {
        if (header > 0) {
            return payload;
        }
        int length =
                payload.length < HEADER_BYTES ? 0 : ByteBuffer.wrap(payload).getInt();
        if (length < MIN_COMPRESSED_BYTES || length > MAX_MESSAGE_BYTES) {
            throw new MalformedMessage("compressed message has an invalid length");
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(payload, HEADER_BYTES, payload.length - HEADER_BYTES);
            byte[] message = new byte[length];
            if (inflater.inflate(message) != length || !inflater.finished() || inflater.getRemaining() > 0) {
                throw new MalformedMessage("compressed message does not have the length that it declares");
            }
            return message;
        } catch (DataFormatException e) {
            throw new MalformedMessage("compressed message cannot be decompressed: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
