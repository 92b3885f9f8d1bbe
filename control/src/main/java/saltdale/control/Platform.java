package saltdale.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The platform that runs workers and instances. Answers are null where none came; they come in the loop's thread. */
public interface Platform {
    /** An answer: its status and, where there was one, its body. */
    record Response(int status, Map<String, Object> body) {}

    /** A page of the list of instances; {@code token} is null for the first. */
    void listInstances(String token, Consumer<Response> answer);

    void listWorkers(Consumer<Response> answer);

    void startInstance(
            String holder, long fence, String service, String worker, String nonce, Consumer<Response> answer);

    void stopInstance(String holder, long fence, String id, Consumer<Response> answer);

    /** How often a call may be made, for all dispatchers together. */
    record Rates(double listCallsPerSecond, double dutyCallsPerSecond, List<String> duties) {}
}
