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
 * The whole chain, all of one seed: clients, the proxies and owners of the simulated cluster, the exchanges of this
 * module over byte pipes, and instances that are silent, break off, refuse, and answer late or twice. What must never
 * be is noted as it happens.
 */
final class ChainModel {
    /** Makes the exchanges: the real ones, or a wrong variant. */
    interface Exchanges {
        UpstreamExchange of(Attempt attempt, UpstreamConnections connections, UpstreamExchange.Ended told);
    }

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final long SLACK = Environment.millisToNanos(250); // past a route's timeout

    /** A request of a client, and all that became of it. */
    private static final class ClientRequest {
        final String path;
        final String attemptId;
        final byte[] body;
        final Configuration.Route route;
        final Environment process;
        final long sentAt;
        final Head head;
        final Set<String> instances = new HashSet<>(); // that ran it
        int runs;
        int answers;
        int status;
        boolean left;
        boolean troubled; // its proxy stood still meanwhile

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
    private final Map<String, ClientRequest> byPath = new LinkedHashMap<>();
    private final Map<String, ChainInstance> instances = new HashMap<>();
    final List<String> faults = new ArrayList<>();
    int overLimit; // requests to an instance whose slots were all in use
    int served;
    int refused;
    // How likely each trouble is; none in a calm chain.
    double refusesConnections;
    double partialWrites;
    double stalls;
    double resetsUnread;
    double misdirects;
    double turnsAway;
    double refusesWithoutId;
    double silent;
    double breaks;
    double lies;
    double garbles;
    double resetsAfter;
    double answersTwice;
    double worksOn; // after its connection has closed
    double leaves;
    double sharesId;

    ChainModel(long seed, int proxies, Exchanges exchanges) {
        this.seed = seed;
        this.exchanges = exchanges;
        cluster = new SimCluster(seed, proxies, ChainTransport::new);
    }

    void troubles() {
        refusesConnections = 0.02;
        partialWrites = 0.03;
        stalls = 0.01;
        resetsUnread = 0.02;
        misdirects = 0.03;
        turnsAway = 0.05;
        refusesWithoutId = 0.5;
        silent = 0.01;
        breaks = 0.05;
        lies = 0.02;
        garbles = 0.02;
        resetsAfter = 0.03;
        answersTwice = 0.2;
        worksOn = 0.3;
        leaves = 0.02;
        sharesId = 0.1;
    }

    boolean happens(double share) {
        return share > 0 && cluster.random().nextDouble() < share;
    }

    void fault(String what) {
        faults.add("seed " + seed + ": " + what);
    }

    ChainInstance instance(String id) {
        return instances.computeIfAbsent(id, i -> new ChainInstance(this, i));
    }

    // Clients.

    /** So many requests a second for a while, each to any proxy of the first {@code proxies} that is ready. */
    void load(double perSecond, long millis, int proxies) {
        for (long at = 0; at < Environment.millisToNanos(millis); at += (long) (1e9 / perSecond)) {
            cluster.schedule(at + cluster.random().nextLong(1_000_000), () -> {
                Environment process = cluster.readyProcess(cluster.random().nextInt(proxies));
                if (process != null) {
                    request(process);
                }
            });
        }
    }

    private void request(Environment process) {
        int number = byPath.size();
        String path = (cluster.random().nextBoolean() ? "/a/" : "/b/") + number;
        Configuration.Route route = cluster.route(process, path);
        byte[] body = new byte[cluster.random().nextInt(40)];
        Arrays.fill(body, (byte) ('a' + number % 26));
        ClientRequest client = new ClientRequest(path, attemptId(number), body, route, process, cluster.now());
        byPath.put(path, client);
        long left = Environment.millisToNanos(300 + cluster.random().nextInt(3000));
        cluster.deliver(process, () -> {
            Request request = cluster.proxy(process).handleRequest(client.attemptId, route, left, "10.9.9.9", client);
            if (happens(leaves)) {
                cluster.schedule(
                        cluster.random().nextLong(200_000_000L),
                        () -> cluster.deliver(process, () -> {
                            client.left = client.answers == 0;
                            cluster.proxy(process).clientDisconnected(request);
                        }));
            }
        });
    }

