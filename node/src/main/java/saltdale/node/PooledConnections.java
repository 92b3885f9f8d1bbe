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

/** The connections to one instance, over sockets. */
final class PooledConnections implements UpstreamConnections {
    private record Pooled(Connection connection) implements UpstreamConnection {
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
        public boolean isWritten() {
            return !connection.sendProgress().isIncomplete();
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private final ConnectionPool pool;
    private final Map<Connection, CarriedIds> carriedIds = new WeakHashMap<>();

    PooledConnections(ConnectionPool pool) {
        this.pool = pool;
    }

    @Override
    public UpstreamConnection take(String attemptId, Connection.Handler owner) {
        while (true) {
            Connection connection = pool.acquire(owner);
            if (connection == null) {
                return null;
            }
            if (carriedIds.computeIfAbsent(connection, c -> new CarriedIds()).add(attemptId)) {
                return new Pooled(connection);
            }
            connection.close();
        }
    }

    @Override
    public void rest(UpstreamConnection connection, Duration limit) {
        pool.release(((Pooled) connection).connection, limit);
    }

    /** Tries whether the instance takes connections; false where there was no socket to try it with. */
    boolean probe(Consumer<Boolean> takesConnections) {
        List<Connection> made = new ArrayList<>();
        Connection connection = pool.acquire(new Connection.Handler() {
            @Override
            public void opened() {
                pool.release(made.get(0));
                takesConnections.accept(true);
            }

            @Override
            public void received(ByteBuffer bytes) {
                made.get(0).close(); // nobody asked for it
            }

            @Override
            public void disconnected(String cause) {
                takesConnections.accept(false);
            }
        });
        if (connection != null) {
            made.add(connection);
        }
        return connection != null;
    }

    void closeIdle() {
        pool.closeIdle();
    }
}
