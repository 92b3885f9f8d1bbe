package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.regex.Pattern;

/** Reads HTTP/1.1 messages of one direction from bytes that come in any pieces. */
public final class HttpParser {
    /** The direction whose messages are read. */
    public enum Kind {
        REQUEST,
        ANSWER
    }

    public static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;
    /** Of an answer, such as a list of runners, and of a line of discovery's: some thousands of them. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1024 * 1024;

    public static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_HEADERS = 64; // in a head
    private static final int MAX_EMPTY_LINE_BYTES = 8; // bytes of empty lines before a message
    private static final int MAX_CHUNK_LINE_BYTES = 1024; // of a chunk's size

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");
    private static final Pattern CHUNK_LENGTH = Pattern.compile("[0-9a-fA-F]{1,8}");

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

    /** Takes the parts of a body that is not to be gathered. */
    public interface BodySink {
        void bodyPart(ByteBuffer bytes);
    }

    /** How long what is gathered may be, in bytes. */
    public record Limits(int maxHeadBytes, int maxBodyBytes) {}

    private final Kind kind;
    private final BodySink sink;
    private Limits limits;
    private State state = State.HEAD;
    private byte[] headBuffer = new byte[512];
    private int headBytes;
    private int emptyLineBytes;
    private byte previousByte; // the byte that came before this one
    private byte[] body = EMPTY_BODY;
    private int bodyBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
    private int trailerBytes;
    private long remainingBytes;
    private Head head;
    private boolean bodyUntilClose;
    private int errorStatus;
    private String errorMessage;

    public HttpParser(Kind kind) {
        this(kind, null);
    }

    /** With a sink, bodies go there, of any length; else they are gathered, up to a bound. */
    public HttpParser(Kind kind, BodySink sink) {
        this.kind = kind;
        this.sink = sink;
        limits = new Limits(MAX_HEAD_BYTES, kind == Kind.REQUEST ? MAX_REQUEST_BODY_BYTES : MAX_RESPONSE_BODY_BYTES);
    }

    /** Other limits hold from the next message on. */
    public void setLimits(Limits next) {
        limits = next;
    }

    /** Takes bytes until the message is whole or bad; what comes after stays in the buffer. */
    public void parse(ByteBuffer bytes) {
        while (state != State.COMPLETE && state != State.MALFORMED && bytes.hasRemaining()) {
            switch (state) {
                case HEAD -> readHead(bytes);
                case FIXED_LENGTH_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> readBody(bytes);
                default -> readLine(bytes);
            }
        }
    }

