package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Serializes HTTP/1.1 message heads. */
public final class HttpWriter {
    /** Lower-case names of the headers that apply to a single connection, or to the framing of a message on it. */
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

    /** Returns a set of all given names. */
    public static Set<String> union(Set<String> names, String... more) {
        Set<String> all = new HashSet<>(names);
        all.addAll(List.of(more));
        return Set.copyOf(all);
    }

    /**
     * Returns the head of a client's request as it is forwarded to a runner: the received headers without the
     * hop-by-hop ones, and with the remaining time that the client waits.
     */
    public static byte[] forwardedRequest(Head head, int bodyLength, long timeoutMillis) {
        return forwardedRequest(
                head,
                NOT_FORWARDED,
                ALWAYS_FORWARDED,
                "Request-Timeout-Ms: " + timeoutMillis + "\r\nContent-Length: " + bodyLength + "\r\n");
    }

    /**
     * Returns the head of a forwarded request.
     *
     * @param dropped lower-case names of headers that are not forwarded
     * @param always lower-case names of headers that are forwarded even if the Connection header names them
     * @param more complete header lines to add
     */
    public static byte[] forwardedRequest(Head head, Set<String> dropped, Set<String> always, String more) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        write(out, head.method() + " " + head.target() + " HTTP/1.1\r\n");
        writeForwardedHeaders(out, head, dropped, always);
        write(out, more + "\r\n");
        return out.toByteArray();
    }

    /**
     * Returns whether the response to a request with this method ends with a body. A response to HEAD or with status
     * 204 or 304 ends with its head, whatever its headers say (RFC 9112, section 6.3).
     */
    public static boolean mayHaveBody(String method, int status) {
        return !method.equals("HEAD") && status != 204 && status != 304;
    }

    /**
     * Returns the head of a runner's response as it is forwarded to the client that sent a request with this method. A
     * response without a body keeps the length that the runner states: that of the body which GET would return.
     */
    public static byte[] forwardedResponse(Head head, String method, int bodyLength, boolean close) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        write(out, "HTTP/1.1 " + head.status() + " " + reasonPhrase(head.status()) + "\r\n");
        writeForwardedHeaders(out, head, HOP_BY_HOP_HEADERS, Set.of());
        String length = mayHaveBody(method, head.status())
                ? Integer.toString(bodyLength)
                : head.status() == 204 ? null : head.header("Content-Length");
        if (length != null) {
            write(out, "Content-Length: " + length + "\r\n");
        }
        write(out, close ? "Connection: close\r\n\r\n" : "\r\n");
        return out.toByteArray();
    }

    private static void writeForwardedHeaders(
            ByteArrayOutputStream out, Head head, Set<String> dropped, Set<String> always) {
        Set<String> connectionOptions = head.listHeader("Connection");
        for (Head.HeaderLine line : head.headers) {
            String name = line.name().toLowerCase(Locale.ROOT);
            // The headers that identify a job to a runner are always kept: a client must not be able to remove them by
            // naming them in its Connection header.
            if (!dropped.contains(name) && (always.contains(name) || !connectionOptions.contains(name))) {
                byte[] raw = head.rawHeader(line);
                out.write(raw, 0, raw.length);
                write(out, "\r\n");
            }
        }
    }

    /** Returns a request without a body. */
    public static byte[] request(String method, String target, String host) {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + (method.equals("GET") ? "" : "Content-Length: 0\r\n") + "\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the head of a response; {@code more} holds complete header lines or is empty, {@code bodyLength} is that
     * of the response to GET.
     */
    public static byte[] response(int status, String more, int bodyLength, boolean close) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        write(out, "HTTP/1.1 " + status + " " + reasonPhrase(status) + "\r\n" + more);
        if (status != 204 && status != 304) {
            write(out, "Content-Length: " + bodyLength + "\r\n");
        }
        write(out, close ? "Connection: close\r\n\r\n" : "\r\n");
        return out.toByteArray();
    }

    /** Returns the head of a request with a body; {@code more} holds complete header lines or is empty. */
    public static byte[] request(String method, String target, String host, String more, int bodyLength) {
        return (method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + more
                        + (method.equals("GET") ? "" : "Content-Length: " + bodyLength + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns the interim response that asks a client to send the body of its request. */
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
