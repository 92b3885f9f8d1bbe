package saltdale.rig.platform.live;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Route;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/**
 * Clients of a soak that keep their connections to the proxies open and send requests on them until the process is
 * gone, whatever the proxy says of its readiness. The judge of the stand-in checks what runners and clients see; no
 * connection may end without an answer unless the proxy has an unplanned fault. Used on the loop thread.
 */
final class SoakClients {
    private static final int CONNECTIONS_PER_PROXY = 4;
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(200);
    private static final int MAX_PAUSE_MILLIS = 250; // between two requests of a connection
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(1); // beyond a request's deadline
    /** Within this time a request that no runner has begun may end with the close of its connection. */
    private static final Duration LOSS_SLACK = Duration.ofMillis(200);

    private static final List<Judge.Rule> CHECKED_RULES =
            List.of(Judge.Rule.TWICE, Judge.Rule.MIXED, Judge.Rule.REFUSED, Judge.Rule.UNASKED, Judge.Rule.ROUTE);

    private final PlatformStandIn standIn;
    private final SoakContact unplannedFaults;
    private final List<String> failures;
    private final SplittableRandom random;
    private final Set<Route> probedRoutes = new HashSet<>();
    private long nextNumber;
    private long answeredCount;
    private long servedCount;
    private boolean stopped;

    /** {@code unplannedFaults}: the machines in contact if only unplanned faults count. */
    SoakClients(PlatformStandIn standIn, SoakContact unplannedFaults, List<String> failures, long seed) {
        this.standIn = standIn;
        this.unplannedFaults = unplannedFaults;
        this.failures = failures;
        random = new SplittableRandom(seed);
    }

    /** Starts the clients; may be called on any thread. */
    void start() {
        standIn.loopThread.runAndWait(() -> {
            standIn.judge.recordChangeSent(standIn.deployment.routes());
            for (Machine proxy : standIn.deployment.proxies()) {
                for (int i = 0; i < CONNECTIONS_PER_PROXY; i++) {
                    new Client(proxy).connect();
                }
            }
        });
    }

    /** Stops the clients and adds the breaches of rules to the failures; may be called on any thread. */
    void stop() {
        standIn.loopThread.runAndWait(() -> {
            stopped = true;
            for (Judge.Rule rule : CHECKED_RULES) {
                if (standIn.judge.breachCount(rule) > 0) {
                    failures.add(rule + ": " + standIn.judge.breachCount(rule));
                }
            }
            standIn.judge.breachMessages().stream()
                    .filter(message -> CHECKED_RULES.stream().anyMatch(rule -> message.startsWith(rule.name())))
                    .forEach(failures::add);
        });
    }

    /** Records a request that another part of the soak sends, before it is sent; may be called on any thread. */
    void recordProbe(String attemptId, Route route, String request, Machine proxy) {
        standIn.loopThread.runAndWait(() -> {
            if (probedRoutes.add(route)) {
                List<Route> routes = new ArrayList<>(standIn.deployment.routes());
                routes.add(route);
                standIn.judge.recordChangeSent(routes);
            }
            standIn.judge.recordTrySent(standIn.origin.now(), attemptId, route, request, proxy.name());
        });
    }

    String summary() {
        return answeredCount + " answers on kept connections, " + servedCount + " of them 2xx";
    }

    /** One client with one connection at a time. */
    private final class Client implements Connection.Handler {
        private final Machine proxy;
        private HttpParser parser;
        private Connection connection;
        private String attemptId; // of the request that waits for its answer; null if none does
        private Duration sentAt;
        private boolean wasInContact; // when the request was sent
        private Timer timeout; // of the request that waits for its answer
        private Timer pause; // until the next request

        Client(Machine proxy) {
            this.proxy = proxy;
        }

        void connect() {
            if (stopped) {
                return;
            }
            connection = Connection.connect(
                    standIn.loopThread.loop,
                    standIn.loopThread.sockets,
                    Address.parse(proxy.at(Machine.FRONT_PORT)),
                    CONNECT_LIMIT,
                    this);
            if (connection == null) {
                reconnectLater();
            }
        }

