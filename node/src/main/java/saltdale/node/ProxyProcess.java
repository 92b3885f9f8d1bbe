package saltdale.node;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.MalformedMessage;
import saltdale.control.message.Message;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.proxy.Attempt;
import saltdale.proxy.Proxy;
import saltdale.proxy.ProxySettings;
import saltdale.proxy.Request;
import saltdale.proxy.RouteDecision;
import saltdale.proxy.Transport;
import saltdale.serving.ServerConnection;
import saltdale.transport.Address;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Listener;

/** A proxy as a process: clients' connections, instances' connections, connections to the other processes. */
final class ProxyProcess extends RequestHandler implements NodeProcess, PeerConnections.Reader, Transport {
    /** A client's request, as long as its request is open. */
    private record ClientRequest(ServerConnection visit, Head head, byte[] body) {}

    private static final Duration DIAL = Duration.ofMillis(300);
    private static final Duration RESTS = Duration.ofSeconds(4);
    private static final int MOST_DIGITS = 9;
    private static final String COME_BACK = "Retry-After: 0.3\r\n";

    private final Settings settings;
    private final Proxy proxy;
    private final Map<String, PooledConnections> connections = new HashMap<>(); // by instance
    private final Map<Attempt, UpstreamExchange> exchanges = new HashMap<>();
    private final Set<ServerConnection> visits = new LinkedHashSet<>();
    private final Listener listener;
    private final SeedWatch seedWatch;
    private HttpParser.Limits limits = new HttpParser.Limits(16_384, 262_144);
    private boolean ending;

    ProxyProcess(Settings settings) throws IOException, Settings.Wrong {
        this.settings = settings;
        environment = new EventLoopEnvironment(settings, null, this);
        proxy = new Proxy(
                environment,
                new ProxySettings(
                        settings.name,
                        settings.host,
                        settings.zone,
                        settings.seeds,
                        settings.heartbeat,
                        settings.configApply,
                        settings.retryRatio,
                        settings.retryWindow,
                        settings.retrySlack),
                this);
        seedWatch = new SeedWatch(
                environment, settings, () -> proxy.configurationAge() <= settings.configApply, proxy::updateSeeds);
        if (settings.front == null || settings.readiness == null) {
            throw new Settings.Wrong("listen_addresses: a proxy needs front and readiness");
        }
        listener = new Listener(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.address(settings.front, "listen_addresses.front"),
                (connection, full) -> visits.add(new ServerConnection(this, connection, full)));
        new Listener(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.address(settings.readiness, "listen_addresses.readiness"),
                (connection, full) -> new ServerConnection(new Readiness(environment, proxy), connection, full));
    }

    @Override
    public void run() throws IOException {
        proxy.start();
        seedWatch.begin();
        environment.noteTraffic(Duration.ofSeconds(10));
        environment.loop.run(() -> {});
    }

    /** Told to end: no longer ready, it answers all that it took and ends before it is killed. */
    @Override
    public void end() {
        environment.loop.execute(() -> {
            if (!ending) {
                ending = true;
                proxy.shutDown(settings.grace / 3);
                // New connections still come until whoever hands them out has missed us twice.
                environment.loop.schedule(Duration.ofMillis(2300), this::close);
                environment.loop.schedule(Duration.ofNanos(settings.grace * 5 / 6), () -> {
                    proxy.failOpenRequests();
                    environment.loop.schedule(Duration.ofNanos(settings.grace / 20), environment.loop::stop);
                });
            }
        });
    }

    @Override
    public void reload() {
        environment.loop.execute(seedWatch::read);
    }

    private void close() {
        listener.acceptPendingAndClose();
        closeIdle();
    }

    /** Closes what rests, and ends once nothing is under way: no request, and no answer that is still on its way. */
    private void closeIdle() {
        visits.stream()
                .filter(visit -> visit.isIdle() && visit.isFlushed())
                .toList()
                .forEach(ServerConnection::closeIfNotServing);
        if (visits.isEmpty() && proxy.openRequests() == 0 && environment.sockets.closingCount() == 0) {
            environment.loop.stop();
        } else {
            environment.loop.schedule(Duration.ofMillis(50), this::closeIdle);
        }
    }

    // Other processes.

    @Override
    public void message(String fromHost, Message message) throws MalformedMessage {
        proxy.handleMessage(fromHost, message);
    }

    @Override
    public void broken(String host) {
        proxy.connectionLost(host);
    }

    // Clients.

    @Override
    public void handleRequest(ServerConnection visit, Head head, byte[] body) {
        if (!proxy.knowsConfiguration()) {
            visit.respond(503, COME_BACK, "no configuration yet");
            return;
        }
        String hostname = head.uniqueHeader("Host");
        if (hostname == null) {
            visit.respond(400, "", "Host is missing or stands twice");
            return;
        }
        int colon = hostname.indexOf(':');
        RouteDecision decision = proxy.route(colon < 0 ? hostname : hostname.substring(0, colon), head.path());
        if (decision instanceof RouteDecision.Found found) {
            routed(visit, head, body, found.route());
        } else if (decision instanceof RouteDecision.Denied) {
            environment.log("404 for " + hostname + head.path() + " by configuration "
                    + proxy.configuration().revision());
            visit.respond(404, "", "no such route");
        } else {
            visit.respond(503, COME_BACK, "no such route is known, and the configuration may be old");
        }
    }

