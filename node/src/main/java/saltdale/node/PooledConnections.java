package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import saltdale.transport.Connection;
import saltdale.transport.Pool;

/** The connections to one instance, over sockets. */
final class PooledConnections implements UpstreamConnections {
    /** Of the ids that a connection has carried so many are kept: a late answer comes with one of the next ones. */
    private static final int REMEMBERED_IDS = 32;

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
            return !connection.reach().incomplete();
        }

        @Override
        public void close() {
            connection.close();
        }
    }

    private final Pool pool;
    private final Map<Connection, Set<String>> carriedIds = new WeakHashMap<>();

    PooledConnections(Pool pool) {
        this.pool = pool;
    }

    @Override
    public UpstreamConnection take(String attemptId, Connection.Owner owner) {
        while (true) {
            Connection connection = pool.take(owner);
            if (connection == null) {
                return null;
            }
            if (carries(connection, attemptId)) {
                return new Pooled(connection);
            }
            connection.close();
        }
    }

    /** Notes that it carries this id; false where it did before. */
    private boolean carries(Connection connection, String attemptId) {
        Set<String> ids = carriedIds.computeIfAbsent(connection, c -> new LinkedHashSet<>());
        if (!ids.add(attemptId)) {
            return false;
        }
        if (ids.size() > REMEMBERED_IDS) {
            ids.remove(ids.iterator().next());
        }
        return true;
    }

    @Override
    public void rest(UpstreamConnection connection, Duration limit) {
        pool.rest(((Pooled) connection).connection, limit);
    }

    /** Tries whether the instance takes connections; false where there was no socket to try it with. */
    boolean probe(Consumer<Boolean> takesConnections) {
        List<Connection> made = new ArrayList<>();
        Connection connection = pool.take(new Connection.Owner() {
            @Override
            public void opened() {
                pool.rest(made.get(0));
                takesConnections.accept(true);
            }

            @Override
            public void received(ByteBuffer bytes) {
                made.get(0).close(); // nobody asked for it
            }

            @Override
            public void ended(String cause) {
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
