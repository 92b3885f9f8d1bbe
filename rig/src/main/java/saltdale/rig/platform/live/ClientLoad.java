package saltdale.rig.platform.live;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.EntryPoint;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.RetryPolicy;
import saltdale.rig.platform.Route;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/**
 * Open-loop client load on the fronts, with the readiness probes that decide which fronts are in rotation. Used on
 * the loop thread.
 */
final class ClientLoad {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(4);
    private static final int CLIENTS = 100;
    private static final double REUSE_SHARE = 0.8; // of the tries use an idle connection if there is one
    private static final double CHUNKED_SHARE = 0.25; // of the request bodies

    private final LoopThread loopThread;
    private final Origin origin;
    private final Judge judge;
    private final EntryPoint entry;
    private final SplittableRandom random;
    private final Map<Machine, Deque<IdleConnection>> idleConnections = new HashMap<>();
    private final Map<Machine, Duration> readyAt = new HashMap<>();
    private List<Route> routes;
    private double perSecond;
    private boolean sending;
    private long nextNumber;
    private long openRequests;

    ClientLoad(LoopThread loopThread, Origin origin, Deployment deployment, Judge judge, long seed) {
        this.loopThread = loopThread;
        this.origin = origin;
        this.judge = judge;
        routes = deployment.routes();
        random = new SplittableRandom(seed);
        entry = new EntryPoint(deployment.proxies());
        for (Machine proxy : deployment.proxies()) {
            idleConnections.put(proxy, new ArrayDeque<>());
            probe(proxy);
        }
    }

    boolean isInRotation(Machine proxy) {
        return entry.isInRotation(proxy);
    }

    /** Whether the front has reported itself ready since that time. */
    boolean isReadySince(Machine proxy, Duration since) {
        return readyAt.getOrDefault(proxy, Duration.ZERO).compareTo(since) > 0;
    }

    /** The number of client requests that have not ended. */
    long openRequests() {
        return openRequests;
    }

    private void probe(Machine proxy) {
        HttpCall.send(
                loopThread,
                Address.parse(proxy.at(Machine.READINESS_PORT)),
                "GET",
                "/readiness",
                "",
                new byte[0],
                PROBE_INTERVAL,
                answer -> {
                    boolean ready = answer != null && answer.status() == 200;
                    entry.recordProbe(proxy, ready);
                    if (ready) {
                        readyAt.put(proxy, origin.now());
                    }
                });
        loopThread.loop.schedule(PROBE_INTERVAL, () -> probe(proxy));
    }

    /** Starts sending requests at this rate per second. */
    void start(double rate) {
        perSecond = rate;
        sending = true;
        next(origin.now());
    }

    /** Stops sending new requests. */
    void end() {
        sending = false;
    }

    /** Sets the routes that are called from now on. */
    void routes(List<Route> newRoutes) {
        routes = newRoutes;
    }

    /**
     * Schedules the next request relative to the planned time of the one before, not to its sending, so that the load
     * doesn't fall behind its rate.
     */
    private void next(Duration before) {
        Duration at = before.plusNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
        loopThread.loop.schedule(at.minus(origin.now()), () -> {
            if (sending) {
                new ClientRequest(draw(), at).sendTry();
                next(at);
            }
        });
    }

    private Route draw() {
        double drawn =
                random.nextDouble() * routes.stream().mapToDouble(Route::share).sum();
        for (Route route : routes) {
            drawn -= route.share();
            if (drawn < 0) {
                return route;
            }
        }
        return routes.get(0);
    }

    /** One client request with all its tries. */
    private final class ClientRequest {
        final Route route;
        final Duration firstAt;
        private final String zone = Deployment.ZONES.get(random.nextInt(Deployment.ZONES.size()));
        private final int hash = random.nextInt(CLIENTS);
        private final long requestNumber = nextNumber++;
        private int tries;

        ClientRequest(Route route, Duration at) {
            this.route = route;
            firstAt = at;
            openRequests++;
        }

        Duration remaining() {
            return firstAt.plus(route.deadline()).minus(origin.now());
        }

        void sendTry() {
            new Try(this, entry.choose(zone, hash, tries), tries++ > 0).send(requestNumber);
        }

        /** Ends a try; {@code status} is 0 if no answer came. */
        void end(int status, boolean notSent, Duration retryAfter) {
            Duration remaining = remaining();
            Duration delay = remaining.isNegative()
                    ? null
                    : RetryPolicy.delayBeforeNextTry(route.idempotent(), tries, status, notSent, retryAfter, remaining);
            if (delay != null) {
                loopThread.loop.schedule(delay, this::sendTry);
            } else {
                openRequests--;
                judge.recordRequestEnded(route, origin.now().minus(firstAt), status);
            }
        }
    }

    /** A connection between two requests. */
    private final class IdleConnection implements Connection.Handler {
        private final Machine machine;
        private final Connection connection;
        private final Timer timeout;

        IdleConnection(Machine machine, Connection connection, Duration idleLimit) {
            this.machine = machine;
            this.connection = connection;
            connection.setHandler(this);
            timeout = loopThread.loop.schedule(idleLimit, this::drop);
            idleConnections.get(machine).addFirst(this);
        }

        Connection take(Connection.Handler next) {
            timeout.cancel();
            connection.setHandler(next);
            return connection;
        }

