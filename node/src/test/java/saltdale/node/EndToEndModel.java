package saltdale.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.control.Configuration;
import saltdale.control.Environment;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.proxy.Attempt;
import saltdale.proxy.Request;
import saltdale.proxy.SimCluster;
import saltdale.proxy.Transport;

/**
 * An end-to-end simulation that is determined by its seed: clients, the proxies and service owners of the simulated
 * cluster, the exchanges of this module over simulated connections, and instances that do not answer, break off,
 * refuse, and answer late or twice. Violations of the guarantees to clients are recorded when they happen.
 */
final class EndToEndModel {
    /** Creates the exchanges: correct ones, or those of a faulty variant. */
    interface Exchanges {
        UpstreamExchange create(
                Attempt attempt, UpstreamConnections connections, UpstreamExchange.OutcomeListener listener);
    }

    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    /** Bodies are shorter than this. */
    static final int MAX_BODY_BYTES = 40;

    private static final long TIMEOUT_SLACK_NANOS = Environment.millisToNanos(250); // added to a route's timeout

    /** A request of a client, its executions and its answers. */
    private static final class ClientRequest {
        final String path;
        final String attemptId;
        final byte[] body;
        final Configuration.Route route;
        final Environment process;
        final long sentAt;
        final Head head;
        final Set<String> instances = new HashSet<>(); // that executed it
        int executions;
        int answers;
        int status;
        boolean disconnected;
        boolean mayBeLate; // its proxy was frozen meanwhile