        private void reconnectLater() {
            connection = null;
            if (pause != null) {
                pause.cancel();
            }
            standIn.loopThread.loop.schedule(RECONNECT_DELAY, this::connect);
        }

        @Override
        public void opened() {
            send();
        }

        private void send() {
            if (stopped || connection == null || !connection.isOpen()) {
                return;
            }
            List<Route> routes = standIn.deployment.routes();
            Route route = routes.get(random.nextInt(2 + random.nextInt(routes.size() - 2)));
            String target = route.pathPrefix() + nextNumber++;
            String body = route.idempotent() ? "" : "wanted-" + nextNumber;
            String method = route.idempotent() ? "GET" : "POST";
            attemptId = String.format("%016x", random.nextLong());
            sentAt = standIn.origin.now();
            wasInContact = unplannedFaults.isInContact(proxy.name());
            parser = new HttpParser(HttpParser.Kind.ANSWER);
            standIn.judge.recordTrySent(sentAt, attemptId, route, method + " " + target + " " + body, proxy.name());
            timeout = standIn.loopThread.loop.schedule(route.deadline().plus(ANSWER_MARGIN), this::timedOut);
            connection.send(ByteBuffer.wrap((method + " " + target + " HTTP/1.1\r\nHost: " + route.hostname()
                            + "\r\nX-Saltdale-Attempt-Id: " + attemptId + "\r\nX-Saltdale-Deadline-Remaining: "
                            + route.deadline().toMillis() + "\r\n"
                            + (body.isEmpty() ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body))
                    .getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (attemptId == null) {
                standIn.judge.recordMalformedAnswer(standIn.origin.now(), null);
                end();
                return;
            }
            parser.parse(bytes);
            if (parser.isMalformed()) {
                standIn.judge.recordMalformedAnswer(standIn.origin.now(), attemptId);
                end();
            } else if (parser.isComplete()) {
                answered(parser.head());
            }
        }

        private void answered(Head head) {
            timeout.cancel();
            answeredCount++;
            servedCount += head.status() / 100 == 2 ? 1 : 0;
            standIn.judge.recordAnswer(
                    standIn.origin.now(),
                    attemptId,
                    head.status(),
                    head.header("X-Saltdale-Runner-Seal"),
                    head.header("X-Saltdale-Attempt-Id"),
                    parser.body());
            attemptId = null;
            if (head.keepsAlive()) {
                Duration length = Duration.ofMillis(random.nextInt(MAX_PAUSE_MILLIS));
                pause = standIn.loopThread.loop.schedule(length, this::send);
            } else {
                end();
            }
        }

        private void timedOut() {
            reportUnanswered("got no answer until " + ANSWER_MARGIN.toMillis() + " ms after its deadline");
            attemptId = null;
            end();
        }

        private void end() {
            if (timeout != null) {
                timeout.cancel();
            }
            attemptId = null;
            connection.close();
            reconnectLater();
        }

        @Override
        public void disconnected(String cause) {
            if (attemptId != null) {
                timeout.cancel();
                Duration waited = standIn.origin.now().minus(sentAt);
                boolean crossedTheClose = waited.compareTo(LOSS_SLACK) <= 0;
                if (standIn.judge.runCount(attemptId) > 0 || !crossedTheClose) {
                    reportUnanswered("was run " + standIn.judge.runCount(attemptId)
                            + " times, and its connection ended without an answer after " + waited.toMillis()
                            + " ms: " + cause);
                }
                attemptId = null;
            }
            reconnectLater();
        }

        private void reportUnanswered(String what) {
            if (wasInContact && unplannedFaults.isInContact(proxy.name()) && !stopped) {
                failures.add("LOST: " + attemptId + " at " + proxy.name() + " " + what);
            }
        }
    }
}
