package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The bytes of the messages that a dispatcher sends. */
public final class HttpWriter {
    /** Headers that concern one connection, or the framing on it, in lower case. */
    public static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private static final Set<String> NOT_FORWARDED = union(HOP_BY_HOP_HEADERS, "request-timeout-ms");
    private static final Set<String> ALWAYS_FORWARDED = Set.of("request-id", "idempotency-key");

    private HttpWriter() {}

    /** These names and those. */
    public static Set<String> union(Set<String> names, String... more) {
        Set<String> all = new HashSet<>(names);
        all.addAll(List.of(more));
        return Set.copyOf(all);
    }

    /** A client's request as it goes on to a runner, up to its body: what came, but for this hop's own headers. */
    public static byte[] forwardedRequest(Head head, int bodyLength, long patienceMillis) {
        return forwardedRequest(
                head,
                NOT_FORWARDED,
                ALWAYS_FORWARDED,
                "Request-Timeout-Ms: " + patienceMillis + "\r\nContent-Length: " + bodyLength + "\r\n");
    }

    /**
     * The same with names (in lower case) and lines of the caller's: those dropped, those kept whatever the Connection
     * header names, and whole header lines to be added.
     */
    public static byte[] forwardedRequest(Head head, Set<String> dropped, Set<String> always, String more) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        write(out, head.method() + " " + head.target() + " HTTP/1.1\r\n");
        writeForwardedHeaders(out, head, dropped, always);
        write(out, more + "\r\n");
        return out.toByteArray();
    }

    /** A runner's answer as it goes back to a client, up to its body. */
    public static byte[] forwardedResponse(Head head, int bodyLength, boolean close) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        write(out, "HTTP/1.1 " + head.status() + " " + reasonPhrase(head.status()) + "\r\n");
        writeForwardedHeaders(out, head, HOP_BY_HOP_HEADERS, Set.of());
        if (head.status() != 204 && head.status() != 304) {
            write(out, "Content-Length: " + bodyLength + "\r\n");
        }
        write(out, close ? "Connection: close\r\n\r\n" : "\r\n");
        return out.toByteArray();
    }

    private static void writeForwardedHeaders(
            ByteArrayOutputStream out, Head head, Set<String> dropped, Set<String> always) {
        for (Head.HeaderLine line : head.headers) {
            String name = line.name().toLowerCase(Locale.ROOT);
            // Guards against a client whose Connection header names what tells a runner one job from another.
            if (!dropped.contains(name) && (always.contains(name) || !head.headerContains("Connection", name))) {
                byte[] came = head.rawHeader(line);
                out.write(came, 0, came.length);
                write(out, "\r\n");
            }
        }
    }

    /** A request of our own, without a body. */
    public static byte[] request(String method, String target, String host) {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + (method.equals("GET") ? "" : "Content-Length: 0\r\n") + "\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** An answer up to its body; {@code more} holds whole header lines or nothing. */
    public static byte[] response(int status, String more, int bodyLength, boolean close) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        write(out, "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\n" + more);
        if (status != 204) {
            write(out, "Content-Length: " + bodyLength + "\r\n");
        }
        write(out, close ? "Connection: close\r\n\r\n" : "\r\n");
        return out.toByteArray();
    }

    /** A request of our own with a body; {@code more} holds whole header lines or nothing. */
    public static byte[] request(String method, String target, String host, String more, int bodyLength) {
        return (method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + more
                        + (method.equals("GET") ? "" : "Content-Length: " + bodyLength + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    public static ByteBuffer continueResponse() {
        return ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void write(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes, 0, bytes.length);
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 412 -> "Precondition Failed";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }
}
