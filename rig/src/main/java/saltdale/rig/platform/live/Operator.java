package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;
import saltdale.rig.standin.LoopThread;
import saltdale.transport.Address;

/** Sends configuration changes to the control nodes and reads the configuration back; used on the loop thread. */
final class Operator {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(1);
    private static final Set<Integer> FINAL_STATUSES = Set.of(400, 409, 412, 413, 422);
    private static final int MAX_REDIRECTS = 2;

    private final LoopThread loopThread;
    private final List<InetSocketAddress> controlAddresses;
    private int nextNode;
    private int redirects;

    Operator(LoopThread loopThread, Deployment deployment) {
        this.loopThread = loopThread;
        controlAddresses = deployment.controlNodes().stream()
                .map(controlNode -> Address.parse(controlNode.at(Machine.CONTROL_PORT)))
                .toList();
    }

    /** The number of redirects that were followed. */
    int redirects() {
        return redirects;
    }

    /** Sends a change, and repeats it unchanged until the answer is conclusive; {@code then} gets that answer. */
    void change(String call, int basedOn, ObjectNode body, Consumer<HttpCall.Answer> then) {
        new PendingCall(
                        "POST",
                        "/Configuration." + call,
                        "Content-Type: application/json\r\nX-Saltdale-Based-On-Version: " + basedOn + "\r\n",
                        body.toString().getBytes(StandardCharsets.UTF_8),
                        then)
                .send();
    }

    /** Reads the configuration; {@code then} gets the first conclusive answer. */
    void read(Consumer<HttpCall.Answer> then) {
        new PendingCall("GET", "/Configuration.Read", "", new byte[0], then).send();
    }

    private final class PendingCall {
        private final String method;
        private final String path;
        private final String headers;
        private final byte[] body;
        private final Consumer<HttpCall.Answer> then;
        private Duration pause = Duration.ofMillis(100);
        private int otherClientErrors;

        PendingCall(String method, String path, String headers, byte[] body, Consumer<HttpCall.Answer> then) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.then = then;
        }

        void send() {
            call(controlAddresses.get(nextNode++ % controlAddresses.size()), path, 0);
        }

        private void call(InetSocketAddress at, String target, int redirectsFollowed) {
            HttpCall.send(
                    loopThread,
                    at,
                    method,
                    target,
                    headers,
                    body,
                    CALL_LIMIT,
                    answer -> handle(answer, redirectsFollowed));
        }

        private void handle(HttpCall.Answer answer, int redirectsFollowed) {
            int status = answer == null ? 0 : answer.status();
            if (status == 200 || FINAL_STATUSES.contains(status)) {
                then.accept(answer);
            } else if (status == 307 && redirectsFollowed < MAX_REDIRECTS && follow(answer, redirectsFollowed)) {
                redirects++;
            } else if (status / 100 == 4 && status != 408 && status != 429 && ++otherClientErrors == 3) {
                then.accept(answer);
            } else {
                loopThread.loop.schedule(pause, this::send);
                pause = pause.multipliedBy(3).dividedBy(2);
                pause = pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
            }
        }

        private boolean follow(HttpCall.Answer answer, int redirectsFollowed) {
            try {
                URI location = URI.create(answer.head().header("Location"));
                InetSocketAddress at = Address.parse(location.getAuthority());
                if (at != null) {
                    call(at, location.getRawPath(), redirectsFollowed + 1);
                }
                return at != null;
            } catch (IllegalArgumentException | NullPointerException e) {
                return false; // Location is missing or is no URI with an address
            }
        }
    }
}
