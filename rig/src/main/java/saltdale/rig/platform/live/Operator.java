package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Site;
import saltdale.rig.standin.LoopThread;
import saltdale.transport.Address;

/** Sends configurations to those who serve control, and reads them back; used on the loop. */
final class Operator {
    private static final Duration LIMIT = Duration.ofSeconds(1);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);
    private static final Set<Integer> ENDS = Set.of(400, 409, 412, 413, 422);
    private static final int MOST_REDIRECTS = 2;

    private final LoopThread loopThread;
    private final List<InetSocketAddress> control;
    private int turn;
    private int redirects;

    Operator(LoopThread loopThread, Site site) {
        this.loopThread = loopThread;
        control = site.controlNodes().stream()
                .map(controlNode -> Address.parse(controlNode.at(Machine.CONTROL)))
                .toList();
    }

    int redirects() {
        return redirects;
    }

    /** Repeats the change unchanged until there is a clear answer; {@code then} is told it. */
    void change(String call, int basedOn, ObjectNode body, Consumer<HttpCall.Answer> then) {
        new Order(
                        "POST",
                        "/Configuration." + call,
                        "Content-Type: application/json\r\nX-Saltdale-Based-On-Version: " + basedOn + "\r\n",
                        body.toString().getBytes(StandardCharsets.UTF_8),
                        then)
                .go();
    }

    void read(Consumer<HttpCall.Answer> then) {
        new Order("GET", "/Configuration.Read", "", new byte[0], then).go();
    }

    private final class Order {
        private final String method;
        private final String path;
        private final String headers;
        private final byte[] body;
        private final Consumer<HttpCall.Answer> then;
        private Duration pause = Duration.ofMillis(100);
        private int otherErrors;

        Order(String method, String path, String headers, byte[] body, Consumer<HttpCall.Answer> then) {
            this.method = method;
            this.path = path;
            this.headers = headers;
            this.body = body;
            this.then = then;
        }

        void go() {
            call(control.get(turn++ % control.size()), path, 0);
        }

        private void call(InetSocketAddress at, String target, int followed) {
            HttpCall.send(loopThread, at, method, target, headers, body, LIMIT, answer -> came(answer, followed));
        }

        private void came(HttpCall.Answer answer, int followed) {
            int status = answer == null ? 0 : answer.status();
            if (status == 200 || ENDS.contains(status)) {
                then.accept(answer);
            } else if (status == 307 && followed < MOST_REDIRECTS && follow(answer, followed)) {
                redirects++;
            } else if (status / 100 == 4 && status != 408 && status != 429 && ++otherErrors == 3) {
                then.accept(answer);
            } else {
                loopThread.loop.schedule(pause, this::go);
                pause = pause.multipliedBy(3).dividedBy(2);
                pause = pause.compareTo(LONGEST_PAUSE) < 0 ? pause : LONGEST_PAUSE;
            }
        }

        private boolean follow(HttpCall.Answer answer, int followed) {
            try {
                URI to = URI.create(answer.head().header("Location"));
                InetSocketAddress at = Address.parse(to.getAuthority());
                if (at != null) {
                    call(at, to.getRawPath(), followed + 1);
                }
                return at != null;
            } catch (IllegalArgumentException | NullPointerException e) {
                return false; // it names no place to go to
            }
        }
    }
}
