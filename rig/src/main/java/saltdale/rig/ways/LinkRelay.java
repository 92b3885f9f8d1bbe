package saltdale.rig.ways;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.standin.LoopThread;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/**
 * A TCP relay that imitates a link in a given condition. While a direction is blocked, bytes stay in the sender's
 * kernel buffers, as on a network that loses packets, and arrive once the link is restored. Used on the loop thread
 * only; the bytes it buffers are bounded.
 */
public final class LinkRelay {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** Shortest time between two sends on a link of limited rate. */
    private static final Duration MIN_SEND_INTERVAL = Duration.ofMillis(20);
    /** Buffer limit of one direction of a connection; beyond it reading pauses and the sender waits. */
    private static final int MAX_BUFFERED_BYTES = 1 << 18;

    private final LoopThread loopThread;
    private final InetSocketAddress target;
    private final boolean fromDispatcher;
    private final SplittableRandom random;
    private final SwitchableListener listener;
    private final Set<RelayedConnection> connections = new LinkedHashSet<>();
    private LinkCondition condition = LinkCondition.CLEAR;

    /** {@code fromDispatcher}: whether the dispatcher is the connecting side, so that its bytes go to the runner. */
    public LinkRelay(
            LoopThread loopThread,
            InetSocketAddress address,
            InetSocketAddress target,
            boolean fromDispatcher,
            SplittableRandom random)
            throws IOException {
        this.loopThread = loopThread;
        this.target = target;
        this.fromDispatcher = fromDispatcher;
        this.random = random;
        listener = new SwitchableListener(loopThread, address, (connection, full) -> new RelayedConnection(connection));
    }

    /** The current condition of the link. */
    public LinkCondition condition() {
        return condition;
    }

    /** Changes the condition of the link, also for connections that are open. */
    public void setCondition(LinkCondition next) {
        condition = next;
        if (next.reset()) {
            listener.close();
            List.copyOf(connections).forEach(RelayedConnection::reset);
        } else {
            listener.open();
            listener.setSilent(next.isUnresponsive());
            List.copyOf(connections).forEach(RelayedConnection::update);
        }
    }

    /** An accepted connection and the connection to the target that belongs to it. */
    private final class RelayedConnection {
        private final Connection client;
        private final Connection server;
        private final Direction forward;
        private final Direction backward;

        RelayedConnection(Connection client) {
            this.client = client;
            forward = new Direction(fromDispatcher);
            backward = new Direction(!fromDispatcher);
            server = Connection.connect(loopThread.loop, loopThread.sockets, target, CONNECT_TIMEOUT, backward);
            if (server == null) {
                client.setHandler(forward);
                client.reset();
                return;
            }
            forward.connect(client, server);
            backward.connect(server, client);
            client.setHandler(forward);
            connections.add(this);
            update();
        }

        void reset() {
            connections.remove(this);
            client.reset();
            server.reset();
        }

        void update() {
            forward.update();
            backward.update();
        }

        private record Chunk(Duration due, ByteBuffer bytes) {}

        /** One direction of a relayed connection. */
        private final class Direction implements Connection.Handler {
            private final boolean toRunner;
            private final Deque<Chunk> chunks = new ArrayDeque<>();
            private Connection from;
            private Connection to;
            private Timer timer;
            private Duration lastDue = Duration.ZERO;
            private int bufferedBytes;
            private boolean opened;
            private boolean ended;

            Direction(boolean toRunner) {
                this.toRunner = toRunner;
            }

            void connect(Connection source, Connection destination) {
                from = source;
                to = destination;
            }

            private boolean isBlocked() {
                return toRunner ? condition.blockedToRunner() : condition.blockedFromRunner();
            }

            @Override
            public void opened() {
                opened = true;
            }

            @Override
            public void received(ByteBuffer bytes) {
                ByteBuffer copy =
                        ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
                double delaySeconds = condition.delaySeconds() * (1 + condition.jitterShare() * random.nextDouble());
                Duration due = loopThread.loop.now().plusNanos((long) (delaySeconds * 1e9));
                lastDue = due.compareTo(lastDue) > 0 ? due : lastDue; // keeps the order, as TCP does
                chunks.add(new Chunk(lastDue, copy));
                bufferedBytes += copy.remaining();
                update();
            }

            @Override
            public void disconnected(String cause) {
                ended = true;
                if (this == backward && !opened) { // the target is unreachable: reset the client too
                    RelayedConnection.this.reset();
                    return;
                }
                sendDue();
            }

            void update() {
                if (!ended) {
                    from.setReadEnabled(!isBlocked() && bufferedBytes < MAX_BUFFERED_BYTES);
                }
                sendDue();
            }

            private void sendDue() {
                if (timer != null) {
                    timer.cancel();
                    timer = null;
                }
                Duration now = loopThread.loop.now();
                while (!isBlocked() && !chunks.isEmpty()) {
                    Chunk next = chunks.peek();
                    if (next.due.compareTo(now) > 0) {
                        timer = loopThread.loop.schedule(next.due.minus(now), this::sendDue);
                        return;
                    } else if (condition.bytesPerSecond() > 0) {
                        sendLimited(next);
                        return;
                    }
                    chunks.poll();
                    send(next.bytes);
                }
                if (chunks.isEmpty() && ended) {
                    connections.remove(RelayedConnection.this);
                    if (this == forward && !backward.opened) {
                        to.close(); // the client left before the target was reached
                    } else {
                        to.closeGracefully();
                    }
                }
            }

            private void sendLimited(Chunk next) {
                double intervalSeconds = Math.max(MIN_SEND_INTERVAL.toNanos() / 1e9, 1 / condition.bytesPerSecond());
                int count = Math.min(
                        next.bytes.remaining(), Math.max(1, (int) (condition.bytesPerSecond() * intervalSeconds)));
                byte[] bytes = new byte[count];
                next.bytes.get(bytes);
                if (!next.bytes.hasRemaining()) {
                    chunks.poll();
                }
                send(ByteBuffer.wrap(bytes));
                timer = loopThread.loop.schedule(Duration.ofNanos((long) (intervalSeconds * 1e9)), this::update);
            }

            private void send(ByteBuffer bytes) {
                bufferedBytes -= bytes.remaining();
                to.send(bytes);
            }
        }
    }
}
