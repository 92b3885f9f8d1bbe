package saltdale.node;

import java.time.Duration;
import saltdale.transport.Connection;

/** The connections to one instance; each connection carries one exchange at a time. */
interface UpstreamConnections {
    /**
     * Returns a connection for an attempt with this id, which may still be connecting, or null if no socket is
     * available. No connection carries the same id twice, because a late answer to the first attempt could not be
     * distinguished from the answer to the second one.
     */
    UpstreamConnection acquire(String attemptId, Connection.Handler handler);

    /** Takes back a connection after its exchange and keeps it open for reuse for at most {@code maxIdleTime}. */
    void release(UpstreamConnection connection, Duration maxIdleTime);
}
