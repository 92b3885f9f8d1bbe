import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in of a runner. It runs only the requests that are meant for it. */
final class Runner {
    /** How a runner answers the requests that it runs. */
    interface Answers {
        /** Runs a request and answers it. */
        void answer(Socket socket, String requestLine, String id, byte[] body) throws IOException;
    }

    private final String identifier;
    private final Record record;
    private final Answers answers;
    private final ServerSocket listener = new ServerSocket();

    Runner(String net, String identifier, Record record, Answers answers) throws IOException {
        this.identifier = identifier;
        this.record = record;
        this.answers = answers;
        listener.bind(new InetSocketAddress(net + "9.1", 0), 256);
        Http.inBackground(() -> {
            while (true) {
                Socket socket = listener.accept();
                Http.inBackground(() -> serve(socket));
            }
        });
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void stop() {
        try {
            listener.close();
        } catch (IOException e) {
            // it does not listen any more
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (String head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = in.readNBytes(Http.contentLength(head));
                String requestLine = head.substring(0, head.indexOf('\r'));
                String id = Http.header(head, "X-Saltdale-Attempt-Id");
                String expected = Http.header(head, "X-Saltdale-Expected-Runner");
                if (expected != null && !expected.equals(identifier)) {
                    socket.getOutputStream()
                            .write(Http.bytes("HTTP/1.1 421 Misdirected Request\r\nX-Saltdale-Attempt-Id: " + id
                                    + "\r\nX-Saltdale-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                record.log("runner " + identifier + " runs " + requestLine + ", id " + id);
                answers.answer(socket, requestLine, id, body);
            }
        }
    }

    /** Answers with success: a body that names the request, and the seal. */
    static void succeed(Socket socket, String requestLine, String id, byte[] body) throws IOException {
        String text = "body of " + requestLine;
        socket.getOutputStream()
                .write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Saltdale-Attempt-Id: " + id
                        + "\r\nX-Saltdale-Runner-Seal: seal-" + id + "\r\nContent-Length: " + text.length()
                        + "\r\n\r\n" + (requestLine.startsWith("HEAD ") ? "" : text)));
    }
}
