package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.SendProgress;

/** The TCP connections to one instance, kept in a {@link ConnectionPool}. */
final class PooledConnections implements UpstreamConnections {
    private record PooledConnection(Connection connection) implements UpstreamConnection {
        @Override
        public boolean isReused() {
            return connection.isReused();
        }

        @Override
        public void send(byte[] head, byte[] body) {
            connection.beginMessage();
            connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
        }

        @Override
        public SendProgress sendProgress() {
            return connection.sendProgress();
        }

        @Override
        public void setReadEnabled(boolean enabled) {
            connection.setReadEnabled(enabled);
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private final ConnectionPool pool;
    private final Map<Connection, RecentAttemptIds> recentIds = new WeakHashMap<>();

    PooledConnections(ConnectionPool pool) {
        this.pool = pool;
    }

    @Override
    public UpstreamConnection acquire(String attemptId, Connection.Handler handler) {
        while (true) {
            Connection connection = pool.acquire(handler);
            if (connection == null) {
                return null;
            }
            if (recentIds
                    .computeIfAbsent(connection, c -> new RecentAttemptIds())
                    .add(attemptId)) {
                return new PooledConnection(connection);
            }
            connection.close();
        }
    }

    @Override
    public void release(UpstreamConnection connection, Duration maxIdleTime) {
        pool.release(((PooledConnection) connection).connection, maxIdleTime);
    }

    /**
     * Tests whether the instance accepts connections and passes the result to {@code onResult}. Returns false, without
     * a result, if no socket is available for the test.
     */
    boolean testConnection(Consumer<Boolean> onResult) {
        List<Connection> holder = new ArrayList<>();
        Connection connection = pool.acquire(new Connection.Handler() {
            @Override
            public void opened() {
                pool.release(holder.get(0));
                onResult.accept(true);
            }

            @Override
            public void received(ByteBuffer bytes) {
                holder.get(0).close(); // an instance must not send anything without a request
            }

            @Override
            public void disconnected(String cause) {
                onResult.accept(false);
            }
        });
        if (connection != null) {
            holder.add(connection);
        }
        return connection != null;
    }

    /** Closes the connections that no exchange uses. */
    void closeIdle() {
        pool.closeIdle();
    }
}
