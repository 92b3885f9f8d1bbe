package saltdale.rig.platform.live;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** A minimal blocking HTTP client with one connection per call, for the soak and for tests. */
public final class BlockingHttp {
    /** An answer; {@code status} is 0 if no complete answer came in time. */
    public record Answer(int status, String body) {
        static final Answer NONE = new Answer(0, "");
    }

    private BlockingHttp() {}

    /** Sends a request and waits for the answer; {@code headers} are complete header lines. */
    public static Answer call(
            String ip, int port, String method, String path, String headers, String body, Duration limit) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + bytes.length
                + "\r\nConnection: close\r\n\r\n";
        long end = System.nanoTime() + limit.toNanos();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), (int) limit.toMillis());
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            return parse(readAll(socket, end));
        } catch (IOException e) {
            return Answer.NONE;
        }
    }

    private static String readAll(Socket socket, long end) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        while (true) {
            long remainingMillis = (end - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                throw new SocketTimeoutException("no complete answer in time");
            }
            socket.setSoTimeout((int) remainingMillis);
            int count = in.read(buffer);
            if (count < 0) {
                return received.toString(StandardCharsets.UTF_8);
            }
            received.write(buffer, 0, count);
        }
    }

    private static Answer parse(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
            return Answer.NONE;
        }
        return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
    }
}