    private void routed(ServerConnection visit, Head head, byte[] body, Configuration.Route route) {
        String id = head.uniqueHeader("X-Saltdale-Attempt-Id");
        String left = head.uniqueHeader("X-Saltdale-Deadline-Remaining");
        if (id == null || id.isEmpty()) {
            visit.respond(400, "", "X-Saltdale-Attempt-Id is missing or stands twice");
        } else if (left == null ? head.header("X-Saltdale-Deadline-Remaining") != null : !isMillis(left)) {
            visit.respond(400, "", "X-Saltdale-Deadline-Remaining is malformed");
        } else {
            long millis = left == null ? route.timeoutMs() : Long.parseLong(left);
            ClientRequest client = new ClientRequest(visit, head, body);
            visit.currentRequest = client;
            Request request = proxy.handleRequest(id, route, millis * 1_000_000, visit.peerAddress(), client);
            if (!request.isFinished()) {
                visit.currentRequest = request;
            }
        }
    }

    private static boolean isMillis(String text) {
        return !text.isEmpty() && text.length() <= MOST_DIGITS && text.chars().allMatch(Character::isDigit);
    }

    @Override
    public void requestAborted(ServerConnection visit) {
        if (visit.currentRequest instanceof Request request) {
            proxy.clientDisconnected(request);
        }
    }

    @Override
    public void connectionClosed(ServerConnection visit) {
        visits.remove(visit);
    }

    @Override
    public boolean closesAfter(int status) {
        return ending;
    }

    @Override
    public HttpParser.Limits requestLimits() {
        Configuration configuration = proxy.configuration();
        if (configuration != null
                && (configuration.limits().headerBytes() != limits.maxHeadBytes()
                        || configuration.limits().bodyBytes() != limits.maxBodyBytes())) {
            limits = new HttpParser.Limits(
                    configuration.limits().headerBytes(), configuration.limits().bodyBytes());
        }
        return limits;
    }

    @Override
    public Duration requestTimeout() {
        return Duration.ofMillis(
                proxy.configuration() == null
                        ? 3_000
                        : proxy.configuration().limits().headerMs());
    }

    @Override
    public Duration idleTimeout() {
        return Duration.ofMillis(
                proxy.configuration() == null
                        ? 15_000
                        : proxy.configuration().limits().idleMs());
    }

    /** Who asks whether we take new connections. */
    private static final class Readiness extends RequestHandler {
        private final Proxy proxy;

        Readiness(EventLoopEnvironment environment, Proxy proxy) {
            this.environment = environment;
            this.proxy = proxy;
        }

        @Override
        public void handleRequest(ServerConnection visit, Head head, byte[] body) {
            switch (head.path()) {
                case "/readiness" -> visit.respond(proxy.isReady() ? 200 : 503, "", "");
                case "/metrics" -> visit.respond(200, TEXT, figures());
                default -> visit.respond(404, "", "");
            }
        }

        private String figures() {
            return environment.counters().toText()
                    + "configuration_revision " + proxy.revision() + '\n'
                    + "configuration_age_ms " + proxy.configurationAge() / 1_000_000 + '\n';
        }

        @Override
        public HttpParser.Limits requestLimits() {
            return new HttpParser.Limits(HttpParser.MAX_HEAD_BYTES, 0);
        }

        @Override
        public Duration requestTimeout() {
            return Duration.ofSeconds(3);
        }
    }

    // Instances.

    private PooledConnections connections(String id, String address) {
        return connections.computeIfAbsent(
                id,
                i -> new PooledConnections(new ConnectionPool(
                        environment.loop, environment.sockets, Address.parse(address), DIAL, RESTS)));
    }

    @Override
    public void send(Attempt attempt) {
        ClientRequest client = (ClientRequest) attempt.request.clientContext;
        if (Address.parse(attempt.address) == null) {
            environment.loop.defer(() -> proxy.attemptEnded(attempt, Attempt.Outcome.NOT_CONNECTED));
            return;
        }
        UpstreamExchange exchange =
                new UpstreamExchange(attempt, connections(attempt.instanceId, attempt.address), (which, end) -> {
                    if (end != Attempt.Outcome.ANSWERED) {
                        exchanges.remove(attempt);
                    }
                    proxy.attemptEnded(attempt, end);
                });
        exchanges.put(attempt, exchange);
        long left = Math.max(1, (attempt.deadline - environment.now()) / 1_000_000);
        if (!exchange.begin(client.head, client.body, left)) {
            exchanges.remove(attempt);
            environment.loop.defer(() -> proxy.attemptEnded(attempt, Attempt.Outcome.NOT_CONNECTED));
        }
    }

    @Override
    public boolean abandon(Attempt attempt) {
        UpstreamExchange exchange = exchanges.remove(attempt);
        return exchange == null || exchange.abandon(); // there is none where no socket was to be had
    }

    @Override
    public void deliverAnswer(Attempt attempt) {
        UpstreamExchange exchange = exchanges.remove(attempt);
        ((ClientRequest) attempt.request.clientContext).visit.forwardResponse(exchange.head, exchange.body);
    }

    @Override
    public void sendError(Request request, int status, long pauseMillis, String why) {
        String more = pauseMillis == 0
                ? ""
                : "Retry-After: " + pauseMillis / 1000 + "."
                        + Long.toString(1000 + pauseMillis % 1000).substring(1) + "\r\n";
        environment.log("gave up " + request.id + " of " + request.service + ": " + status + " " + why);
        ClientRequest client = (ClientRequest) request.clientContext;
        client.visit.respond(status, more, client.head.method().equals("HEAD") ? "" : why);
    }

    @Override
    public void testConnection(String id, String address) {
        if (Address.parse(address) == null) {
            return;
        }
        boolean tries =
                connections(id, address).probe(takesConnections -> proxy.connectionTested(id, takesConnections));
        if (!tries) {
            environment.loop.schedule(DIAL, () -> proxy.connectionTested(id, false));
        }
    }

    @Override
    public void forgetInstance(String id) {
        PooledConnections toInstance = connections.remove(id);
        if (toInstance != null) {
            toInstance.closeIdle();
        }
    }
}
