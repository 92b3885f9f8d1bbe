package saltdale.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The platform that runs workers and instances. Answers are null where none came; they come in the loop's thread. */
public interface Platform {
    /** An answer: its status and, where there was one, its body. */
    record Answer(int status, Map<String, Object> body) {}

    /** A page of the list of instances; {@code token} is null for the first. */
    void instances(String token, Consumer<Answer> answer);

    void workers(Consumer<Answer> answer);

    void begin(String holder, long fence, String service, String worker, String nonce, Consumer<Answer> answer);

    void stop(String holder, long fence, String id, Consumer<Answer> answer);

    /** How often a call may be made, for all dispatchers together. */
    record Rates(double listsPerSecond, double dutiesPerSecond, List<String> duties) {}
}
