package saltdale.protocol;

import java.nio.ByteBuffer;

/**
 * The line before a chunk of a body: its size in hexadecimal digits and extensions, which are skipped. It is read from
 * any split of bytes. Chunks may be of one byte, so nothing is allocated for a line.
 */
final class ChunkSizeLine {
    /** The longest line of a chunked body, without its line feed. */
    static final int MAX_LINE_BYTES = 1024;

    private static final int MAX_SIZE_DIGITS = 8;

    /** How far the line has been read, or why it is rejected. */
    enum Result {
        INCOMPLETE,
        COMPLETE,
        MALFORMED_SIZE,
        MALFORMED_END,
        TOO_LONG
    }

    private enum Part {
        SIZE,
        SPACE,
        EXTENSION
    }

    private Part part;
    private int lineBytes;
    private int sizeDigits;
    private long size;
    private byte previousByte;

    /** Begins the next line. */
    void start() {
        part = Part.SIZE;
        lineBytes = 0;
        sizeDigits = 0;
        size = 0;
        previousByte = 0;
    }

    /** Returns the size of the chunk, once the line is complete. */
    long size() {
        return size;
    }

    /** Reads until the line ends or is rejected, or the input is used up. */
    Result read(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            // A lone carriage return or line feed could be a line end to another parser.
            if ((previousByte == '\r') != (b == '\n')) {
                return Result.MALFORMED_END;
            } else if (b == '\n') {
                return sizeDigits == 0 ? Result.MALFORMED_SIZE : Result.COMPLETE;
            } else if (++lineBytes > MAX_LINE_BYTES) {
                return Result.TOO_LONG;
            } else if (b != '\r' && !accept(b)) {
                return Result.MALFORMED_SIZE;
            }
            previousByte = b;
        }
        return Result.INCOMPLETE;
    }

    /** Takes a byte of the line; returns false if it does not belong there. */
    private boolean accept(byte b) {
        int digit = Character.digit(b, 16);
        if (part == Part.SIZE && digit >= 0 && sizeDigits < MAX_SIZE_DIGITS) {
            size = 16 * size + digit;
            sizeDigits++;
        } else if (part == Part.EXTENSION || b == ';') {
            part = Part.EXTENSION;
        } else if (b == ' ' || b == '\t') {
            part = Part.SPACE;
        } else {
            return false;
        }
        return true;
    }
}
