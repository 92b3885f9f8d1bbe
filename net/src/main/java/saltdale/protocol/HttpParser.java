package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/** An incremental parser for the HTTP/1.1 messages of one direction of a connection. */
public final class HttpParser {
    /** The direction whose messages are parsed. */
    public enum Kind {
        REQUEST,
        ANSWER
    }

    /** The default limit for the body of a request. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /**
     * The default limit for the body of a response, and for one line of the discovery stream; large enough for a list
     * of some thousands of runners.
     */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    /** The default limit for the start line and the headers, and the limit for trailers. */
    public static final int MAX_HEAD_BYTES = 8 * 1024;

    private static final int MAX_HEADERS = 64;
    private static final int MAX_EMPTY_LINE_BYTES = 8; // before a message
    private static final int FIRST_HEAD_BUFFER_BYTES = 512;
    private static final int FIRST_FIXED_BODY_BYTES = 64 * 1024;
    private static final int FIRST_CHUNKED_BODY_BYTES = 512;

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

    private enum State {
        HEAD,
        FIXED_LENGTH_BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        COMPLETE,
        MALFORMED
    }

    /** Receives the parts of a body that is not buffered. */
    public interface BodySink {
        /** Consumes the next part of the body; the buffer is only valid during the call. */
        void bodyPart(ByteBuffer bytes);
    }

    /** The limits for the parts of a message that are buffered. */
    public record Limits(int maxHeadBytes, int maxBodyBytes) {}

    /** Decides whether a message may take more memory. It is asked before the memory is allocated. */
    public interface MemoryGrant {
        /** Grants memory for messages of any size. */
        MemoryGrant UNLIMITED = (headBytes, bodyBytes) -> true;

        /**
         * Returns whether the head may take {@code headBytes} and the body {@code bodyBytes} in all. If not, the
         * message is rejected with status 503.
         */
        boolean tryHold(long headBytes, long bodyBytes);
    }

    private final Kind kind;
    private final BodySink sink;
    private Limits limits;
    private MemoryGrant memoryGrant = MemoryGrant.UNLIMITED;
    private State state = State.HEAD;
    private byte[] headBuffer = new byte[FIRST_HEAD_BUFFER_BYTES];
    private int headBytes;
    private int emptyLineBytes;
    private byte previousByte;
    private byte[] body = EMPTY_BODY;
    private int bodyBytes;
    private final ChunkSizeLine chunkSizeLine = new ChunkSizeLine();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(0); // of the trailer
    private int trailerBytes;
    private long remainingBytes;
    private Head head;
    private boolean bodyUntilClose;
    private int errorStatus;
    private String errorMessage;

    /** Creates a parser that buffers bodies up to the default limit of the direction. */
    public HttpParser(Kind kind) {
        this(kind, null);
    }

    /** Creates a parser that passes bodies of any length to the sink, or buffers them if the sink is null. */
    public HttpParser(Kind kind, BodySink sink) {
        this.kind = kind;
        this.sink = sink;
        limits = new Limits(MAX_HEAD_BYTES, kind == Kind.REQUEST ? MAX_REQUEST_BODY_BYTES : MAX_RESPONSE_BODY_BYTES);
    }

    /** Sets the limits that apply from the next message on. */
    public void setLimits(Limits next) {
        limits = next;
    }

    /** Sets what decides about the memory of this message and the next ones. */
    public void setMemoryGrant(MemoryGrant grant) {
        memoryGrant = grant;
    }

    /** Parses input until the message is complete or malformed; bytes after its end stay in the buffer. */
    public void parse(ByteBuffer bytes) {
        while (state != State.COMPLETE && state != State.MALFORMED && bytes.hasRemaining()) {
            switch (state) {
                case HEAD -> readHead(bytes);
                case FIXED_LENGTH_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> readBody(bytes);
                case CHUNK_SIZE -> readChunkSize(bytes);
                case CHUNK_END -> readChunkEnd(bytes);
                default -> readTrailerLine(bytes);
            }
        }
    }