    /** The other side has ended the connection; only a body without a length is then whole. */
    public void endOfInput() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.COMPLETE;
        }
    }

    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    public boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Whether the end of the body is told, so that a whole one is told from one that was cut short. */
    public boolean isBodyDelimited() {
        return !bodyUntilClose;
    }

    /** Nothing of a message has come yet. */
    public boolean isAtStart() {
        return state == State.HEAD && headBytes + emptyLineBytes == 0;
    }

    /** The head, once it is whole; null before. */
    public Head head() {
        return head;
    }

    public byte[] body() {
        return bodyBytes == body.length ? body : Arrays.copyOf(body, bodyBytes);
    }

    /** What is wrong with it, and the status that tells a client so. */
    public String errorMessage() {
        return errorMessage;
    }

    public int errorStatus() {
        return errorStatus;
    }

    /** Begins with the next message. */
    public void startNextMessage() {
        state = State.HEAD;
        headBytes = 0;
        emptyLineBytes = 0;
        previousByte = 0;
        headBuffer =
                headBuffer.length > 512 ? new byte[512] : headBuffer; // guards against idle connections that hold much
        body = EMPTY_BODY;
        bodyBytes = 0;
        line.reset();
        trailerBytes = 0;
        bodyUntilClose = false;
        head = null;
    }

    private void reject(int status, String what) {
        state = State.MALFORMED;
        errorStatus = status;
        errorMessage = what;
    }

    // The head.

    private void readHead(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            // Guards against heads that another reader ends elsewhere, and waits for what can be no head.
            if ((previousByte == '\r') != (b == '\n') || b >= 0 && b < ' ' && "\t\r\n".indexOf(b) < 0 || b == 127) {
                reject(400, "a line of the head is malformed");
                return;
            }
            previousByte = b;
            if (headBytes == 0 && (b == '\r' || b == '\n')) {
                if (++emptyLineBytes
                        > MAX_EMPTY_LINE_BYTES) { // empty lines before a message mean nothing, but they end
                    reject(400, "nothing but empty lines");
                    return;
                }
                continue;
            }
            if (headBytes >= limits.maxHeadBytes) {
                reject(431, "the head is too long");
                return;
            }
            if (headBytes == headBuffer.length) {
                headBuffer = Arrays.copyOf(headBuffer, 2 * headBytes);
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

    private void parseHead() {
        byte[] came = Arrays.copyOf(headBuffer, headBytes);
        int end = lineEnd(came, 0);
        String[] parts = decode(came, 0, end).split(" ", kind == Kind.REQUEST ? -1 : 3);
        if (kind == Kind.REQUEST) {
            if (parts.length != 3
                    || !isToken(parts[0])
                    || !parts[1].startsWith("/")
                    || !isPrintable(parts[1])
                    || !VERSION.matcher(parts[2]).matches()) {
                reject(400, "the request line is malformed");
                return;
            }
        } else if (parts.length < 2
                || !VERSION.matcher(parts[0]).matches()
                || !STATUS.matcher(parts[1]).matches()) {
            reject(400, "the status line is malformed");
            return;
        }
        Head read = new Head(came, parts[0], parts[1], parts.length > 2 ? parts[2] : "");
        for (int from = end + 2; from < headBytes - 2; from = end + 2) {
            end = lineEnd(came, from);
            String whole = decode(came, from, end);
            int colon = whole.indexOf(':');
            if (colon < 0 || !isToken(whole.substring(0, colon))) {
                reject(400, "a header is malformed");
                return;
            } else if (read.headers.size() == MAX_HEADERS) {
                reject(431, "the head has too many lines");
                return;
            }
            read.headers.add(new Head.HeaderLine(
                    whole.substring(0, colon), whole.substring(colon + 1).strip(), from, end));
        }
        determineFraming(read);
    }

    /** How long the body is; a length that can be read in two ways is bad. */
    private void determineFraming(Head read) {
        String coding = null;
        String length = null;
        for (Head.HeaderLine each : read.headers) {
            if (each.name().equalsIgnoreCase("Transfer-Encoding")) {
                coding = coding == null ? each.value() : coding + "," + each.value();
            } else if (each.name().equalsIgnoreCase("Content-Length")) {
                if (length != null && !length.equals(each.value())
                        || !LENGTH.matcher(each.value()).matches()) {
                    reject(400, "the length is malformed");
                    return;
                }
                length = each.value();
            }
        }
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            reject(400, "the framing is ambiguous");
            return;
        }
        if (kind == Kind.ANSWER && read.status() < 200) {
            startNextMessage(); // only an interim answer
            return;
        }
        head = read;
        boolean none = kind == Kind.ANSWER && (read.status() == 204 || read.status() == 304);
        if (coding != null && !none) {
            state = State.CHUNK_SIZE;
        } else if (length == null && kind == Kind.ANSWER && !none) {
            state = State.BODY_UNTIL_CLOSE;
            bodyUntilClose = true;
        } else {
            remainingBytes = length == null || none ? 0 : Long.parseLong(length);
            state = remainingBytes == 0 ? State.COMPLETE : State.FIXED_LENGTH_BODY;
            if (!rejectIfBodyTooLong(remainingBytes) && sink == null) {
                body = new byte
                        [(int) Math.min(
                                remainingBytes,
                                Math.min(limits.maxBodyBytes, MAX_REQUEST_BODY_BYTES))]; // more only as it comes
            }
        }
    }

    // The body.

    private boolean rejectIfBodyTooLong(long more) {
        if (sink == null && bodyBytes + more > limits.maxBodyBytes) {
            reject(413, "the body is too long");
            return true;
        }
        return false;
    }

    private void readBody(ByteBuffer bytes) {
        int size = (int)
                (state == State.BODY_UNTIL_CLOSE ? bytes.remaining() : Math.min(remainingBytes, bytes.remaining()));
        if (rejectIfBodyTooLong(size)) {
            return;
        }
        ByteBuffer part = bytes.slice(bytes.position(), size);
        bytes.position(bytes.position() + size);
        if (sink != null) {
            sink.bodyPart(part);
        } else {
            if (bodyBytes + size > body.length) {
                body = Arrays.copyOf(body, Math.max(bodyBytes + size, 2 * body.length));
            }
            part.get(body, bodyBytes, size);
            bodyBytes += size;
        }
        if (state != State.BODY_UNTIL_CLOSE) {
            remainingBytes -= size;
            if (remainingBytes == 0) {
                state = state == State.FIXED_LENGTH_BODY ? State.COMPLETE : State.CHUNK_END;
            }
        }
    }

    /** A chunk's size, the end of a chunk, or a trailer line. */
    private void readLine(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] whole = line.toByteArray();
                line.reset();
                if (whole.length == 0 || whole[whole.length - 1] != '\r') {
                    reject(400, "a line between chunks is malformed");
                } else {
                    handleLine(decode(whole, 0, whole.length - 1));
                }
                return;
            }
            line.write(b);
            if (line.size() > (state == State.CHUNK_END ? 1 : MAX_CHUNK_LINE_BYTES)) {
                reject(400, "a line between chunks is too long");
                return;
            }
        }
    }

    private void handleLine(String text) {
        if (state == State.CHUNK_END) {
            state = State.CHUNK_SIZE;
            if (!text.isEmpty()) {
                reject(400, "a chunk is longer than its size");
            }
        } else if (state == State.TRAILER) {
            trailerBytes += text.length();
            if (trailerBytes > MAX_HEAD_BYTES) {
                reject(431, "the trailer is too long");
            } else if (text.isEmpty()) {
                state = State.COMPLETE;
            }
        } else {
            int extension = text.indexOf(';');
            String size = (extension < 0 ? text : text.substring(0, extension)).stripTrailing();
            if (!CHUNK_LENGTH.matcher(size).matches()) {
                reject(400, "a chunk's size is malformed");
                return;
            }
            remainingBytes = Long.parseLong(size, 16);
            state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
            rejectIfBodyTooLong(remainingBytes);
        }
    }

    // Characters.

    private static int lineEnd(byte[] bytes, int from) {
        int i = from;
        while (bytes[i] != '\r' || bytes[i + 1] != '\n') {
            i++;
        }
        return i;
    }

    private static String decode(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
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
