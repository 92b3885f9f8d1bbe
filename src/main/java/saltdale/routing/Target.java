package saltdale.routing;

import java.time.Duration;
import saltdale.model.Runner;
import saltdale.transport.Pool;

/** A runner as the network knows it. */
final class Target {
    final String host;
    final Runner runner = new Runner();
    /** Null until its address is known. */
    Pool pool;
    String dial = "";
    /** Since when no list has held it; null while one does. */
    Duration goneAt;

    Target(String host) {
        this.host = host;
    }
}