    /** Signals that the peer has closed the connection; this completes only a body that extends until the close. */
    public void endOfInput() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
    }

    /** Returns whether the message has been received completely. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns whether the input was rejected; see {@link #errorStatus} and {@link #errorMessage}. */
    public boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Returns whether the message states the end of its body, so that a truncated body can be recognized. */
    public boolean isBodyDelimited() {
        return !bodyUntilClose;
    }

    /** Returns whether no byte of a message has been received yet. */
    public boolean isAtStart() {
        return state == State.HEAD && headBytes + emptyLineBytes == 0;
    }

    /** Returns the head once it has been received completely, or null before. */
    public Head head() {
        return head;
    }

    /** Returns the method of the request that arrives, or an empty string while that has not arrived completely. */
    public String receivedMethod() {
        int received = Math.min(headBytes, headBuffer.length);
        int end = 0;
        while (end < received && headBuffer[end] != ' ') {
            end++;
        }
        return end == received ? "" : decode(headBuffer, 0, end);
    }

    /** Returns the buffered body. */
    public byte[] body() {
        return bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes);
    }

    /**
     * Returns how many bytes the buffered body takes as far as that is known: its length if the head states it, and
     * otherwise what is allocated for what has arrived, with the rest of the current chunk.
     */
    public long bodyBytesKnown() {
        boolean isInBody = state == State.FIXED_LENGTH_BODY || state == State.CHUNK_DATA;
        return sink != null ? 0 : Math.max(body.length, bodyBytes + (isInBody ? remainingBytes : 0));
    }

    /** Returns how many bytes are allocated for the message that arrives. */
    public long allocatedBytes() {
        return headBuffer.length + body.length;
    }

    /** Returns why the message was rejected. */
    public String errorMessage() {
        return errorMessage;
    }

    /** Returns the status code with which to reject the request. */
    public int errorStatus() {
        return errorStatus;
    }

    /** Resets the parser for the next message on the connection. */
    public void startNextMessage() {
        state = State.HEAD;
        headBytes = 0;
        emptyLineBytes = 0;
        previousByte = 0;
        resetHeadBuffer();
        body = EMPTY_BODY;
        bodyBytes = 0;
        line.reset();
        trailerBytes = 0;
        bodyUntilClose = false;
        head = null;
    }

    /**
     * Lets go of a large buffer, so that connections with a body to come, or idle ones, use little memory. Its
     * beginning, with the method, is kept.
     */
    private void resetHeadBuffer() {
        if (headBuffer.length > FIRST_HEAD_BUFFER_BYTES) {
            headBuffer = Arrays.copyOf(headBuffer, FIRST_HEAD_BUFFER_BYTES);
        }
    }

    private boolean tryHold(long neededHeadBytes, long neededBodyBytes) {
        if (memoryGrant.tryHold(neededHeadBytes, neededBodyBytes)) {
            return true;
        }
        reject(503, "too much is being received");
        return false;
    }

    private void reject(int status, String message) {
        state = State.MALFORMED;
        errorStatus = status;
        errorMessage = message;
    }

    // Head

    private void readHead(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            // Rejects line ends that another parser could interpret differently, and rejects input that cannot be a
            // head at once instead of waiting for its end.
            if ((previousByte == '\r') != (b == '\n') || b >= 0 && b < ' ' && "\t\r\n".indexOf(b) < 0 || b == 127) {
                reject(400, "invalid line end or control character in the head");
                return;
            }
            previousByte = b;
            if (headBytes == 0 && (b == '\r' || b == '\n')) {
                if (++emptyLineBytes > MAX_EMPTY_LINE_BYTES) { // a few empty lines before a message are ignored
                    reject(400, "too many empty lines before the message");
                    return;
                }
                continue;
            }
            if (headBytes >= limits.maxHeadBytes) {
                reject(431, "head is too long");
                return;
            }
            if (headBytes == headBuffer.length && !growHeadBuffer()) {
                return;
            }
            headBuffer[headBytes++] = b;
            if (b == '\n'
                    && headBytes >= 4
                    && headBuffer[headBytes - 2] == '\r'
                    && headBuffer[headBytes - 3] == '\n'
                    && headBuffer[headBytes - 4] == '\r') {
                parseHead();
                return;
            }
        }
    }

    private boolean growHeadBuffer() {
        int capacity = Math.min(2 * headBuffer.length, limits.maxHeadBytes);
        if (!tryHold(capacity, 0)) {
            return false;
        }
        headBuffer = Arrays.copyOf(headBuffer, capacity);
        return true;
    }

    private void parseHead() {
        byte[] raw = Arrays.copyOf(headBuffer, headBytes);
        resetHeadBuffer();
        int end = lineEnd(raw, 0);
        String[] parts = decode(raw, 0, end).split(" ", kind == Kind.REQUEST ? -1 : 3);
        if (kind == Kind.REQUEST) {
            if (parts.length != 3
                    || !isToken(parts[0])
                    || !parts[1].startsWith("/")
                    || !isPrintable(parts[1])
                    || !VERSION.matcher(parts[2]).matches()) {
                reject(400, "malformed request line");
                return;
            }
        } else if (parts.length < 2
                || !VERSION.matcher(parts[0]).matches()
                || !STATUS.matcher(parts[1]).matches()) {
            reject(400, "malformed status line");
            return;
        }
        Head parsed = new Head(raw, parts[0], parts[1], parts.length > 2 ? parts[2] : "");
        for (int start = end + 2; start < raw.length - 2; start = end + 2) {
            end = lineEnd(raw, start);
            String header = decode(raw, start, end);
            int colon = header.indexOf(':');
            if (colon < 0 || !isToken(header.substring(0, colon))) {
                reject(400, "malformed header");
                return;
            } else if (parsed.headers.size() == MAX_HEADERS) {
                reject(431, "too many headers");
                return;
            }
            parsed.headers.add(new Head.HeaderLine(
                    header.substring(0, colon), header.substring(colon + 1).strip(), start, end));
        }
        determineFraming(parsed);
    }

    /** Determines the length of the body; headers that allow for more than one length are rejected. */
    private void determineFraming(Head parsed) {
        String coding = null;
        String length = null;
        for (Head.HeaderLine each : parsed.headers) {
            if (each.name().equalsIgnoreCase("Transfer-Encoding")) {
                coding = coding == null ? each.value() : coding + "," + each.value();
            } else if (each.name().equalsIgnoreCase("Content-Length")) {
                if (length != null && !length.equals(each.value())
                        || !LENGTH.matcher(each.value()).matches()) {
                    reject(400, "malformed or conflicting Content-Length");
                    return;
                }
                length = each.value();
            }
        }
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            reject(400, "ambiguous framing of the body");
            return;
        }
        if (kind == Kind.ANSWER && parsed.status() < 200) {
            startNextMessage(); // skips an interim response
            return;
        }
        head = parsed;
        boolean withoutBody = kind == Kind.ANSWER && (parsed.status() == 204 || parsed.status() == 304);
        if (coding != null && !withoutBody) {
            startChunk();
        } else if (length == null && kind == Kind.ANSWER && !withoutBody) {
            state = State.BODY_UNTIL_CLOSE;
            bodyUntilClose = true;
        } else {
            remainingBytes = length == null || withoutBody ? 0 : Long.parseLong(length);
            state = remainingBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH_BODY;
        }
        rejectUnlessBodyFits(state == State.FIXED_LENGTH_BODY ? remainingBytes : 0);
    }

    // Body

    /** Rejects the message if further bytes of its body exceed its limit, or if their memory is not granted. */
    private boolean rejectUnlessBodyFits(long additionalBytes) {
        if (sink != null) {
            return false;
        } else if (bodyBytes + additionalBytes > limits.maxBodyBytes) {
            reject(413, "body is too long");
            return true;
        }
        return !tryHold(head.memoryBytes(), Math.max(body.length, bodyBytes + additionalBytes));
    }

    /**
     * Makes room for further bytes of the body. Larger arrays are allocated only as the bytes arrive, and none is
     * larger than the body can become. Returns false if the message was rejected.
     */
    private boolean ensureBodyCapacity(int additionalBytes) {
        int needed = bodyBytes + additionalBytes;
        if (needed <= body.length) {
            return true;
        }
        boolean isLengthKnown = state == State.FIXED_LENGTH_BODY;
        long largest = isLengthKnown ? bodyBytes + remainingBytes : limits.maxBodyBytes;
        int first = isLengthKnown ? FIRST_FIXED_BODY_BYTES : FIRST_CHUNKED_BODY_BYTES;
        int capacity = (int) Math.max(needed, Math.min(largest, Math.max(2L * body.length, first)));
        if (!isLengthKnown && !tryHold(head.memoryBytes(), capacity)) {
            return false;
        }
        body = Arrays.copyOf(body, capacity);
        return true;
    }

    private void readBody(ByteBuffer bytes) {
        int size = (int)
                (state == State.BODY_UNTIL_CLOSE ? bytes.remaining() : Math.min(remainingBytes, bytes.remaining()));
        if (state == State.BODY_UNTIL_CLOSE && rejectUnlessBodyFits(size)) {
            return;
        }
        if (sink != null) {
            ByteBuffer part = bytes.slice(bytes.position(), size);
            bytes.position(bytes.position() + size);
            sink.bodyPart(part);
        } else if (ensureBodyCapacity(size)) {
            bytes.get(body, bodyBytes, size);
            bodyBytes += size;
        } else {
            return;
        }
        if (state != State.BODY_UNTIL_CLOSE) {
            remainingBytes -= size;
            if (remainingBytes == 0) {
                state = state == State.FIXED_LENGTH_BODY ? State.COMPLETE : State.CHUNK_END;
                previousByte = 0;
            }
        }
    }

    /** Reads the line with the size of a chunk. */
    private void readChunkSize(ByteBuffer bytes) {
        switch (chunkSizeLine.read(bytes)) {
            case INCOMPLETE -> {
                // the rest follows
            }
            case COMPLETE -> {
                remainingBytes = chunkSizeLine.size();
                state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
                rejectUnlessBodyFits(remainingBytes);
            }
            case MALFORMED_SIZE -> reject(400, "malformed chunk size");
            case MALFORMED_END -> reject(400, "malformed line in the chunked body");
            case TOO_LONG -> reject(400, "line in the chunked body is too long");
        }
    }

    private void startChunk() {
        state = State.CHUNK_SIZE;
        chunkSizeLine.start();
    }

    /** Reads the line end after a chunk. */
    private void readChunkEnd(ByteBuffer bytes) {
        while (bytes.hasRemaining() && state == State.CHUNK_END) {
            byte b = bytes.get();
            if (b != (previousByte == '\r' ? '\n' : '\r')) {
                reject(400, "chunk is longer than its size");
            } else if (b == '\n') {
                startChunk();
            }
            previousByte = b;
        }
    }

    /** Reads a trailer line. */
    private void readTrailerLine(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] raw = line.toByteArray();
                line.reset();
                if (raw.length == 0 || raw[raw.length - 1] != '\r') {
                    reject(400, "malformed line in the chunked body");
                } else {
                    endTrailerLine(raw.length - 1);
                }
                return;
            }
            line.write(b);
            if (line.size() > ChunkSizeLine.MAX_LINE_BYTES) {
                reject(400, "line in the chunked body is too long");
                return;
            }
        }
    }

    private void endTrailerLine(int length) {
        trailerBytes += length;
        if (trailerBytes > MAX_HEAD_BYTES) {
            reject(431, "trailer is too long");
        } else if (length == 0) {
            state = State.COMPLETE;
        }
    }

    // Characters

    private static int lineEnd(byte[] bytes, int start) {
        int i = start;
        while (bytes[i] != '\r' || bytes[i + 1] != '\n') {
            i++;
        }
        return i;
    }

    private static String decode(byte[] bytes, int start, int end) {
        return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
    }

    private static boolean isToken(String text) {
        return !text.isEmpty()
                && isPrintable(text)
                && text.chars().noneMatch(c -> "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0);
    }

    private static boolean isPrintable(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
