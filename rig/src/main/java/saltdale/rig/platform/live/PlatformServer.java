package saltdale.rig.platform.live;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import saltdale.protocol.Head;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Platform;
import saltdale.rig.platform.Platform.Reply;
import saltdale.rig.standin.Exchange;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Listener;

/** The HTTP server of the platform's API; used on the loop thread. */
final class PlatformServer {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Origin origin;
    private final Platform platform;
    private final PrintWriter log;

    /**
     * Starts listening.
     *
     * @param log gets a line for each call; null for none
     */
    PlatformServer(LoopThread loopThread, Origin origin, Deployment deployment, Platform platform, PrintWriter log)
            throws IOException {
        this.origin = origin;
        this.platform = platform;
        this.log = log;
        new Listener(
                loopThread.loop,
                loopThread.sockets,
                Address.parse(deployment.platformAddress()),
                (connection, full) -> new CallConnection(connection));
    }

    private final class CallConnection extends Exchange {
        CallConnection(Connection connection) {
            super(connection, origin);
        }

        @Override
        public void disconnected(String cause) {
            // Requests are answered at once, so that none can be in progress.
        }

        @Override
        protected void onRequest(Head head, byte[] body, Duration first) {
            Reply reply = reply(head, body);
            if (log != null) {
                log.printf(
                        Locale.ROOT,
                        "%.3f %s %s %d %s%n",
                        origin.now().toMillis() / 1e3,
                        head.method(),
                        head.target(),
                        reply.status(),
                        head.method().equals("POST")
                                ? dutyHolder(head) + " " + new String(body, StandardCharsets.UTF_8) + " " + reply.body()
                                : "");
            }
            connection.send(ByteBuffer.wrap(answer(
                    reply.status(),
                    "Content-Type: application/json\r\n",
                    reply.body().toString())));
            responseSent();
            if (!head.keepsAlive()) {
                connection.closeGracefully();
            }
        }
    }

    private Reply reply(Head head, byte[] body) {
        String fence = head.header("X-Saltdale-Fence-Number");
        if (fence != null && !fence.matches("\\d{1,18}")) {
            return new Reply(400, JSON.createObjectNode());
        }
        Long fenceNumber = fence == null ? null : Long.valueOf(fence);
        JsonNode request = parseJson(body);
        return switch (head.method() + " " + head.path()) {
            case "GET /runners" -> platform.runners(query(head.target(), "zone"), query(head.target(), "page_token"));
            case "GET /workers" -> platform.workers();
            case "POST /begin" ->
                platform.begin(
                        fenceNumber,
                        text(request, "service"),
                        text(request, "worker_machine"),
                        text(request, "request_nonce"));
            case "POST /stop" -> platform.stop(fenceNumber, text(request, "identifier"));
            default -> new Reply(404, JSON.createObjectNode());
        };
    }

    private static String dutyHolder(Head head) {
        return head.header("X-Saltdale-Duty-Holder") + " " + head.header("X-Saltdale-Fence-Number");
    }

    private static JsonNode parseJson(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance(); // a node without members
        } catch (IOException e) {
            throw new IllegalStateException(e); // reading from memory doesn't fail
        }
    }

    private static String text(JsonNode node, String name) {
        return node.path(name).isTextual() ? node.path(name).textValue() : null;
    }

    private static String query(String target, String name) {
        int queryStart = target.indexOf('?');
        for (String each : queryStart < 0
                ? new String[0]
                : target.substring(queryStart + 1).split("&")) {
            if (each.startsWith(name + "=")) {
                return URLDecoder.decode(each.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
