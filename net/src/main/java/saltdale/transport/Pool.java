package saltdale.transport;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The connections to one address; each carries one message exchange at a time. */
public final class Pool {
    private final Loop loop;
    private final Sockets sockets;
    private final InetSocketAddress address;
    private final Duration dialLimit;
    private final Duration idleLimit;
    private final Deque<Resting> resting = new ArrayDeque<>(); // the last used first
    private long dialled;

    /** Connections idle for {@code idleLimit} are not used again. */
    public Pool(Loop loop, Sockets sockets, InetSocketAddress address, Duration dialLimit, Duration idleLimit) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.dialLimit = dialLimit;
        this.idleLimit = idleLimit;
    }

    public long dialled() {
        return dialled;
    }

    /** A connection for one exchange, perhaps still connecting; null where there is no socket for one. */
    public Connection take(Connection.Owner owner) {
        for (Resting next = resting.poll(); next != null; next = resting.poll()) {
            next.leave();
            if (next.connection.stillQuiet()) {
                next.connection.owner(owner);
                return next.connection;
            }
        }
        dialled++;
        return Connection.dial(loop, sockets, address, dialLimit, owner);
    }

    /** Takes back a connection whose exchange is over. */
    public void rest(Connection connection) {
        rest(connection, idleLimit);
    }

    /** The same, for so long where the peer has said how long it keeps one. */
    public void rest(Connection connection, Duration limit) {
        if (connection.isOpen() && !limit.isNegative()) {
            resting.addFirst(new Resting(connection, limit.compareTo(idleLimit) < 0 ? limit : idleLimit));
        } else {
            connection.close();
        }
    }

    public void closeIdle() {
        while (!resting.isEmpty()) {
            resting.peek().drop();
        }
    }

    private final class Resting implements Connection.Owner {
        final Connection connection;
        private final Timer limit;
        private final Runnable drop = this::drop;

        Resting(Connection connection, Duration span) {
            this.connection = connection;
            connection.owner(this);
            // Guards against a request that crosses the peer's closing of an idle connection.
            limit = loop.after(span, drop);
            sockets.idle(Sockets.Rank.RUNNER, drop);
        }

        void leave() {
            limit.cancel();
            sockets.busy(drop);
        }

        void drop() {
            leave();
            resting.remove(this);
            connection.close();
        }

        @Override
        public void received(ByteBuffer bytes) {
            drop(); // nobody asked for it
        }

        @Override
        public void ended(String cause) {
            drop();
        }
    }
}
