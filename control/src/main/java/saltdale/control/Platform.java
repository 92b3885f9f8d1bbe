package saltdale.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The platform that runs workers and instances. A call without a response passes null to its consumer; consumers run
 * in the event loop's thread.
 */
public interface Platform {
    /** A response: its status, and its body or null. */
    record Response(int status, Map<String, Object> body) {}

    /** Requests a page of the list of instances; {@code token} is null for the first page. */
    void listInstances(String token, Consumer<Response> response);

    /** Requests the list of workers. */
    void listWorkers(Consumer<Response> response);

    /** Starts an instance; repeating the call with the same {@code nonce} starts no second one. */
    void startInstance(
            String holder, long fence, String service, String worker, String nonce, Consumer<Response> response);

    /** Stops an instance. */
    void stopInstance(String holder, long fence, String id, Consumer<Response> response);

    /**
     * The platform's rate limits, which hold for all control nodes together, and the duties that this control node may
     * take over.
     */
    record Rates(double listCallsPerSecond, double dutyCallsPerSecond, List<String> duties) {}
}
