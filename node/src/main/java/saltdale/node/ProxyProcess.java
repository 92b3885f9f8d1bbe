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
import saltdale.proxy.RecentlyUsed;
import saltdale.proxy.Request;
import saltdale.proxy.RouteDecision;
import saltdale.proxy.Transport;
import saltdale.serving.ServerConnection;
import saltdale.transport.Address;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Listener;

/** The process of a proxy: its connections to clients, to instances and to the other processes of the system. */
final class ProxyProcess extends RequestHandler implements NodeProcess, PeerConnections.MessageHandler, Transport {
    /** A client's request and its connection, until the request is answered. */
    private record ClientRequest(ServerConnection connection, Head head, byte[] body) {}

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(4);
    private static final int MAX_MILLIS_DIGITS = 9;
    private static final int MAX_INSTANCES = 4096; // with connections; there are hardly more file descriptors
    private static final int REQUEST_HEAP_DIVISOR = 6; // the share of the heap that requests may take
    private static final int ANSWER_HEAP_DIVISOR = 6; // the share of the heap that answers may take
    private static final String RETRY_AFTER_HEADER = "Retry-After: 0.3\r\n";

    private final Settings settings;
    private final Proxy proxy;
    /** By identifier. Most instances belong to owners that do not tell us when they are gone. */
    private final RecentlyUsed<String, PooledConnections> connectionsByInstance =
            new RecentlyUsed<>(MAX_INSTANCES, PooledConnections::closeIdle);

    private final Map<Attempt, UpstreamExchange> exchanges = new HashMap<>();
    private final Set<ServerConnection> clientConnections = new LinkedHashSet<>();
    private final Listener listener;
    private final SeedWatch seedWatch;
    private final AnswerMemory answerMemory;
    private HttpParser.Limits currentLimits = new HttpParser.Limits(16_384, 262_144);
    private boolean shuttingDown;

    ProxyProcess(Settings settings) throws IOException, Settings.InvalidSettingsException {
        super(budgetFromHeap(REQUEST_HEAP_DIVISOR, settings.maxFileDescriptors), RETRY_AFTER_HEADER);
        this.settings = settings;
        environment = new EventLoopEnvironment(settings, null, this);
        answerMemory = new AnswerMemory(
                environment.loop, environment.sockets, Runtime.getRuntime().maxMemory() / ANSWER_HEAP_DIVISOR);
        proxy = new Proxy(
                environment,
                new ProxySettings(
                        settings.name,
                        settings.host,
                        settings.zone,
                        settings.seedHosts,
                        settings.heartbeatNanos,
                        settings.configApplyNanos,
                        settings.retryBudgetRatio,
                        settings.retryBudgetWindowNanos,
                        settings.retryBudgetSlack),
                this);
        seedWatch = new SeedWatch(
                environment, settings, () -> proxy.configurationAge() <= settings.configApplyNanos, proxy::updateSeeds);
        if (settings.frontAddress == null || settings.readinessAddress == null) {
            throw new Settings.InvalidSettingsException("listen_addresses: a proxy needs front and readiness");
        }
        listener = new Listener(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.parseAddress(settings.frontAddress, "listen_addresses.front"),
                (accepted, overLimit) -> clientConnections.add(new ServerConnection(this, accepted, overLimit)));
        listener.limitKernelBuffers();
        ReadinessHandler readinessHandler = new ReadinessHandler();
        Listener readinessListener = new Listener(
                environment.loop,
                environment.sockets,
                EventLoopEnvironment.parseAddress(settings.readinessAddress, "listen_addresses.readiness"),
                (accepted, overLimit) -> new ServerConnection(readinessHandler, accepted, overLimit));
        readinessListener.limitKernelBuffers();
    }

    @Override
    public void run() throws IOException {
        proxy.start();
        seedWatch.start();
        environment.logTraffic(Duration.ofSeconds(10));
        environment.loop.run(() -> {});
    }

    /** Reports itself as not ready, answers all accepted requests and stops before the process is killed. */
    @Override
    public void shutDown() {
        environment.loop.execute(() -> {
            if (!shuttingDown) {
                shuttingDown = true;
                environment.runGuarded(() -> proxy.shutDown(settings.shutdownGraceNanos / 3));
                // New connections still arrive until the load balancer has found this proxy not ready twice.
                environment.loop.schedule(Duration.ofMillis(2300), this::stopAccepting);
                environment.loop.schedule(Duration.ofNanos(settings.shutdownGraceNanos * 5 / 6), () -> {
                    environment.loop.schedule(
                            Duration.ofNanos(settings.shutdownGraceNanos / 20), environment.loop::stop);
                    proxy.failOpenRequests(); // whatever it throws, the process ends
                });
            }
        });
    }

