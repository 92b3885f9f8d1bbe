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

/** A client of the platform's HTTP API. */
final class PlatformClient implements Platform {
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Duration TIMEOUT = Duration.ofMillis(1200);

    private final EventLoopEnvironment environment;
    private final ConnectionPool pool;
    private final String host;

    PlatformClient(EventLoopEnvironment environment, String address) throws Settings.InvalidSettingsException {
        this.environment = environment;
        host = address;
        pool = new ConnectionPool(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.parseAddress(address, "platform_api.address"),
                Duration.ofMillis(500),
                Duration.ofSeconds(2));
    }

    @Override
    public void listInstances(String token, Consumer<Response> response) {
        get(token == null ? "/runners" : "/runners?page_token=" + token, response);
    }

    @Override
    public void listWorkers(Consumer<Response> response) {
        get("/workers", response);
    }

    @Override
    public void startInstance(
            String holder, long fence, String service, String worker, String nonce, Consumer<Response> response) {
        post(
                "/begin",
                holder,
                fence,
                Fields.tree("service", service, "worker_machine", worker, "request_nonce", nonce),
                response);
    }

    @Override
    public void stopInstance(String holder, long fence, String id, Consumer<Response> response) {
        post("/stop", holder, fence, Fields.tree("identifier", id), response);
    }

    private void get(String target, Consumer<Response> response) {
        call(HttpWriter.request("GET", target, host), EMPTY_BODY, response);
    }

    private void post(String target, String holder, long fence, Map<String, Object> tree, Consumer<Response> response) {
        byte[] body = Trees.toJson(tree);
        call(
                HttpWriter.request(
                        "POST",
                        target,
                        host,
                        "X-Saltdale-Duty-Holder: " + holder + "\r\nX-Saltdale-Fence-Number: " + fence
                                + "\r\nContent-Type: application/json\r\n",
                        body.length),
                body,
                response);
    }

    private void call(byte[] head, byte[] body, Consumer<Response> response) {
        OutgoingCall.start(environment.loop, pool, TIMEOUT, head, body, httpResponse -> {
            if (httpResponse == null) {
                response.accept(null);
                return;
            }
            Map<String, Object> tree = null;
            byte[] text = httpResponse.body();
            if (text.length > 0) {
                try {
                    tree = Trees.fromJson(text);
                } catch (MalformedMessage e) {
                    environment.log("response of the platform is not valid JSON: "
                            + new String(text, 0, Math.min(80, text.length), StandardCharsets.UTF_8));
                }
            }
            response.accept(new Response(httpResponse.head().status(), tree));
        });
    }
}
