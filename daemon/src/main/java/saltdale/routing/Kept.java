package saltdale.routing;

import java.nio.ByteBuffer;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.SocketBudget;

/**
 * The connection on which a runner took a job, kept for taking it back. Guards against a runner that falls silent: to
 * it no new connection comes up, and probes may have used up those that rested.
 */
final class Kept implements Connection.Handler {
    private final SocketBudget sockets;
    private final ConnectionPool pool;
    private final Runnable drop = this::drop;
    private Connection connection;

    Kept(SocketBudget sockets, ConnectionPool pool, Connection connection) {
        this.sockets = sockets;
        this.pool = pool;
        this.connection = connection;
        connection.setHandler(this);
        sockets.markIdle(SocketBudget.IdleRank.POOLED, drop);
    }

    /** Hands it over; null where it has ended. */
    Connection take() {
        Connection taken = connection;
        connection = null;
        sockets.markBusy(drop);
        return taken != null && taken.validateIdle() ? taken : null;
    }

    /** The job has ended: the connection serves others. */
    void rest() {
        Connection rested = connection;
        connection = null;
        sockets.markBusy(drop);
        if (rested != null) {
            pool.release(rested);
        }
    }

    private void drop() {
        Connection dropped = connection;
        connection = null;
        sockets.markBusy(drop);
        if (dropped != null) {
            dropped.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        drop(); // nobody asked for it
    }

    @Override
    public void disconnected(String cause) {
        drop();
    }
}