        ClientRequest(
                String path, String attemptId, byte[] body, Configuration.Route route, Environment process, long at) {
            this.path = path;
            this.attemptId = attemptId;
            this.body = body;
            this.route = route;
            this.process = process;
            sentAt = at;
            HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
            parser.parse(ByteBuffer.wrap(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Saltdale-Attempt-Id: "
                            + attemptId + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1)));
            head = parser.head();
        }
    }

    final SimCluster cluster;
    private final long seed;
    private final Exchanges exchanges;
    private final Map<String, ClientRequest> requestsByPath = new LinkedHashMap<>();
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    int overLimitRequests; // sent to an instance whose slots were all in use
    int servedCount;
    int refusedCount;
    // The probability of each fault; all are 0 in a run without faults.
    double connectRefusalProbability;
    double partialWriteProbability;
    double stallProbability;
    double resetBeforeReadProbability;
    double misdirectProbability;
    double overloadRefusalProbability;
    double refusalWithoutIdProbability;
    double noAnswerProbability;
    double truncatedAnswerProbability;
    double falseRefusalProbability;
    double malformedAnswerProbability;
    double resetAfterAnswerProbability;
    double extraAnswerProbability;
    double startsAtHeadProbability; // of an instance that executes a request before it has read the body
    double continuesAfterCloseProbability; // of an instance whose connection was closed
    double clientDisconnectProbability;
    double sharedIdProbability;

    EndToEndModel(long seed, int proxies, Exchanges exchanges) {
        this.seed = seed;
        this.exchanges = exchanges;
        cluster = new SimCluster(seed, proxies, SimulatedTransport::new);
    }

    /** Enables all faults. */
    void enableFaults() {
        connectRefusalProbability = 0.02;
        partialWriteProbability = 0.03;
        stallProbability = 0.01;
        resetBeforeReadProbability = 0.02;
        misdirectProbability = 0.03;
        overloadRefusalProbability = 0.05;
        refusalWithoutIdProbability = 0.5;
        noAnswerProbability = 0.01;
        truncatedAnswerProbability = 0.05;
        falseRefusalProbability = 0.02;
        malformedAnswerProbability = 0.02;
        resetAfterAnswerProbability = 0.03;
        extraAnswerProbability = 0.2;
        startsAtHeadProbability = 0.5;
        continuesAfterCloseProbability = 0.3;
        clientDisconnectProbability = 0.02;
        sharedIdProbability = 0.1;
    }

    /** Decides at random whether an event of this probability happens. */
    boolean happens(double probability) {
        return probability > 0 && cluster.random().nextDouble() < probability;
    }

    /** Records a violation. */
    void addViolation(String detail) {
        violations.add("seed " + seed + ": " + detail);
    }

    SimulatedInstance instance(String id) {
        return instances.computeIfAbsent(id, i -> new SimulatedInstance(this, i));
    }

    // Clients.

    /**
     * Sends requests at a constant rate for a while, each to a random one of the first {@code proxies} if it is ready.
     */
    void generateLoad(double requestsPerSecond, long millis, int proxies) {
        for (long at = 0; at < Environment.millisToNanos(millis); at += (long) (1e9 / requestsPerSecond)) {
            cluster.schedule(at + cluster.random().nextLong(1_000_000), () -> {
                Environment process = cluster.readyProcess(cluster.random().nextInt(proxies));
                if (process != null) {
                    request(process);
                }
            });
        }
    }

    private void request(Environment process) {
        int number = requestsByPath.size();
        String path = (cluster.random().nextBoolean() ? "/a/" : "/b/") + number;
        Configuration.Route route = cluster.route(process, path);
        byte[] body = new byte[cluster.random().nextInt(MAX_BODY_BYTES)];
        Arrays.fill(body, (byte) ('a' + number % 26));
        ClientRequest client = new ClientRequest(path, attemptId(number), body, route, process, cluster.now());
        requestsByPath.put(path, client);
        long remainingNanos = Environment.millisToNanos(300 + cluster.random().nextInt(3000));
        cluster.deliver(process, () -> {
            Request request =
                    cluster.proxy(process).handleRequest(client.attemptId, route, remainingNanos, "10.9.9.9", client);
            if (happens(clientDisconnectProbability)) {
                cluster.schedule(
                        cluster.random().nextLong(200_000_000L),
                        () -> cluster.deliver(process, () -> {
                            client.disconnected = client.answers == 0;
                            cluster.proxy(process).clientDisconnected(request);
                        }));
            }
        });
    }

    /**
     * Returns an attempt id. The ids have various forms, some differ only in case, and some clients use the id of
     * another request.
     */
    private String attemptId(int number) {
        if (number > 10 && happens(sharedIdProbability)) {
            return List.copyOf(requestsByPath.values())
                    .get(number - 1 - cluster.random().nextInt(10))
                    .attemptId;
        }
        String form = List.of("id-x", "ID-X", "a b\"c%0d%0a;", "\u00e9\u00ff,=").get(number % 4);
        return form + number / 4;
    }

    private void handleAnswer(ClientRequest client, int status, String body) {
        client.answers++;
        client.status = status;
        servedCount += status == 200 ? 1 : 0;
        refusedCount += NOT_EXECUTED_STATUSES.contains(status) ? 1 : 0;
        if (client.answers > 1 || client.disconnected) {
            addViolation(client.path + " is answered twice, or after its client disconnected");
        }
        if (status == 200 && (!client.path.equals(body) || client.executions == 0)) {
            addViolation(client.path + " gets the answer to " + body);
        }
        if (NOT_EXECUTED_STATUSES.contains(status) && client.executions > 0) {
            addViolation(client.path + " is refused with " + status + " although it was executed");
        }
        boolean isLate = cluster.now() - client.sentAt
                > Environment.millisToNanos(client.route.timeoutMs()) + TIMEOUT_SLACK_NANOS;
        if (isLate && !client.mayBeLate) {
            addViolation(client.path + " is answered after its route's timeout");
        }
    }

    // Instances.

    /** Records that an instance starts to execute a request whose body it may not have read yet. */
    void executionStarted(String path, String attemptId, String instance) {
        ClientRequest client = requestsByPath.get(path);
        if (client == null || !client.attemptId.equals(attemptId)) {
            addViolation(path + " is executed but is not what a client sent");
            return;
        }
        client.executions++;
        client.instances.add(instance);
        if (!client.route.idempotent() && client.executions > 1) {
            addViolation(path + " is not idempotent but is executed " + client.executions + " times");
        }
        if (client.executions > client.route.maxAttempts()) {
            addViolation(path + " is executed " + client.executions + " times, on " + client.instances);
        }
        if (client.answers > 0 && NOT_EXECUTED_STATUSES.contains(client.status)) {
            addViolation(path + " was refused with " + client.status + " but is executed");
        }
    }

    /** Checks the whole body that an instance has read of a request that it executes. */
    void bodyReceived(String path, byte[] body) {
        ClientRequest client = requestsByPath.get(path);
        if (client != null && !Arrays.equals(client.body, body)) {
            addViolation(path + " is executed with a body that its client did not send");
        }
    }

    /** Allows the requests at this proxy to be answered late, because the proxy was frozen. */
    void allowLateAnswers(Environment process) {
        requestsByPath.values().stream()
                .filter(client -> client.process == process)
                .forEach(client -> client.mayBeLate = true);
    }

    /** Checks at the end that each request has its answer, unless its client has disconnected or its proxy is dead. */
    void checkAnswers() {
        for (ClientRequest client : requestsByPath.values()) {
            if (client.answers == 0 && !client.disconnected && !cluster.isDead(client.process)) {
                addViolation(client.path + " has no answer");
            }
        }
        violations.addAll(cluster.violations());
    }

    /** The transport of a proxy; corresponds to that of {@link ProxyProcess}. */
    private final class SimulatedTransport implements Transport {
        private final Environment process;
        private final Map<String, SimulatedConnection.Connections> connections = new HashMap<>();
        private final Map<Attempt, UpstreamExchange> openExchanges = new HashMap<>();

        SimulatedTransport(Environment process) {
            this.process = process;
        }

        @Override
        public void send(Attempt attempt) {
            ClientRequest client = (ClientRequest) attempt.request.clientContext;
            UpstreamConnections upstream = connections.computeIfAbsent(
                    attempt.instanceId, id -> new SimulatedConnection.Connections(EndToEndModel.this, process, id));
            UpstreamExchange exchange = exchanges.create(attempt, upstream, (ended, outcome) -> {
                if (outcome != Attempt.Outcome.ANSWERED) {
                    openExchanges.remove(attempt);
                }
                cluster.proxy(process).attemptEnded(attempt, outcome);
            });
            openExchanges.put(attempt, exchange);
            long remainingMillis = Math.max(1, (attempt.deadline - cluster.now()) / 1_000_000);
            exchange.start(client.head, client.body, remainingMillis);
        }

        @Override
        public boolean abandon(Attempt attempt) {
            return openExchanges.remove(attempt).abandon();
        }

        @Override
        public void deliverAnswer(Attempt attempt) {
            UpstreamExchange exchange = openExchanges.remove(attempt);
            String body = new String(exchange.answerBody, StandardCharsets.ISO_8859_1);
            handleAnswer((ClientRequest) attempt.request.clientContext, exchange.answerHead.status(), body);
        }

        @Override
        public void sendError(Request request, int status, long retryAfterMillis, String reason) {
            handleAnswer((ClientRequest) request.clientContext, status, "");
        }

        @Override
        public void testConnection(String id, String address) {
            cluster.schedule(
                    2 * cluster.randomDelayNanos(),
                    () -> cluster.deliver(
                            process,
                            () -> cluster.proxy(process).connectionTested(id, cluster.acceptsConnections(id))));
        }

        @Override
        public void forgetInstance(String id) {
            SimulatedConnection.Connections closing = connections.remove(id);
            if (closing != null) {
                closing.closeIdle();
            }
        }
    }
}
