package saltdale.routing;

import java.time.Duration;
import saltdale.model.Runner;
import saltdale.transport.ConnectionPool;

/** A runner with its name in the runner list, its current address and the connection pool to it. */
final class RunnerEndpoint {
    final String name;
    final Runner runner = new Runner();
    String address;
    ConnectionPool pool;
    /** Since when the runner has been missing from the runner list; null while it is listed. */
    Duration goneAt;

    RunnerEndpoint(String name, String address, ConnectionPool pool) {
        this.name = name;
        this.address = address;
        this.pool = pool;
    }

    /** The runner now listens on another address; idle connections to the old address are closed. */
    void moveTo(String newAddress, ConnectionPool newPool) {
        pool.closeIdle();
        address = newAddress;
        pool = newPool;
    }
}
