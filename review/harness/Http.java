import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Blocking HTTP/1.1 messages over a socket, for clients and runners. */
final class Http {
    private Http() {}

    /** A message head: its start line and its header lines. */
    static final class Head {
        final String startLine;
        final List<String> lines;

        Head(String startLine, List<String> lines) {
            this.startLine = startLine;
            this.lines = lines;
        }

        /** The value of a header, or null. */
        String header(String name) {
            for (String line : lines) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
                    return line.substring(colon + 1).strip();
                }
            }
            return null;
        }

        int contentLength() {
            String length = header("Content-Length");
            return length == null ? 0 : Integer.parseInt(length);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** A complete answer; status 0 if none came. */
    static final class Answer {
        final int status;
        final Head head;
        final byte[] body;
        final String failure;

        Answer(int status, Head head, byte[] body, String failure) {
            this.status = status;
            this.head = head;
            this.body = body;
            this.failure = failure;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                return null;
            } else if (b != '\n') {
                line.write(b);
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            line.reset();
            if (!text.isEmpty()) {
                lines.add(text);
            } else if (!lines.isEmpty()) {
                return new Head(lines.get(0), lines.subList(1, lines.size()));
            }
        }
    }

    static byte[] readBody(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body ended early: " + body.length + " of " + length);
        }
        return body;
    }

    /** Sends one request on an open connection and reads its answer. */
    static Answer exchange(Socket socket, String head, byte[] body) {
        try {
            byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[first.length + body.length];
            System.arraycopy(first, 0, all, 0, first.length);
            System.arraycopy(body, 0, all, first.length, body.length);
            socket.getOutputStream().write(all);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Head answer = readHead(in);
            while (answer != null && answer.status() < 200) {
                answer = readHead(in);
            }
            if (answer == null) {
                return new Answer(0, null, new byte[0], "closed");
            }
            return new Answer(answer.status(), answer, readBody(in, answer.contentLength()), null);
        } catch (IOException e) {
            return new Answer(0, null, new byte[0], e.getMessage());
        }
    }

    static Socket connect(String host, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1000);
        socket.setSoTimeout(timeoutMillis);
        return socket;
    }

    /** Sends one request on a connection of its own. */
    static Answer call(String host, int port, String method, String target, String headers, byte[] body, int millis) {
        String head = method + " " + target + " HTTP/1.1\r\n" + headers
                + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        try (Socket socket = connect(host, port, millis)) {
            return exchange(socket, head, body);
        } catch (IOException e) {
            return new Answer(0, null, new byte[0], e.getMessage());
        }
    }
}
