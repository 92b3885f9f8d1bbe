package saltdale.transport;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A pool of connections to one address; each connection carries one message exchange at a time. */
public final class ConnectionPool {
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final InetSocketAddress address;
    private final Duration connectTimeout;
    private final Duration idleTimeout;
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>(); // most recently used first
    private long connectCount;

    /** Creates a pool that closes connections after they have been idle for {@code idleTimeout}. */
    public ConnectionPool(
            EventLoop loop,
            SocketBudget sockets,
            InetSocketAddress address,
            Duration connectTimeout,
            Duration idleTimeout) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.connectTimeout = connectTimeout;
        this.idleTimeout = idleTimeout;
    }

    /** Returns how many new connections the pool has started to open. */
    public long connectCount() {
        return connectCount;
    }

    /**
     * Returns a connection for one exchange, either an idle one or a new one that may still be connecting. Returns null
     * if no socket is available.
     */
    public Connection acquire(Connection.Handler handler) {
        for (IdleConnection next = idleConnections.poll(); next != null; next = idleConnections.poll()) {
            next.stopIdling();
            if (next.connection.validateIdle()) {
                next.connection.setHandler(handler);
                return next.connection;
            }
        }
        connectCount++;
        return Connection.connect(loop, sockets, address, connectTimeout, handler);
    }

    /** Returns a connection to the pool after its exchange. */
    public void release(Connection connection) {
        release(connection, idleTimeout);
    }

    /** Returns a connection to the pool, for at most {@code limit} if the peer has announced how long it keeps it. */
    public void release(Connection connection, Duration limit) {
        if (connection.isOpen() && !limit.isNegative()) {
            idleConnections.addFirst(
                    new IdleConnection(connection, limit.compareTo(idleTimeout) < 0 ? limit : idleTimeout));
        } else {
            connection.close();
        }
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        while (!idleConnections.isEmpty()) {
            idleConnections.peek().close();
        }
    }

    private final class IdleConnection implements Connection.Handler {
        final Connection connection;
        private final Timer idleTimer;
        private final Runnable closeAction = this::close;

        IdleConnection(Connection connection, Duration timeout) {
            this.connection = connection;
            connection.setHandler(this);
            // Avoids sending a request on a connection that the peer is closing because it was idle.
            idleTimer = loop.schedule(timeout, closeAction);
            sockets.markIdle(SocketBudget.IdleRank.POOLED, closeAction);
        }

        void stopIdling() {
            idleTimer.cancel();
            sockets.markBusy(closeAction);
        }

        void close() {
            stopIdling();
            idleConnections.remove(this);
            connection.close();
        }

        @Override
        public void received(ByteBuffer bytes) {
            close(); // unsolicited bytes
        }

        @Override
        public void disconnected(String cause) {
            close();
        }
    }
}
