package saltdale.transport;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The connections to one address; each carries one message exchange at a time. */
public final class ConnectionPool {
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final InetSocketAddress address;
    private final Duration connectTimeout;
    private final Duration idleTimeout;
    private final Deque<IdleConnection> idleConnections = new ArrayDeque<>(); // the last used first
    private long connectCount;

    /** Connections idle for {@code idleLimit} are not used again. */
    public ConnectionPool(
            EventLoop loop, SocketBudget sockets, InetSocketAddress address, Duration dialLimit, Duration idleLimit) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.connectTimeout = dialLimit;
        this.idleTimeout = idleLimit;
    }

    public long connectCount() {
        return connectCount;
    }

    /** A connection for one exchange, perhaps still connecting; null where there is no socket for one. */
    public Connection acquire(Connection.Handler owner) {
        for (IdleConnection next = idleConnections.poll(); next != null; next = idleConnections.poll()) {
            next.stopIdling();
            if (next.connection.validateIdle()) {
                next.connection.setHandler(owner);
                return next.connection;
            }
        }
        connectCount++;
        return Connection.connect(loop, sockets, address, connectTimeout, owner);
    }

    /** Takes back a connection whose exchange is over. */
    public void release(Connection connection) {
        release(connection, idleTimeout);
    }

    /** The same, for so long where the peer has said how long it keeps one. */
    public void release(Connection connection, Duration limit) {
        if (connection.isOpen() && !limit.isNegative()) {
            idleConnections.addFirst(
                    new IdleConnection(connection, limit.compareTo(idleTimeout) < 0 ? limit : idleTimeout));
        } else {
            connection.close();
        }
    }

    public void closeIdle() {
        while (!idleConnections.isEmpty()) {
            idleConnections.peek().close();
        }
    }

    private final class IdleConnection implements Connection.Handler {
        final Connection connection;
        private final Timer idleTimer;
        private final Runnable closeAction = this::close;

        IdleConnection(Connection connection, Duration span) {
            this.connection = connection;
            connection.setHandler(this);
            // Guards against a request that crosses the peer's closing of an idle connection.
            idleTimer = loop.schedule(span, closeAction);
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
            close(); // nobody asked for it
        }

        @Override
        public void disconnected(String cause) {
            close();
        }
    }
}