    @Override
    public void reloadSettings() {
        environment.loop.execute(seedWatch::reload);
    }

    private void stopAccepting() {
        listener.acceptPendingAndClose();
        closeIdleClients();
    }

    /** Closes idle client connections, and stops once no request is in progress and no response is still being sent. */
    private void closeIdleClients() {
        clientConnections.stream()
                .filter(connection -> connection.isIdle() && connection.isFlushed())
                .toList()
                .forEach(connection -> environment.runGuarded(connection::closeIfNotServing));
        if (clientConnections.isEmpty() && proxy.openRequests() == 0 && environment.sockets.closingCount() == 0) {
            environment.loop.stop();
        } else {
            environment.loop.schedule(Duration.ofMillis(50), this::closeIdleClients);
        }
    }

    // Messages of other processes.

    @Override
    public void handleMessage(String fromHost, Message message) throws MalformedMessage {
        proxy.handleMessage(fromHost, message);
    }

    @Override
    public void connectionLost(String host) {
        proxy.connectionLost(host);
    }

    // Requests of clients.

    @Override
    public void handleRequest(ServerConnection connection, Head head, byte[] body) {
        if (!proxy.knowsConfiguration()) {
            connection.respond(503, RETRY_AFTER_HEADER, "no configuration yet");
            return;
        }
        String hostname = head.uniqueHeader("Host");
        if (hostname == null) {
            connection.respond(400, "", "Host header is missing or repeated");
            return;
        }
        int colon = hostname.indexOf(':');
        RouteDecision decision = proxy.route(colon < 0 ? hostname : hostname.substring(0, colon), head.path());
        if (decision instanceof RouteDecision.Found found) {
            handleRouted(connection, head, body, found.route());
        } else if (decision instanceof RouteDecision.Denied) {
            environment.log("404 for " + hostname + head.path() + " with configuration revision "
                    + proxy.configuration().revision());
            connection.respond(404, "", "no such route");
        } else {
            connection.respond(
                    503, RETRY_AFTER_HEADER, "no such route is known, but the configuration may be out of date");
        }
    }

    private void handleRouted(ServerConnection connection, Head head, byte[] body, Configuration.Route route) {
        String id = head.uniqueHeader("X-Saltdale-Attempt-Id");
        String remainingMillis = head.uniqueHeader("X-Saltdale-Deadline-Remaining");
        if (id == null || id.isEmpty()) {
            connection.respond(400, "", "X-Saltdale-Attempt-Id is missing or repeated");
        } else if (remainingMillis == null
                ? head.header("X-Saltdale-Deadline-Remaining") != null
                : !isMillis(remainingMillis)) {
            connection.respond(400, "", "X-Saltdale-Deadline-Remaining is malformed");
        } else {
            long timeoutMillis = remainingMillis == null ? route.timeoutMs() : Long.parseLong(remainingMillis);
            ClientRequest client = new ClientRequest(connection, head, body);
            connection.currentRequest = client;
            Request request =
                    proxy.handleRequest(id, route, timeoutMillis * 1_000_000, connection.peerAddress(), client);
            if (!request.isFinished()) {
                connection.currentRequest = request;
            }
        }
    }

    private static boolean isMillis(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_MILLIS_DIGITS
                && text.chars().allMatch(Character::isDigit);
    }

    @Override
    public void requestAborted(ServerConnection connection) {
        if (connection.currentRequest instanceof Request request) {
            proxy.clientDisconnected(request);
        }
    }

    @Override
    public void connectionClosed(ServerConnection connection) {
        clientConnections.remove(connection);
    }

    @Override
    public boolean closesAfter(int status) {
        return shuttingDown;
    }

