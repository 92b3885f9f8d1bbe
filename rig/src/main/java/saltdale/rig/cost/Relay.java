package saltdale.rig.cost;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A minimal relay between the same sockets as the dispatcher, as a baseline for its CPU cost. Each job takes one probe,
 * one dispatch and the runner's calls, round-robin over the runners; nothing is decided, checked, timed or counted.
 */
public final class Relay {
    private static final Pattern DIAL_PATTERN = Pattern.compile("\"dial\":\"([0-9.]+):(\\d+)\"");
    private static final byte[] NO_CONTENT = "HTTP/1.1 204 No Content\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Selector selector = Selector.open();
    private final List<Deque<PeerConnection>> idleConnections = new ArrayList<>();
    private final List<InetSocketAddress> runners = new ArrayList<>();
    private final Map<String, PeerConnection> clientsByRequestId = new HashMap<>();
    private final ByteBuffer incoming = ByteBuffer.allocateDirect(1 << 16);
    private int nextRunner;

    /** Reads the addresses of the runners from the discovery service. */
    private Relay(InetSocketAddress list) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(list, 2000);
            socket.getOutputStream()
                    .write("GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            StringBuilder text = new StringBuilder();
            byte[] part = new byte[1 << 16];
            while (text.indexOf("]}") < 0) {
                int count = socket.getInputStream().read(part);
                if (count < 0) {
                    throw new IOException("the runner list ended early");
                }
                text.append(new String(part, 0, count, StandardCharsets.UTF_8));
            }
            for (Matcher m = DIAL_PATTERN.matcher(text); m.find(); ) {
                runners.add(new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2))));
                idleConnections.add(new ArrayDeque<>());
            }
        }
    }

    /** Runs the relay with the dispatcher's environment variables for the list and the listen address. */
    public static void main(String[] args) throws IOException {
        new Relay(address(System.getenv("EDGE_DISCOVERY"))).run(address(System.getenv("EDGE_LISTEN")));
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private void run(InetSocketAddress at) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(at, 1024);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_ACCEPT);
        while (true) {
            selector.select();
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isAcceptable()) {
                    for (SocketChannel c = server.accept(); c != null; c = server.accept()) {
                        new PeerConnection(c, -1);
                    }
                } else if (key.isReadable()) {
                    ((PeerConnection) key.attachment()).read();
                }
            }
            selector.selectedKeys().clear();
        }
    }

    /** A connection to a client or a runner, with the bytes received of its current message. */
    private final class PeerConnection {
        private final SocketChannel channel;
        private final int runner;
        private final StringBuilder received = new StringBuilder();
        /** For a connection to a runner: the client connection that the current call serves. */
        private PeerConnection client;

        /** The client's request, sent to the runner after the probe. */
        private String job;
        /** Whether the next response of the runner answers the probe. */
        private boolean probing;

        PeerConnection(SocketChannel channel, int runner) throws IOException {
            this.channel = channel;
            this.runner = runner;
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ, this);
        }

        void read() throws IOException {
            incoming.clear();
            int count;
            try {
                count = channel.read(incoming);
            } catch (IOException e) {
                count = -1;
            }
            if (count < 0) {
                channel.close();
                if (runner >= 0) {
                    idleConnections.get(runner).remove(this);
                }
                return;
            }
            received.append(StandardCharsets.ISO_8859_1.decode(incoming.flip()));
            int head = received.indexOf("\r\n\r\n");
            if (head < 0) {
                return;
            }
            int at = received.indexOf("Content-Length: ");
            int length = at < 0 || at > head
                    ? 0
                    : Integer.parseInt(received.substring(at + 16, received.indexOf("\r\n", at)));
            if (received.length() < head + 4 + length) {
                return;
            }
            String message = received.substring(0, head + 4 + length);
            received.delete(0, message.length());
            if (runner >= 0) {
                fromRunner();
            } else {
                fromClient(message, message.substring(head + 4));
            }
        }

        private void fromClient(String message, String body) throws IOException {
            if (message.startsWith("GET")) {
                write(OK);
                if (message.contains("Connection: close")) {
                    channel.close();
                }
            } else if (message.startsWith("POST /_jobs/news")) {
                write(NO_CONTENT);
                if (body.contains("\"state\":\"done\"")) {
                    int id = body.indexOf("\"id\":\"") + 6;
                    PeerConnection to = clientsByRequestId.remove(body.substring(id, body.indexOf('"', id)));
                    if (to != null) {
                        int from = body.indexOf("\"result\":\"") + 10;
                        String result = body.substring(from, body.indexOf('"', from));
                        to.write(("HTTP/1.1 200 OK\r\nContent-Length: " + result.length() + "\r\n\r\n" + result)
                                .getBytes(StandardCharsets.US_ASCII));
                    }
                }
            } else {
                int id = message.indexOf("Request-Id: ") + 12;
                clientsByRequestId.put(message.substring(id, message.indexOf("\r\n", id)), this);
                int to = nextRunner++ % runners.size();
                PeerConnection out = idleConnections.get(to).poll();
                out = out != null ? out : new PeerConnection(SocketChannel.open(runners.get(to)), to);
                out.client = this;
                out.job = message;
                out.probing = true;
                out.write("GET /metrics/load HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }

        private void fromRunner() throws IOException {
            if (probing) {
                probing = false;
                write(job.getBytes(StandardCharsets.ISO_8859_1));
            } else {
                idleConnections.get(runner).addFirst(this);
            }
        }

        private void write(byte[] bytes) {
            try {
                channel.write(ByteBuffer.wrap(bytes));
            } catch (IOException e) {
                // the peer has closed the connection
            }
        }
    }
}
