import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The parts of HTTP/1.1 that the stand-ins need; it reads strictly. */
final class Http {
    /** An answer as a client receives it. */
    record Answer(int status, String head, String body) {
        String header(String name) {
            return Http.header(head, name);
        }
    }

    /** What was received is not the start of an answer. */
    static final class NoAnswer extends IOException {
        private static final long serialVersionUID = 1L;

        NoAnswer(String bytes) {
            super(bytes);
        }
    }

    /** Does something that ends when the other side closes. */
    interface Task {
        void run() throws IOException;
    }

    private Http() {}

    /** Reads up to the empty line; null if the other side closed before. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int lineEnds = 0; // how much of the last four bytes that end a head has arrived
        while (lineEnds < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            lineEnds = next == "\r\n\r\n".charAt(lineEnds) ? lineEnds + 1 : next == '\r' ? 1 : 0;
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    static String header(String head, String name) {
        Matcher matcher =
                Pattern.compile("(?i)\r\n" + name + ":[ \t]*([^\r\n]*)").matcher(head);
        return matcher.find() ? matcher.group(1) : null;
    }

    static int contentLength(String head) {
        String length = header(head, "Content-Length");
        return length == null ? 0 : Integer.parseInt(length);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request of a client without a body, and reads the answer to it. */
    static Answer request(Socket socket, String method, String path, String id) throws IOException {
        socket.getOutputStream()
                .write(bytes(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Saltdale-Attempt-Id: " + id
                        + "\r\nX-Saltdale-Deadline-Remaining: 5000\r\n\r\n"));
        InputStream in = socket.getInputStream();
        String head = readHead(in);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        Matcher statusLine =
                Pattern.compile("^HTTP/1\\.[01] ([1-5][0-9][0-9])[ \r]").matcher(head);
        if (!statusLine.find()) {
            throw new NoAnswer(head);
        }
        String body = method.equals("HEAD")
                ? ""
                : new String(in.readNBytes(contentLength(head)), StandardCharsets.ISO_8859_1);
        return new Answer(Integer.parseInt(statusLine.group(1)), head, body);
    }

    /** Runs a task in a thread that does not keep the program running. */
    static void inBackground(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the other side has closed
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
