package saltdale.routing;

import java.nio.ByteBuffer;
import saltdale.transport.Connection;
import saltdale.transport.Pool;
import saltdale.transport.Sockets;

/**
 * The connection on which a runner took a job, kept for taking it back. Guards against a runner that falls silent: to
 * it no new connection comes up, and probes may have used up those that rested.
 */
final class Kept implements Connection.Owner {
    private final Sockets sockets;
    private final Pool pool;
    private final Runnable drop = this::drop;
    private Connection connection;

    Kept(Sockets sockets, Pool pool, Connection connection) {
        this.sockets = sockets;
        this.pool = pool;
        this.connection = connection;
        connection.owner(this);
        sockets.idle(Sockets.Rank.RUNNER, drop);
    }

    /** Hands it over; null where it has ended. */
    Connection take() {
        Connection taken = connection;
        connection = null;
        sockets.busy(drop);
        return taken != null && taken.stillQuiet() ? taken : null;
    }

    /** The job has ended: the connection serves others. */
    void rest() {
        Connection rested = connection;
        connection = null;
        sockets.busy(drop);
        if (rested != null) {
            pool.rest(rested);
        }
    }

    private void drop() {
        Connection dropped = connection;
        connection = null;
        sockets.busy(drop);
        if (dropped != null) {
            dropped.close();
        }
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