        private void drop() {
            disconnected(null);
            connection.close();
        }

        @Override
        public void received(ByteBuffer bytes) {
            judge.recordMalformedAnswer(origin.now(), null);
            drop();
        }

        @Override
        public void disconnected(String cause) {
            timeout.cancel();
            idleConnections.get(machine).remove(this);
        }
    }

    /** One try: a request and its answer. */
    private final class Try implements Connection.Handler {
        private final ClientRequest clientRequest;
        private final Machine machine;
        private final boolean forceNewConnection;
        private final String id = String.format("%016x", random.nextLong());
        private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
        private Connection connection;
        private Timer timeout;

        Try(ClientRequest clientRequest, Machine machine, boolean forceNewConnection) {
            this.clientRequest = clientRequest;
            this.machine = machine;
            this.forceNewConnection = forceNewConnection;
        }

        void send(long requestNumber) {
            InetSocketAddress at = Address.parse(machine.at(Machine.FRONT_PORT));
            IdleConnection idle = forceNewConnection || random.nextDouble() > REUSE_SHARE
                    ? null
                    : idleConnections.get(machine).poll();
            connection = idle != null
                    ? idle.take(this)
                    : Connection.connect(loopThread.loop, loopThread.sockets, at, CONNECT_LIMIT, this);
            if (connection == null) {
                loopThread.loop.defer(() -> clientRequest.end(0, true, null));
                return;
            }
            Route route = clientRequest.route;
            boolean post = !route.idempotent() || requestNumber % 2 == 0;
            String target = route.pathPrefix()
                    + Long.toHexString(requestNumber)
                    + (requestNumber % 3 == 0 ? "?of=" + requestNumber : "");
            String body = post ? "wanted-" + requestNumber : "";
            String method = post ? "POST" : "GET";
            judge.recordTrySent(origin.now(), id, route, method + " " + target + " " + body, machine.name());
            Duration remaining = clientRequest.remaining();
            connection.beginMessage();
            connection.send(ByteBuffer.wrap((method + " " + target + " HTTP/1.1\r\nHost: " + route.hostname()
                            + "\r\nX-Saltdale-Attempt-Id: " + id + "\r\nX-Saltdale-Deadline-Remaining: "
                            + Math.max(1, remaining.toMillis()) + "\r\n"
                            + bodySection(body, random.nextDouble() < CHUNKED_SHARE))
                    .getBytes(StandardCharsets.US_ASCII)));
            timeout = loopThread.loop.schedule(remaining, () -> {
                connection.close();
                clientRequest.end(0, false, null);
            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                judge.recordMalformedAnswer(origin.now(), id);
                connection.close();
                disconnected("malformed answer");
            } else if (parser.isComplete()) {
                boolean surplusBytes = bytes.hasRemaining();
                if (surplusBytes) {
                    judge.recordMalformedAnswer(origin.now(), null);
                }
                answered(surplusBytes);
            }
        }

        private void answered(boolean surplusBytes) {
            timeout.cancel();
            Head head = parser.head();
            Duration idleLimit = idleLimit(head);
            if (surplusBytes || idleLimit == null) {
                connection.close();
            } else {
                new IdleConnection(machine, connection, idleLimit);
            }
            judge.recordAnswer(
                    origin.now(),
                    id,
                    head.status(),
                    head.header("X-Saltdale-Runner-Seal"),
                    head.header("X-Saltdale-Attempt-Id"),
                    parser.body());
            clientRequest.end(head.status(), false, parseSeconds(head.header("Retry-After")));
        }

        @Override
        public void disconnected(String cause) {
            parser.endOfInput();
            if (parser.isComplete()) {
                answered(true);
                return;
            }
            timeout.cancel();
            clientRequest.end(0, connection.sendProgress().isIncomplete(), null);
        }
    }

    /** How long a connection may stay idle after this answer; null if it has to be closed. */
    private static Duration idleLimit(Head head) {
        if (!head.keepsAlive()) {
            return null;
        }
        String text = head.header("Keep-Alive");
        for (String part : text == null ? new String[0] : text.split(",")) {
            if (part.strip().matches("timeout=\\d{1,6}")) {
                Duration keepAlive = Duration.ofSeconds(
                                Long.parseLong(part.strip().substring("timeout=".length())))
                        .minusMillis(500);
                return keepAlive.isNegative() ? null : keepAlive.compareTo(IDLE_LIMIT) < 0 ? keepAlive : IDLE_LIMIT;
            }
        }
        return IDLE_LIMIT;
    }

    private static Duration parseSeconds(String text) {
        return text != null && text.matches("\\d{1,6}(\\.\\d{1,9})?")
                ? Duration.ofNanos((long) (Double.parseDouble(text) * 1e9))
                : null;
    }

    /** The rest of a request after its own headers: the framing header, the empty line and the body. */
    private static String bodySection(String body, boolean chunked) {
        if (body.isEmpty()) {
            return "\r\n";
        } else if (!chunked) {
            return "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        List<String> chunks =
                new ArrayList<>(List.of(body.substring(0, body.length() / 2), body.substring(body.length() / 2), ""));
        StringBuilder text = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        chunks.forEach(chunk -> text.append(Integer.toHexString(chunk.length()))
                .append("\r\n")
                .append(chunk)
                .append("\r\n"));
        return text.toString();
    }
}
