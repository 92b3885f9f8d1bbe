package saltdale.rig.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * A function with the properties that its configuration and its runners use.
 *
 * @param boot the average duration of a start
 * @param work the average duration of a request
 */
public record Service(String name, int memoryMb, Duration boot, int maxConcurrency, Duration work) {
    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", name)
                .putNull("health_path")
                .put("connection_limit", 18 * maxConcurrency + 6)
                .put("protocol", "h1")
                .put("transport_security", false)
                .put("memory_mb", memoryMb)
                .put("boot_ms", boot.toMillis())
                .put("max_concurrency", maxConcurrency);
    }
}
