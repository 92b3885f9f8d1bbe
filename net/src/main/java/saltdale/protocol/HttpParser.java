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

    public static final int MOST_BODY = 64 * 1024;
    /** Of an answer, such as a list of runners, and of a line of discovery's: some thousands of them. */
    public static final int MOST_ANSWER = 1024 * 1024;

    public static final int MOST_HEAD = 8 * 1024;
    private static final int MOST_LINES = 64; // in a head
    private static final int MOST_EMPTY = 8; // bytes of empty lines before a message
    private static final int MOST_LINE = 1024; // of a chunk's size

    private static final byte[] NOTHING = new byte[0];
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
    private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");
    private static final Pattern CHUNK_LENGTH = Pattern.compile("[0-9a-fA-F]{1,8}");

    private enum State {
        HEAD,
        COUNTED,
        TO_THE_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        WHOLE,
        BAD
    }

    /** Takes the parts of a body that is not to be gathered. */
    public interface Sink {
        void part(ByteBuffer bytes);
    }

    /** How long what is gathered may be, in bytes. */
    public record Limits(int head, int body) {}

    private final Kind kind;
    private final Sink sink;
    private Limits limits;
    private State state = State.HEAD;
    private byte[] gathered = new byte[512];
    private int count;
    private int empty;
    private byte before; // the byte that came before this one
    private byte[] body = NOTHING;
    private int bodyCount;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(0);
    private int trailerBytes;
    private long left;
    private Head head;
    private boolean toTheEnd;
    private int faultStatus;
    private String fault;

    public HttpParser(Kind kind) {
        this(kind, null);
    }

    /** With a sink, bodies go there, of any length; else they are gathered, up to a bound. */
    public HttpParser(Kind kind, Sink sink) {
        this.kind = kind;
        this.sink = sink;
        limits = new Limits(MOST_HEAD, kind == Kind.REQUEST ? MOST_BODY : MOST_ANSWER);
    }

    /** Other limits hold from the next message on. */
    public void limits(Limits next) {
        limits = next;
    }

    /** Takes bytes until the message is whole or bad; what comes after stays in the buffer. */
    public void take(ByteBuffer bytes) {
        while (state != State.WHOLE && state != State.BAD && bytes.hasRemaining()) {
            switch (state) {
                case HEAD -> takeHead(bytes);
                case COUNTED, CHUNK, TO_THE_END -> takeBody(bytes);
                default -> takeLine(bytes);
            }
        }
    }

    /** The other side has ended the connection; only a body without a length is then whole. */
    public void end() {
        if (state == State.TO_THE_END) {
            state = State.WHOLE;
        }
    }

    public boolean whole() {
        return state == State.WHOLE;
    }

    public boolean bad() {
        return state == State.BAD;
    }

    /** Whether the end of the body is told, so that a whole one is told from one that was cut short. */
    public boolean framed() {
        return !toTheEnd;
    }

    /** Nothing of a message has come yet. */
    public boolean untouched() {
        return state == State.HEAD && count + empty == 0;
    }

    /** The head, once it is whole; null before. */
    public Head head() {
        return head;
    }

    public byte[] body() {
        return bodyCount == body.length ? body : Arrays.copyOf(body, bodyCount);
    }

    /** What is wrong with it, and the status that tells a client so. */
    public String fault() {
        return fault;
    }

    public int faultStatus() {
        return faultStatus;
    }

    /** Begins with the next message. */
    public void next() {
        state = State.HEAD;
        count = 0;
        empty = 0;
        before = 0;
        gathered = gathered.length > 512 ? new byte[512] : gathered; // guards against idle connections that hold much
        body = NOTHING;
        bodyCount = 0;
        line.reset();
        trailerBytes = 0;
        toTheEnd = false;
        head = null;
    }

    private void bad(int status, String what) {
        state = State.BAD;
        faultStatus = status;
        fault = what;
    }

    // The head.

    private void takeHead(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            // Guards against heads that another reader ends elsewhere, and waits for what can be no head.
            if ((before == '\r') != (b == '\n') || b >= 0 && b < ' ' && "\t\r\n".indexOf(b) < 0 || b == 127) {
                bad(400, "a line of the head is malformed");
                return;
            }
            before = b;
            if (count == 0 && (b == '\r' || b == '\n')) {
                if (++empty > MOST_EMPTY) { // empty lines before a message mean nothing, but they end
                    bad(400, "nothing but empty lines");
                    return;
                }
                continue;
            }
            if (count >= limits.head) {
                bad(431, "the head is too long");
                return;
            }
            if (count == gathered.length) {
                gathered = Arrays.copyOf(gathered, 2 * count);
            }
            gathered[count++] = b;
            if (b == '\n'
                    && count >= 4
                    && gathered[count - 2] == '\r'
                    && gathered[count - 3] == '\n'
                    && gathered[count - 4] == '\r') {
                parseHead();
                return;
            }
        }
    }

    private void parseHead() {
        byte[] came = Arrays.copyOf(gathered, count);
        int end = lineEnd(came, 0);
        String[] parts = text(came, 0, end).split(" ", kind == Kind.REQUEST ? -1 : 3);
        if (kind == Kind.REQUEST) {
            if (parts.length != 3
                    || !token(parts[0])
                    || !parts[1].startsWith("/")
                    || !printable(parts[1])
                    || !VERSION.matcher(parts[2]).matches()) {
                bad(400, "the request line is malformed");
                return;
            }
        } else if (parts.length < 2
                || !VERSION.matcher(parts[0]).matches()
                || !STATUS.matcher(parts[1]).matches()) {
            bad(400, "the status line is malformed");
            return;
        }
        Head read = new Head(came, parts[0], parts[1], parts.length > 2 ? parts[2] : "");
        for (int from = end + 2; from < count - 2; from = end + 2) {
            end = lineEnd(came, from);
            String whole = text(came, from, end);
            int colon = whole.indexOf(':');
            if (colon < 0 || !token(whole.substring(0, colon))) {
                bad(400, "a header is malformed");
                return;
            } else if (read.lines.size() == MOST_LINES) {
                bad(431, "the head has too many lines");
                return;
            }
            read.lines.add(new Head.Line(
                    whole.substring(0, colon), whole.substring(colon + 1).strip(), from, end));
        }
        frame(read);
    }

    /** How long the body is; a length that can be read in two ways is bad. */
    private void frame(Head read) {
        String coding = null;
        String length = null;
        for (Head.Line each : read.lines) {
            if (each.name().equalsIgnoreCase("Transfer-Encoding")) {
                coding = coding == null ? each.value() : coding + "," + each.value();
            } else if (each.name().equalsIgnoreCase("Content-Length")) {
                if (length != null && !length.equals(each.value())
                        || !LENGTH.matcher(each.value()).matches()) {
                    bad(400, "the length is malformed");
                    return;
                }
                length = each.value();
            }
        }
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            bad(400, "the framing is ambiguous");
            return;
        }
        if (kind == Kind.ANSWER && read.status() < 200) {
            next(); // only an interim answer
            return;
        }
        head = read;
        boolean none = kind == Kind.ANSWER && (read.status() == 204 || read.status() == 304);
        if (coding != null && !none) {
            state = State.CHUNK_SIZE;
        } else if (length == null && kind == Kind.ANSWER && !none) {
            state = State.TO_THE_END;
            toTheEnd = true;
        } else {
            left = length == null || none ? 0 : Long.parseLong(length);
            state = left == 0 ? State.WHOLE : State.COUNTED;
            if (!tooLong(left) && sink == null) {
                body = new byte[(int) Math.min(left, Math.min(limits.body, MOST_BODY))]; // more only as it comes
            }
        }
    }

    // The body.

    private boolean tooLong(long more) {
        if (sink == null && bodyCount + more > limits.body) {
            bad(413, "the body is too long");
            return true;
        }
        return false;
    }

    private void takeBody(ByteBuffer bytes) {
        int size = (int) (state == State.TO_THE_END ? bytes.remaining() : Math.min(left, bytes.remaining()));
        if (tooLong(size)) {
            return;
        }
        ByteBuffer part = bytes.slice(bytes.position(), size);
        bytes.position(bytes.position() + size);
        if (sink != null) {
            sink.part(part);
        } else {
            if (bodyCount + size > body.length) {
                body = Arrays.copyOf(body, Math.max(bodyCount + size, 2 * body.length));
            }
            part.get(body, bodyCount, size);
            bodyCount += size;
        }
        if (state != State.TO_THE_END) {
            left -= size;
            if (left == 0) {
                state = state == State.COUNTED ? State.WHOLE : State.CHUNK_END;
            }
        }
    }

    /** A chunk's size, the end of a chunk, or a trailer line. */
    private void takeLine(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            if (b == '\n') {
                byte[] whole = line.toByteArray();
                line.reset();
                if (whole.length == 0 || whole[whole.length - 1] != '\r') {
                    bad(400, "a line between chunks is malformed");
                } else {
                    lineWhole(text(whole, 0, whole.length - 1));
                }
                return;
            }
            line.write(b);
            if (line.size() > (state == State.CHUNK_END ? 1 : MOST_LINE)) {
                bad(400, "a line between chunks is too long");
                return;
            }
        }
    }

    private void lineWhole(String text) {
        if (state == State.CHUNK_END) {
            state = State.CHUNK_SIZE;
            if (!text.isEmpty()) {
                bad(400, "a chunk is longer than its size");
            }
        } else if (state == State.TRAILER) {
            trailerBytes += text.length();
            if (trailerBytes > MOST_HEAD) {
                bad(431, "the trailer is too long");
            } else if (text.isEmpty()) {
                state = State.WHOLE;
            }
        } else {
            int extension = text.indexOf(';');
            String size = (extension < 0 ? text : text.substring(0, extension)).stripTrailing();
            if (!CHUNK_LENGTH.matcher(size).matches()) {
                bad(400, "a chunk's size is malformed");
                return;
            }
            left = Long.parseLong(size, 16);
            state = left == 0 ? State.TRAILER : State.CHUNK;
            tooLong(left);
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

    private static String text(byte[] bytes, int from, int to) {
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private static boolean token(String text) {
        return !text.isEmpty() && printable(text) && text.chars().noneMatch(c -> "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0);
    }

    private static boolean printable(String text) {
        return text.chars().allMatch(c -> c > ' ' && c < 127);
    }
}