    /** Ids of many forms; neighbours differ by case alone, and some clients take the id of another. */
    private String attemptId(int number) {
        if (number > 10 && happens(sharesId)) {
            return List.copyOf(byPath.values())
                    .get(number - 1 - cluster.random().nextInt(10))
                    .attemptId;
        }
        String form = List.of("id-x", "ID-X", "a b\"c%0d%0a;", "\u00e9\u00ff,=").get(number % 4);
        return form + number / 4;
    }

    private void answered(ClientRequest client, int status, String body) {
        client.answers++;
        client.status = status;
        served += status == 200 ? 1 : 0;
        refused += PROMISES.contains(status) ? 1 : 0;
        if (client.answers > 1 || client.left) {
            fault(client.path + " is answered again, or after its client left");
        }
        if (status == 200 && (!client.path.equals(body) || client.runs == 0)) {
            fault(client.path + " gets the answer of " + body);
        }
        if (PROMISES.contains(status) && client.runs > 0) {
            fault(client.path + " is refused with " + status + " and has run");
        }
        boolean late = cluster.now() - client.sentAt > Environment.millisToNanos(client.route.timeoutMs()) + SLACK;
        if (late && !client.troubled) {
            fault(client.path + " is held past its route's timeout");
        }
    }

    // Instances.

    /** An instance begins work on a request. */
    void ran(String path, String attemptId, byte[] body, String instance) {
        ClientRequest client = byPath.get(path);
        if (client == null || !client.attemptId.equals(attemptId) || !Arrays.equals(client.body, body)) {
            fault(path + " runs and is not what a client sent");
            return;
        }
        client.runs++;
        client.instances.add(instance);
        if (!client.route.idempotent() && client.runs > 1) {
            fault(path + " may not be repeated and runs " + client.runs + " times");
        }
        if (client.runs > client.route.maxAttempts()) {
            fault(path + " runs " + client.runs + " times, on " + client.instances);
        }
        if (client.answers > 0 && PROMISES.contains(client.status)) {
            fault(path + " was refused with " + client.status + " and runs");
        }
    }

    /** What stood still or died at this proxy: those it holds may be late. */
    void troubled(Environment process) {
        byPath.values().stream().filter(client -> client.process == process).forEach(client -> client.troubled = true);
    }

    /** After all is over: each request has its answer, unless its client left or its proxy is gone. */
    void checkAnswers() {
        for (ClientRequest client : byPath.values()) {
            if (client.answers == 0 && !client.left && !cluster.isDead(client.process)) {
                fault(client.path + " has no answer");
            }
        }
        faults.addAll(cluster.violations());
    }

    /** Carries a proxy's bytes, as the process does. */
    private final class ChainTransport implements Transport {
        private final Environment process;
        private final Map<String, ChainConnection.Connections> connections = new HashMap<>();
        private final Map<Attempt, UpstreamExchange> open = new HashMap<>();

        ChainTransport(Environment process) {
            this.process = process;
        }

        @Override
        public void send(Attempt attempt) {
            ClientRequest client = (ClientRequest) attempt.request.clientContext;
            UpstreamConnections to = connections.computeIfAbsent(
                    attempt.instanceId, id -> new ChainConnection.Connections(ChainModel.this, process, id));
            UpstreamExchange exchange = exchanges.of(attempt, to, (which, end) -> {
                if (end != Attempt.Outcome.ANSWERED) {
                    open.remove(attempt);
                }
                cluster.proxy(process).attemptEnded(attempt, end);
            });
            open.put(attempt, exchange);
            long left = Math.max(1, (attempt.deadline - cluster.now()) / 1_000_000);
            exchange.begin(client.head, client.body, left);
        }

        @Override
        public boolean abandon(Attempt attempt) {
            return open.remove(attempt).abandon();
        }

        @Override
        public void deliverAnswer(Attempt attempt) {
            UpstreamExchange exchange = open.remove(attempt);
            String body = new String(exchange.body, StandardCharsets.ISO_8859_1);
            answered((ClientRequest) attempt.request.clientContext, exchange.head.status(), body);
        }

        @Override
        public void sendError(Request request, int status, long pauseMillis, String why) {
            answered((ClientRequest) request.clientContext, status, "");
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
            ChainConnection.Connections known = connections.remove(id);
            if (known != null) {
                known.closeIdle();
            }
        }
    }
}
