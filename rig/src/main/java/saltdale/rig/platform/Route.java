package saltdale.rig.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * A route of the configuration, and the load that clients put on it.
 *
 * @param aim the time within which an answer earns its full worth
 * @param deadline how long clients wait
 * @param share the weight of the route among the requests; 0 for a route that is never called
 */
public record Route(
        String name,
        String hostname,
        String pathPrefix,
        boolean idempotent,
        String service,
        Duration aim,
        Duration deadline,
        double share) {
    /** The same route to another service. */
    Route to(String otherService) {
        return new Route(name, hostname, pathPrefix, idempotent, otherService, aim, deadline, share);
    }

    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", name)
                .put("hostname", hostname)
                .put("path_prefix", pathPrefix)
                .put("kind", idempotent ? "idempotent" : "non_idempotent")
                .put("timeout_ms", deadline.toMillis())
                .put("target_latency_ms", aim.toMillis())
                .put("priority", idempotent ? 2 : 1)
                .put("service", service)
                .put("max_attempts", idempotent ? 2 : 1);
    }
}