    @Override
    public HttpParser.Limits requestLimits() {
        Configuration configuration = proxy.configuration();
        if (configuration != null
                && (configuration.limits().headerBytes() != currentLimits.maxHeadBytes()
                        || configuration.limits().bodyBytes() != currentLimits.maxBodyBytes())) {
            currentLimits = new HttpParser.Limits(
                    configuration.limits().headerBytes(), configuration.limits().bodyBytes());
        }
        return currentLimits;
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

    /** Answers whether this proxy accepts new connections, and serves its metrics. */
    private final class ReadinessHandler extends RequestHandler {
        ReadinessHandler() {
            super(ProxyProcess.this.requestBytes(), RETRY_AFTER_HEADER);
            environment = ProxyProcess.this.environment;
        }

        @Override
        public void handleRequest(ServerConnection connection, Head head, byte[] body) {
            switch (head.path()) {
                case "/readiness" -> connection.respond(proxy.isReady() ? 200 : 503, "", "");
                case "/metrics" -> connection.respond(200, PLAIN_TEXT_HEADER, metricsText());
                default -> connection.respond(404, "", "");
            }
        }

        private String metricsText() {
            return environment.counters().toText()
                    + ProxyProcess.this.connectionMetrics()
                    + "answers_held_bytes " + answerMemory.heldBytes() + '\n'
                    + "answers_held_bytes_limit " + answerMemory.limitBytes() + '\n'
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

    // Exchanges with instances.

    private PooledConnections connectionsTo(String instanceId, String address) {
        return connectionsByInstance.use(
                instanceId,
                id -> new PooledConnections(new ConnectionPool(
                        environment.loop, environment.sockets, Address.parse(address), CONNECT_TIMEOUT, IDLE_TIMEOUT)));
    }

    @Override
    public void send(Attempt attempt) {
        ClientRequest client = (ClientRequest) attempt.request.clientContext;
        if (Address.parse(attempt.address) == null) {
            environment.loop.defer(() -> proxy.attemptEnded(attempt, Attempt.Outcome.NOT_CONNECTED));
            return;
        }
        UpstreamExchange exchange = new UpstreamExchange(
                attempt, connectionsTo(attempt.instanceId, attempt.address), new AttemptListener(attempt));
        exchanges.put(attempt, exchange);
        long remainingMillis = Math.max(1, (attempt.deadline - environment.now()) / 1_000_000);
        if (!exchange.start(client.head, client.body, remainingMillis)) {
            removeExchange(attempt);
            environment.loop.defer(() -> proxy.attemptEnded(attempt, Attempt.Outcome.NOT_CONNECTED));
        }
    }

    /** Ends what is kept of an exchange; returns it, or null if there is none. */
    private UpstreamExchange removeExchange(Attempt attempt) {
        UpstreamExchange exchange = exchanges.remove(attempt);
        if (exchange != null) {
            answerMemory.release(exchange);
        }
        return exchange;
    }

    /** Passes the result of an exchange on; an answer is kept until it is delivered. */
    private final class AttemptListener implements UpstreamExchange.OutcomeListener {
        private final Attempt attempt;

        AttemptListener(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void exchangeEnded(UpstreamExchange exchange, Attempt.Outcome outcome) {
            if (outcome != Attempt.Outcome.ANSWERED) {
                removeExchange(attempt);
                logFailedAttempt(exchange, outcome);
            }
            proxy.attemptEnded(attempt, outcome);
        }

        @Override
        public boolean mayReadOn(UpstreamExchange exchange) {
            return answerMemory.mayReadOn(exchange);
        }
    }

    private void logFailedAttempt(UpstreamExchange exchange, Attempt.Outcome outcome) {
        Attempt attempt = exchange.attempt;
        environment.log("attempt failed: " + attempt.request.id + " at " + attempt.instanceId + ": " + outcome + ", "
                + exchange.sendProgress());
    }

    @Override
    public boolean abandon(Attempt attempt) {
        UpstreamExchange exchange = removeExchange(attempt);
        return exchange == null || exchange.abandon(); // null if no socket was available
    }

    @Override
    public void deliverAnswer(Attempt attempt) {
        UpstreamExchange exchange = removeExchange(attempt);
        ((ClientRequest) attempt.request.clientContext)
                .connection.forwardResponse(exchange.answerHead, exchange.answerBody);
    }

    @Override
    public void sendError(Request request, int status, long retryAfterMillis, String reason) {
        String headers = retryAfterMillis == 0
                ? ""
                : "Retry-After: " + retryAfterMillis / 1000 + "."
                        + Long.toString(1000 + retryAfterMillis % 1000).substring(1) + "\r\n";
        environment.log("request failed: " + request.id + " of " + request.service + ": " + status + " " + reason);
        ClientRequest client = (ClientRequest) request.clientContext;
        client.connection.respond(status, headers, reason);
    }

    @Override
    public void testConnection(String instanceId, String address) {
        if (Address.parse(address) == null) {
            return;
        }
        boolean testStarted = connectionsTo(instanceId, address)
                .testConnection(accepted -> proxy.connectionTested(instanceId, accepted));
        if (!testStarted) {
            environment.loop.schedule(CONNECT_TIMEOUT, () -> proxy.connectionTested(instanceId, false));
        }
    }

    @Override
    public void forgetInstance(String instanceId) {
        PooledConnections closing = connectionsByInstance.remove(instanceId);
        if (closing != null) {
            closing.closeIdle();
        }
    }
}
