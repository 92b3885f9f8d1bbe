package saltdale.node;

import java.time.Duration;
import saltdale.transport.Connection;

/** The connections to one instance; each serves one exchange at a time. */
interface UpstreamConnections {
    /**
     * A connection for an attempt with this id, perhaps still connecting; null where there is no socket for one. No
     * connection carries the same id twice: a late answer to the first attempt could not be told from the second's.
     */
    UpstreamConnection take(String attemptId, Connection.Handler owner);

    /** Takes back a connection whose exchange is over, for so long at most. */
    void rest(UpstreamConnection connection, Duration limit);
}
