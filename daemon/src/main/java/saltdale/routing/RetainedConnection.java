package saltdale.routing;

import java.nio.ByteBuffer;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.SocketBudget;

/**
 * The connection on which a runner accepted a job, retained for cancelling that job. Without it, a job could not be
 * cancelled at a runner that stops responding: no new connection to it is established, and probes may have used up the
 * idle connections in the pool.
 */
final class RetainedConnection implements Connection.Handler {
    private final SocketBudget sockets;
    private final ConnectionPool pool;
    private final Runnable closer = this::close;
    private Connection connection;

    RetainedConnection(SocketBudget sockets, ConnectionPool pool, Connection connection) {
        this.sockets = sockets;
        this.pool = pool;
        this.connection = connection;
        connection.setHandler(this);
        sockets.markIdle(SocketBudget.IdleRank.POOLED, closer);
    }

    /** Hands over the connection; returns null if it has been closed. */
    Connection take() {
        Connection taken = connection;
        connection = null;
        sockets.markBusy(closer);
        return taken != null && taken.validateIdle() ? taken : null;
    }

    /** Returns the connection to the pool, because the job has ended. */
    void release() {
        Connection released = connection;
        connection = null;
        sockets.markBusy(closer);
        if (released != null) {
            pool.release(released);
        }
    }

    private void close() {
        Connection closed = connection;
        connection = null;
        sockets.markBusy(closer);
        if (closed != null) {
            closed.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        close(); // no response is outstanding, so these bytes belong to no request
    }

    @Override
    public void disconnected(String cause) {
        close();
    }
}
