package saltdale.node;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import saltdale.control.MalformedMessage;

/** A message on a connection: its length in four bytes, negative where it is compressed, and behind that its bytes. */
final class Frame {
    static final int HEADER = 4;
    /** So many bytes a message may have, unpacked. */
    static final int MOST = 64 << 20;
    /** Shorter messages are not worth the time that compression takes. */
    private static final int SHORTEST_COMPRESSED = 4096;

    private Frame() {}

    /** The frame of a message; large messages that get smaller by it are compressed. */
    static ByteBuffer of(byte[] body) {
        byte[] packed = body.length < SHORTEST_COMPRESSED ? null : packed(body);
        byte[] sent = packed == null ? body : packed;
        ByteBuffer frame = ByteBuffer.allocate(HEADER + sent.length);
        return frame.putInt(packed == null ? sent.length : -sent.length)
                .put(sent)
                .flip();
    }

    /** Null where the message does not get smaller by a quarter. */
    private static byte[] packed(byte[] body) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(body);
            deflater.finish();
            byte[] packed = new byte[HEADER + body.length * 3 / 4];
            int length = deflater.deflate(packed, HEADER, packed.length - HEADER);
            if (!deflater.finished()) {
                return null;
            }
            ByteBuffer.wrap(packed).putInt(body.length);
            return Arrays.copyOf(packed, HEADER + length);
        } finally {
            deflater.end();
        }
    }

    /** Whether a header is one that {@link #of} writes. */
    static boolean isPossible(int header) {
        return header != 0 && Math.abs((long) header) <= MOST;
    }

    /** The message of a frame that has come whole. */
    static byte[] body(int header, byte[] sent) throws MalformedMessage {
        if (header > 0) {
            return sent;
        }
        int length = sent.length < HEADER ? 0 : ByteBuffer.wrap(sent).getInt();
        if (length < SHORTEST_COMPRESSED || length > MOST) {
            throw new MalformedMessage("a compressed message has an impossible length");
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(sent, HEADER, sent.length - HEADER);
            byte[] body = new byte[length];
            if (inflater.inflate(body) != length || !inflater.finished() || inflater.getRemaining() > 0) {
                throw new MalformedMessage("a compressed message has another length than it tells");
            }
            return body;
        } catch (DataFormatException e) {
            throw new MalformedMessage("a compressed message cannot be unpacked: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }
}
