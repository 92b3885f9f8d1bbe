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
 * Connections between the processes of the system, with one connection per direction between two hosts. Messages are
 * encoded as CBOR and framed by {@link Frame}. A message that cannot be sent soon is dropped; a sender that needs a
 * reply has to repeat its message.
 */
final class PeerConnections {
    /** Receives the messages of other processes. */
    interface MessageHandler {
        /** Handles a message; throws if it is malformed. */
        void handleMessage(String fromHost, Message message) throws MalformedMessage;

        /** The connection to a host was lost; messages sent recently may not have arrived. */
        void connectionLost(String host);
    }

    private static final System.Logger LOG = System.getLogger(PeerConnections.class.getName());
    private static final int MAX_UNSENT_BYTES = 8 << 20; // for a host that does not read, or is not connected yet
    /** Smaller messages are sent however much waits for all hosts together. */
    private static final int SMALL_MESSAGE_BYTES = 4 << 10;

    private static final int FIRST_BUFFER_BYTES = 512;
    private static final int LARGE_BUFFER_BYTES = 64 << 10;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30); // after the last message sent

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final String host;
    private final int port;
    private final Duration replyTimeout;
    private final MessageHandler messageHandler;
    private final LinkFaults linkFaults;
    private final long maxUnsentBytes;
    private final Map<String, OutgoingConnection> outgoingByHost = new HashMap<>();
    /** The number of messages sent and their bytes, by kind. */
    final Map<MessageKind, long[]> sentByKind = new EnumMap<>(MessageKind.class);

    /**
     * Listens for the connections of other processes. The connection to a host that owes a reply and has sent nothing
     * for longer than {@code replyTimeout} is replaced by a new one when the next message is sent to that host. At most
     * {@code maxUnsentBytes} wait for all hosts together.
     */
    PeerConnections(
            EventLoop loop,
            SocketBudget sockets,
            String host,
            int port,
            Duration replyTimeout,
            long maxUnsentBytes,
            MessageHandler messageHandler)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.host = host;
        this.port = port;
        this.replyTimeout = replyTimeout;
        this.maxUnsentBytes = maxUnsentBytes;
        this.messageHandler = messageHandler;
        linkFaults = LinkFaults.fromEnvironment(() -> loop.elapsed().toMillis());
        new Listener(
                loop,
                sockets,
                new InetSocketAddress(host, port),
                (connection, overLimit) -> new IncomingConnection(connection));
        closeIdle();
    }

    /**
     * Closes idle connections periodically. Otherwise connections to all hosts ever contacted would stay open, but a
     * control node has file descriptors only for its own proxies.
     */
    private void closeIdle() {
        loop.schedule(IDLE_TIMEOUT.dividedBy(2), this::closeIdle); // even if this run fails
        outgoingByHost.values().removeIf(OutgoingConnection::closeIfIdle);
    }

    /** Sends a message to a host; the message may be lost. */
    void send(String to, Message message) {
        if (to.equals(host)) {
            loop.defer(() -> deliver(host, message));
            return;
        }
        ByteBuffer frame = Frame.encode(MessageCodec.encode(message));
        long[] count = sentByKind.computeIfAbsent(message.kind(), kind -> new long[2]);
        count[0]++;
        count[1] += frame.remaining();
        if (linkFaults.dropsTo(to) || exceedsUnsentLimit(frame.remaining())) {
            return;
        }
        outgoingByHost.computeIfAbsent(to, OutgoingConnection::new).send(frame, message.expectsReply());
    }

    /** Returns whether a large message would make too much wait for the hosts that do not read. */
    private boolean exceedsUnsentLimit(int bytes) {
        return bytes > SMALL_MESSAGE_BYTES && totalUnsentBytes() + bytes > maxUnsentBytes;
    }

    /** Returns how many bytes wait for all hosts together. */
    long totalUnsentBytes() {
        return outgoingByHost.keySet().stream().mapToLong(this::unsentBytes).sum();
    }

    /** Returns how many bytes wait until a host reads them, or is connected. */
    long unsentBytes(String to) {
        OutgoingConnection outgoing = outgoingByHost.get(to);
        return outgoing == null || outgoing.connection == null ? 0 : outgoing.connection.unsentBytes();
    }

    /** Passes on a message. One whose handling fails must not take the connection and the messages behind it along. */
    private void deliver(String from, Message message) {
        loop.runGuarded(() -> {
            try {
                messageHandler.handleMessage(from, message);
            } catch (MalformedMessage e) {
                LOG.log(System.Logger.Level.WARNING, "message from " + from + " is malformed: " + e.getMessage());
            }
        });
    }

    /** The host is alive: its missing reply no longer counts as overdue. */
    private void messageReceived(String from) {
        OutgoingConnection outgoing = outgoingByHost.get(from);
        if (outgoing != null) {
            outgoing.awaitingReplySince = null;
        }
    }

    /** The connection that carries messages to one host. */
    private final class OutgoingConnection implements Connection.Handler {
        private final String to;
        private Connection connection;
        private Duration awaitingReplySince;
        private Duration connectStartedAt;
        private Duration lastSentAt = loop.now();

        OutgoingConnection(String to) {
            this.to = to;
        }

        void send(ByteBuffer frame, boolean expectsReply) {
            Duration now = loop.now();
            lastSentAt = now;
            if (connection != null
                    && awaitingReplySince != null
                    && now.minus(awaitingReplySince).compareTo(replyTimeout) > 0) {
                // The machine may have lost power or be partitioned off; the connection would hang for a long time.
                Connection hung = connection;
                connection = null;
                hung.reset();
                notifyLost();
            }
            if (connection == null) {
                if (connectStartedAt != null && now.minus(connectStartedAt).toMillis() < 100) {
                    return; // the last attempt to connect was less than 100 ms ago
                }
                connectStartedAt = now;
                awaitingReplySince = null;
                connection = Connection.connect(loop, sockets, new InetSocketAddress(to, port), CONNECT_TIMEOUT, this);
                if (connection == null) {
                    return;
                }
                connection.send(Frame.encode(MessageCodec.encode(new Hello(host))));
            }
            if (connection.unsentBytes() > MAX_UNSENT_BYTES) {
                return;
            }
            awaitingReplySince = expectsReply && awaitingReplySince == null ? now : awaitingReplySince;
            connection.send(frame);
        }

        /** Closes the connection and returns true if no message was sent for {@link #IDLE_TIMEOUT}. */
        private boolean closeIfIdle() {
            boolean idle = loop.now().minus(lastSentAt).compareTo(IDLE_TIMEOUT) > 0;
            if (idle && connection != null) {
                connection.close();
                connection = null;
            }
            return idle;
        }

        @Override
        public void received(ByteBuffer bytes) {
            // The peer sends its messages over a connection of its own.
        }

        @Override
        public void disconnected(String cause) {
            connection = null;
            notifyLost();
        }

        private void notifyLost() {
            awaitingReplySince = null;
            messageHandler.connectionLost(to);
        }
    }

    /** A connection that carries messages from one host. */
    private final class IncomingConnection implements Connection.Handler {
        private final Connection connection;
        private String from;
        private byte[] buffer = new byte[FIRST_BUFFER_BYTES];
        private int bufferedBytes;

        IncomingConnection(Connection connection) {
            this.connection = connection;
            connection.setHandler(this);
        }

        @Override
        public void received(ByteBuffer bytes) {
            int newBytes = bytes.remaining();
            if (bufferedBytes + newBytes > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(bufferedBytes + newBytes, 2 * buffer.length));
            }
            bytes.get(buffer, bufferedBytes, newBytes);
            bufferedBytes += newBytes;
            int offset = 0;
            while (bufferedBytes - offset >= Frame.HEADER_BYTES && connection.isOpen()) {
                int header = ByteBuffer.wrap(buffer, offset, Frame.HEADER_BYTES).getInt();
                int length = Math.abs(header);
                if (!Frame.isValidHeader(header)) {
                    LOG.log(System.Logger.Level.WARNING, "message from " + from + " has an invalid length");
                    connection.close();
                    return;
                } else if (bufferedBytes - offset - Frame.HEADER_BYTES < length) {
                    break;
                }
                frameReceived(
                        header,
                        Arrays.copyOfRange(buffer, offset + Frame.HEADER_BYTES, offset + Frame.HEADER_BYTES + length));
                offset += Frame.HEADER_BYTES + length;
            }
            System.arraycopy(buffer, offset, buffer, 0, bufferedBytes - offset);
            bufferedBytes -= offset;
            if (buffer.length > LARGE_BUFFER_BYTES && bufferedBytes <= FIRST_BUFFER_BYTES) {
                buffer = Arrays.copyOf(buffer, FIRST_BUFFER_BYTES);
            }
        }

        private void frameReceived(int header, byte[] payload) {
            try {
                Message message = MessageCodec.decode(Frame.decode(header, payload));
                if (from != null && linkFaults.dropsFrom(from)) {
                    return;
                } else if (from != null) {
                    messageReceived(from);
                    deliver(from, message);
                } else if (message instanceof Hello hello) {
                    from = hello.host();
                } else {
                    throw new MalformedMessage("message " + message.kind() + " received before a hello");
                }
            } catch (MalformedMessage e) {
                LOG.log(System.Logger.Level.WARNING, "message from " + from + " is malformed: " + e.getMessage());
                connection.close();
            }
        }

        @Override
        public void disconnected(String cause) {
            // The peer connects again when it has a message to send.
        }
    }
}
