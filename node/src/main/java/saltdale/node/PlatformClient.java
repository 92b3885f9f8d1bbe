package saltdale.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import saltdale.control.Fields;
import saltdale.control.MalformedMessage;
import saltdale.control.Platform;
import saltdale.control.Trees;
import saltdale.protocol.HttpWriter;
import saltdale.transport.ConnectionPool;

/** The platform's interface over HTTP. */
final class PlatformClient implements Platform {
    private static final byte[] NOTHING = new byte[0];
    private static final Duration WITHIN = Duration.ofMillis(1200);

    private final EventLoopEnvironment environment;
    private final ConnectionPool pool;
    private final String host;

    PlatformClient(EventLoopEnvironment environment, String address) throws Settings.Wrong {
        this.environment = environment;
        host = address;
        pool = new ConnectionPool(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.address(address, "platform_api.address"),
                Duration.ofMillis(500),
                Duration.ofSeconds(2));
    }

    @Override
    public void listInstances(String token, Consumer<Response> answer) {
        get(token == null ? "/runners" : "/runners?page_token=" + token, answer);
    }

    @Override
    public void listWorkers(Consumer<Response> answer) {
        get("/workers", answer);
    }

    @Override
    public void startInstance(
            String holder, long fence, String service, String worker, String nonce, Consumer<Response> answer) {
        post(
                "/begin",
                holder,
                fence,
                Fields.tree("service", service, "worker_machine", worker, "request_nonce", nonce),
                answer);
    }

    @Override
    public void stopInstance(String holder, long fence, String id, Consumer<Response> answer) {
        post("/stop", holder, fence, Fields.tree("identifier", id), answer);
    }

    private void get(String target, Consumer<Response> answer) {
        ask(HttpWriter.request("GET", target, host), NOTHING, answer);
    }

    private void post(String target, String holder, long fence, Map<String, Object> tree, Consumer<Response> answer) {
        byte[] body = Trees.toJson(tree);
        ask(
                HttpWriter.request(
                        "POST",
                        target,
                        host,
                        "X-Saltdale-Duty-Holder: " + holder + "\r\nX-Saltdale-Fence-Number: " + fence
                                + "\r\nContent-Type: application/json\r\n",
                        body.length),
                body,
                answer);
    }

    private void ask(byte[] head, byte[] body, Consumer<Response> answer) {
        OutgoingCall.begin(environment.loop, pool, WITHIN, head, body, whole -> {
            if (whole == null) {
                answer.accept(null);
                return;
            }
            Map<String, Object> tree = null;
            byte[] text = whole.body();
            if (text.length > 0) {
                try {
                    tree = Trees.fromJson(text);
                } catch (MalformedMessage e) {
                    environment.log("an answer of the platform is no JSON: "
                            + new String(text, 0, Math.min(80, text.length), StandardCharsets.UTF_8));
                }
            }
            answer.accept(new Response(whole.head().status(), tree));
        });
    }
}
