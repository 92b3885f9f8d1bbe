package saltdale.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import saltdale.control.MalformedMessage;
import saltdale.control.message.Hello;
import saltdale.control.message.Message;
import saltdale.control.message.MessageCodec;
import saltdale.control.message.MessageKind;
import saltdale.transport.Connection;
import saltdale.transport.EventLoop;
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;

/**
 * Messages between the system's own processes: CBOR behind its length, over one connection each way between two hosts.
 * What cannot be sent soon is dropped; whoever needs an answer asks again.
 */
final class PeerConnections {
    interface Reader {
        void message(String fromHost, Message message) throws MalformedMessage;

        /** What was sent to this host of late may be lost. */
        void broken(String host);
    }

    private static final System.Logger LOG = System.getLogger(PeerConnections.class.getName());
    private static final int MOST_WAITING = 8 << 20; // bytes for a host that is not connected or does not read
    private static final Duration DIAL = Duration.ofMillis(400);
    private static final Duration RESTS = Duration.ofSeconds(30); // a connection that nothing is sent over

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final String host;
    private final int port;
    private final Duration patience;
    private final Reader reader;
    private final LinkFaults linkFaults;
    private final Map<String, Out> outs = new HashMap<>();
    /** By kind of message: how many were sent, and their bytes. */
    final Map<MessageKind, long[]> sent = new EnumMap<>(MessageKind.class);

    /** A host that owes an answer for longer than {@code patience} and says nothing is dialled anew. */
    PeerConnections(EventLoop loop, SocketBudget sockets, String host, int port, Duration patience, Reader reader)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.host = host;
        this.port = port;
        this.patience = patience;
        this.reader = reader;
        linkFaults = LinkFaults.ofEnvironment(() -> loop.elapsed().toMillis());
        new Listener(loop, sockets, new InetSocketAddress(host, port), (connection, full) -> new In(connection));
        closeResting();
    }

    /** Guards against connections to all that were ever asked: a control node has descriptors for its own proxies. */
    private void closeResting() {
        outs.values().removeIf(Out::rests);
        loop.schedule(RESTS.dividedBy(2), this::closeResting);
    }

    void send(String to, Message message) {
        if (to.equals(host)) {
            loop.defer(() -> take(host, message));
            return;
        }
        ByteBuffer frame = Frame.of(MessageCodec.encode(message));
        long[] count = sent.computeIfAbsent(message.kind(), kind -> new long[2]);
        count[0]++;
        count[1] += frame.remaining();
        if (linkFaults.dropsTo(to)) {
            return;
        }
        outs.computeIfAbsent(to, Out::new).send(frame, message.expectsReply());
    }

    private void take(String from, Message message) {
        try {
            reader.message(from, message);
        } catch (MalformedMessage e) {
            LOG.log(System.Logger.Level.WARNING, "a message of " + from + " is malformed: " + e.getMessage());
        }
    }

    private void heard(String from) {
        Out out = outs.get(from);
        if (out != null) {
            out.owedSince = null;
        }
    }

    /** What goes to one host. */
    private final class Out implements Connection.Handler {
        private final String to;
        private Connection connection;
        private Duration owedSince;
        private Duration dialledAt;
        private Duration usedAt = loop.now();
        private long waiting;
        private boolean open;

        Out(String to) {
            this.to = to;
        }

        void send(ByteBuffer frame, boolean answered) {
            Duration now = loop.now();
            usedAt = now;
            if (connection != null && owedSince != null && now.minus(owedSince).compareTo(patience) > 0) {
                // Guards against a machine without power or behind a cut, to which connections hang for long.
                Connection hung = connection;
                connection = null;
                hung.reset();
                lost();
            }
            if (connection == null) {
                if (dialledAt != null && now.minus(dialledAt).toMillis() < 100) {
                    return; // it refused a moment ago
                }
                dialledAt = now;
                open = false;
                waiting = 0;
                owedSince = null;
                connection = Connection.connect(loop, sockets, new InetSocketAddress(to, port), DIAL, this);
                if (connection == null) {
                    return;
                }
                write(Frame.of(MessageCodec.encode(new Hello(host))));
            }
            if (!open && waiting > MOST_WAITING) {
                return;
            }
            owedSince = answered && owedSince == null ? now : owedSince;
            write(frame);
        }

        /** Whether nothing was sent for long; its connection is closed then. */
        private boolean rests() {
            boolean rests = loop.now().minus(usedAt).compareTo(RESTS) > 0;
            if (rests && connection != null) {
                connection.close();
                connection = null;
            }
            return rests;
        }

        private void write(ByteBuffer frame) {
            waiting += frame.remaining();
            connection.send(frame);
        }

        @Override
        public void opened() {
            open = true;
        }

        @Override
        public void received(ByteBuffer bytes) {
            // Nothing comes this way.
        }

        @Override
        public void disconnected(String cause) {
            connection = null;
            lost();
        }

        private void lost() {
            owedSince = null;
            reader.broken(to);
        }
    }

    /** What comes from one host. */
    private final class In implements Connection.Handler {
        private final Connection connection;
        private String from;
        private byte[] gathered = new byte[512];
        private int count;

        In(Connection connection) {
            this.connection = connection;
            connection.setHandler(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            int more = bytes.remaining();
            if (count + more > gathered.length) {
                gathered = Arrays.copyOf(gathered, Math.max(count + more, 2 * gathered.length));
            }
            bytes.get(gathered, count, more);
            count += more;
            int at = 0;
            while (count - at >= Frame.HEADER && connection.isOpen()) {
                int header = ByteBuffer.wrap(gathered, at, Frame.HEADER).getInt();
                int length = Math.abs(header);
                if (!Frame.isPossible(header)) {
                    LOG.log(System.Logger.Level.WARNING, "a message of " + from + " has an impossible length");
                    connection.close();
                    return;
                } else if (count - at - Frame.HEADER < length) {
                    break;
                }
                whole(header, Arrays.copyOfRange(gathered, at + Frame.HEADER, at + Frame.HEADER + length));
                at += Frame.HEADER + length;
            }
            System.arraycopy(gathered, at, gathered, 0, count - at);
            count -= at;
            if (count == 0 && gathered.length > 65_536) {
                gathered = new byte[512];
            }
        }

        private void whole(int header, byte[] sent) {
            try {
                Message message = MessageCodec.decode(Frame.body(header, sent));
                if (from != null && linkFaults.dropsFrom(from)) {
                    return;
                } else if (from != null) {
                    heard(from);
                    take(from, message);
                } else if (message instanceof Hello hello) {
                    from = hello.host();
                } else {
                    throw new MalformedMessage("message " + message.kind() + " before a hello");
                }
            } catch (MalformedMessage e) {
                LOG.log(System.Logger.Level.WARNING, "a message of " + from + " is malformed: " + e.getMessage());
                connection.close();
            }
        }

        @Override
        public void disconnected(String cause) {
            // The other side dials again when it has something to say.
        }
    }
}
