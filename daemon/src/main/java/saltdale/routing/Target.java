package saltdale.routing;

import java.time.Duration;
import saltdale.model.Runner;
import saltdale.transport.ConnectionPool;

/** A runner as the network knows it. */
final class Target {
    final String host;
    final Runner runner = new Runner();
    String dial;
    ConnectionPool pool;
    /** Since when no list has held it; null while one does. */
    Duration goneAt;

    Target(String host, String dial, ConnectionPool pool) {
        this.host = host;
        this.dial = dial;
        this.pool = pool;
    }

    /** It listens at another address now. */
    void moveTo(String newDial, ConnectionPool newPool) {
        pool.closeIdle();
        dial = newDial;
        pool = newPool;
    }
}
