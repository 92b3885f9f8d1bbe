package saltdale.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/** The bytes of the messages that a dispatcher sends. */
public final class HttpWriter {
    private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "content-length", "expect", "request-timeout-ms");
    private static final Set<String> ALWAYS_PASSED_ON = Set.of("request-id", "idempotency-key");

    private HttpWriter() {
    }

    /** A client's request as it goes on to a runner, up to its body: what came, but for this hop's own headers. */
    public static byte[] passedOn(Head head, int bodyLength, long patienceMillis) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512);
        text(out, head.method() + " " + head.target() + " HTTP/1.1\r\n");
        for (Head.Line line : head.lines) {
            String name = line.name().toLowerCase(Locale.ROOT);
            // Guards against a client whose Connection header names what tells a runner one job from another.
            if (!NOT_PASSED_ON.contains(name)
                    && (ALWAYS_PASSED_ON.contains(name) || !head.lists("Connection", name))) {
                byte[] came = head.bytes(line);
                out.write(came, 0, came.length);
                text(out, "\r\n");
            }
        }
        text(out, "Request-Timeout-Ms: " + patienceMillis + "\r\nContent-Length: " + bodyLength + "\r\n\r\n");
        return out.toByteArray();
    }

    /** A request of our own, without a body. */
    public static byte[] request(String method, String target, String host) {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + (method.equals("GET") ? "" : "Content-Length: 0\r\n") + "\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** An answer up to its body; {@code more} holds whole header lines or nothing. */
    public static byte[] answer(int status, String more, int bodyLength, boolean close) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(160);
        text(out, "HTTP/1.1 " + status + " " + reason(status) + "\r\n" + more);
        if (status != 204) {
            text(out, "Content-Length: " + bodyLength + "\r\n");
        }
        text(out, close ? "Connection: close\r\n\r\n" : "\r\n");
        return out.toByteArray();
    }

    public static ByteBuffer goOn() {
        return ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void text(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes, 0, bytes.length);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
