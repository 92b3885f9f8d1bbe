package saltdale.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.model.DispatcherSettings;
import saltdale.model.Outcome;
import saltdale.model.Workload;
import saltdale.protocol.HostListUpdate;
import saltdale.transport.EventLoop;
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;

/**
 * Tests a router over real sockets. The tests run the event loop themselves; the clients, the runner and the discovery
 * service are plain channels.
 */
@Timeout(20)
class RouterTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String NO_RESPONSE = "(none)";

    private final DispatcherSettings settings = new DispatcherSettings();
    private final Workload workload = new Workload();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private int socketLimit = 100;
    private EventLoop loop;
    private Router router;
    private InetSocketAddress address;
    private ServerSocketChannel runner;
    private ServerSocketChannel discovery;

    /** The remote end of a connection to or from the router, with the text received on it. */
    private final class Peer {
        final SocketChannel channel;
        String received = "";
        boolean closed;

        Peer(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            resources.add(channel);
        }

        Peer send(String text) throws IOException {
            channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        private void readAvailable() {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            try {
                int count = channel.read(bytes);
                closed |= count < 0;
                received += count > 0 ? new String(bytes.array(), 0, count, StandardCharsets.ISO_8859_1) : "";
            } catch (IOException e) {
                closed = true;
            }
        }

        /** Runs the loop until this text has been received; removes and returns the received text up to its end. */
        String await(String text) throws IOException {
            runUntil(() -> {
                readAvailable();
                assertFalse(closed && !received.contains(text), received);
                return received.contains(text);
            });
            int end = received.indexOf(text) + text.length();
            String consumed = received.substring(0, end);
            received = received.substring(end);
            return consumed;
        }

        void awaitClose() throws IOException {
            runUntil(() -> {
                readAvailable();
                return closed;
            });
        }
    }

    @BeforeEach
    void start() throws IOException {
        workload.name = "w";
        workload.targetLatency = Duration.ofSeconds(10);
        workload.clientTimeout = Duration.ofSeconds(60);
        settings.workloads.add(workload);
        settings.mayProbe = false;
        settings.maxAttempts = 1;
        settings.connectTimeout = Duration.ofMillis(500);
        runner = listeningChannel();
        discovery = listeningChannel();
        loop = new EventLoop();
        resources.add(() -> loop.stop());
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    private ServerSocketChannel listeningChannel() throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.configureBlocking(false);
        resources.add(server);
        return server;
    }

    private static String addressOf(ServerSocketChannel server) throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Starts the router with one runner in the list. */
    private void startRouter() throws IOException {
        SocketBudget sockets = new SocketBudget(loop, socketLimit);
        router = new Router(
                loop,
                sockets,
                settings,
                Duration.ofSeconds(30),
                (InetSocketAddress) discovery.getLocalAddress(),
                0,
                new SplittableRandom(1));
        address = new Listener(
                        loop,
                        sockets,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        router::connectionAccepted)
                .localAddress();
        router.start(list(7, true, hostJson("s-1", addressOf(runner), "up")));
    }

    private static String hostJson(String name, String address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"health\":\"" + health + "\"}";
    }

    private static String listJson(long seq, boolean complete, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + complete + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private static HostListUpdate list(long seq, boolean complete, String... hosts) {
        return HostListUpdate.parse(listJson(seq, complete, hosts).getBytes(StandardCharsets.UTF_8));
    }

    private void runUntil(BooleanSupplier condition) throws IOException {
        while (!condition.getAsBoolean()) {
            loop.schedule(Duration.ofMillis(2), () -> {});
            loop.runOnce(router::endRound);
        }
    }

    private Peer client() throws IOException {
        return new Peer(SocketChannel.open(address));
    }

    private Peer awaitConnection(ServerSocketChannel server) throws IOException {
        SocketChannel[] accepted = new SocketChannel[1];
        runUntil(() -> {
            try {
                accepted[0] = server.accept();
                return accepted[0] != null;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return new Peer(accepted[0]);
    }

    /** Returns the connection on which the runner receives the next job, after the whole job has been received. */
    private Peer awaitJob() throws IOException {
        Peer peer = awaitConnection(runner);
        peer.await("\r\n\r\nbody");
        return peer;
    }

    private static String post(String path, String id, String headerLines, String body) {
        return "POST " + path + " HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Timeout-Ms: 50000\r\n" + headerLines
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String jobRequest(String id) {
        return post("/w/k", id, "", "body");
    }

    private static String jobUpdate(String id, String runnerName, String state) {
        return post(
                "/_jobs/news",
                "x",
                "",
                "{\"id\":\"" + id + "\",\"from\":\"" + runnerName + "\",\"state\":\"" + state
                        + "\",\"result\":\"made\"}");
    }

    /**
     * Returns the status that a client receives if the runner gives this response to the attempt and, unless
     * {@code state} is null, then sends a job update with this state.
     */
    private String statusFor(String runnerResponse, String state) throws IOException {
        Peer client = client().send(jobRequest("a"));
        Peer runnerConnection = awaitJob();
        if (runnerResponse.equals(NO_RESPONSE)) {
            runnerConnection.channel.close();
        } else {
            runnerConnection.send(runnerResponse);
        }
        if (state != null) {
            client().send(jobUpdate("a", "s-1", state)).await("204");
        }
        return client.await("\r\n\r\n").substring(9, 12);
    }

    // Requests from arrival to response.

    @Test
    void forwardsAJobUnchangedAndRespondsWithItsResult() throws IOException {
        startRouter();
        assertTrue(client().send("GET /up HTTP/1.1\r\n\r\n").await("\r\n\r\n").startsWith("HTTP/1.1 200"));
        Peer client = client().send(post("/w/k?q=1", "a", "Idempotency-Key: i\r\n", "body"));
        Peer runnerConnection = awaitConnection(runner);
        String sent = runnerConnection.await("\r\n\r\nbody");
        assertTrue(sent.startsWith("POST /w/k?q=1 HTTP/1.1\r\nRequest-Id: a\r\nIdempotency-Key: i\r\n"), sent);
        runnerConnection.send(ACCEPTED);
        client().send(jobUpdate("a", "s-1", "started"))
                .send(jobUpdate("a", "s-1", "done"))
                .await("204");
        assertTrue(client.await("\r\n\r\nmade").startsWith("HTTP/1.1 200"));
        assertTrue(router.metrics().contains("assignments_held 0"), router.metrics());
        assertFalse(router.metrics().contains("preview_"), router.metrics());
        router.enablePreview(new DispatcherSettings());
        client().send("GET /counters HTTP/1.1\r\n\r\n").await("preview_shed_differs 0");
        client.send(jobRequest("b"));
        assertTrue(runnerConnection.await("\r\n\r\nbody").contains("Request-Id: b"), "the connection is reused");
    }

    @Test
    void passesTheRequestHeadersToTheDispatcher() throws IOException {
        workload.latencyStretch = 1; // a request whose hint exceeds its target latency would be shed at once
        startRouter();
        client().send(post("/w/k", "a", "Work-Hint: 1500\r\n", "body"));
        awaitConnection(runner);
        assertEquals(Duration.ofNanos(1_500_000), router.pendingRequest("a").request.runTimeHint);
        client().send(post("/w/k", "b", "Request-Info: slots=2,memory=3,new=x\r\nClient-Retry: 1\r\n", "body"));
        runUntil(() -> router.pendingRequest("b") != null);
        client().send(post("/w/k", "c", "Request-Info: slots=NaN,memory=-1\r\nWork-Hint: 999999999999\r\n", "body"));
        runUntil(() -> router.pendingRequest("c") != null);
        assertEquals(1, router.pendingRequest("c").request.slots);
        assertEquals(0, router.pendingRequest("c").request.memory);
        assertEquals(workload.clientTimeout, router.pendingRequest("c").request.runTimeHint);
        client().send(post("/w/k", "d", "", "body").replace("50000", "999999999"));
        runUntil(() -> router.pendingRequest("d") != null);
        assertEquals(workload.clientTimeout, router.pendingRequest("d").request.clientTimeout());
        assertEquals(2, router.pendingRequest("b").request.slots);
        assertEquals(3, router.pendingRequest("b").request.memory);
        assertTrue(router.pendingRequest("b").request.markedAsRetry);
    }

    @Test
    void probesBeforeDispatchingIfProbesAreEnabled() throws IOException {
        settings.mayProbe = true;
        startRouter();
        client().send(jobRequest("a"));
        Peer probed = awaitConnection(runner);
        assertTrue(probed.await("\r\n\r\n").startsWith("GET /metrics/load"));
        probed.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ndepth=0");
        assertTrue(probed.await("\r\n\r\nbody").startsWith("POST /w/k"));
        probed.send(ACCEPTED);
        client().send(jobUpdate("a", "s-1", "done")).await("204");
        client().send(jobRequest("b"));
        probed.await("\r\n\r\n");
        probed.channel.close(); // the reset of a pooled connection says nothing about the runner
        String first = awaitConnection(runner).await("\r\n\r\n"); // the job itself, if the probe timed out before
        assertTrue((first.startsWith("GET") ? first : awaitConnection(runner).await("\r\n\r\n"))
                .startsWith("GET /metrics/load"));
    }

    @Test
    void mapsJobUpdatesToClientStatuses() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL; // shed if it never ran, given up if it may have run
        String acceptedAndClosed = ACCEPTED.replace("Content", "Connection: close\r\nContent");
        startRouter();
        assertEquals("200", statusFor(acceptedAndClosed, "done"));
        assertEquals("502", statusFor(acceptedAndClosed, "failed"));
        assertEquals("503", statusFor(acceptedAndClosed, "returned"));
        assertEquals("502", statusFor(acceptedAndClosed, "lost"));
    }

    @Test
    void mapsRunnerResponsesToClientStatuses() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        String headersAndEnd = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        startRouter();
        assertEquals("502", statusFor("HTTP/1.1 500 Error" + headersAndEnd, null));
        assertEquals("502", statusFor("HTTP/1.1 503 Full" + headersAndEnd, null));
        assertEquals("503", statusFor("HTTP/1.1 503 Full\r\nNot-Started: 1" + headersAndEnd, null));
        assertEquals("503", statusFor("HTTP/1.1 504 Late\r\nNot-Started: 1" + headersAndEnd, null));
        assertEquals("502", statusFor("HTTP/1.1 404 Odd" + headersAndEnd, null));
        assertEquals("502", statusFor("nonsense\r\n\r\n", null));
        assertEquals("502", statusFor(NO_RESPONSE, null));
    }

    @Test
    void aRefusedConnectionProvesThatTheJobNeverRan() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        startRouter();
        runner.close();
        assertTrue(client().send(jobRequest("a")).await("\r\n\r\n").startsWith("HTTP/1.1 503"));
    }

    // Job updates.

    @Test
    void matchesJobUpdatesByRunnerAndAppliesThemOnce() throws IOException {
        startRouter();
        Peer client = client().send(jobRequest("a"));
        Peer runnerConnection = awaitJob();
        Peer updates = client();
        updates.send(jobUpdate("a", "s-2", "done")).await("204");
        updates.send(jobUpdate("unknown", "s-1", "done")).await("204");
        updates.send(jobUpdate("a", "s-1", "done")).await("204"); // arrives before the 202
        client.await("\r\n\r\nmade");
        runnerConnection.send(ACCEPTED);
        updates.send(jobUpdate("a", "s-1", "done")).await("204");
        assertTrue(router.metrics().contains("call_backs_unmatched 3"), router.metrics());
        assertEquals("", client.received);
    }

    @Test
    void aRepeatedStartUpdateKeepsTheFirstStartTime() throws IOException {
        startRouter();
        client().send(jobRequest("a"));
        awaitJob();
        Peer updates = client();
        updates.send(jobUpdate("a", "s-1", "started")).await("204");
        Duration firstStartedAt = router.pendingRequest("a").attempts.get(0).attempt.startedAt;
        updates.send(jobUpdate("a", "s-1", "started")).await("204");
        assertEquals(firstStartedAt, router.pendingRequest("a").attempts.get(0).attempt.startedAt);
    }

    @Test
    void rejectsMalformedJobUpdates() throws IOException {
        startRouter();
        assertTrue(client().send(post("/_jobs/news", "x", "", "{\"id\":1}"))
                .await("\r\n\r\n")
                .contains(" 400 "));
        assertTrue(router.metrics().contains("bad_call_backs 1"));
    }

    // Cancellation.

    @Test
    void cancelsTheJobOfADisconnectedClient() throws IOException {
        startRouter();
        Peer client = client().send(jobRequest("a"));
        Peer runnerConnection = awaitJob();
        runnerConnection.send(ACCEPTED);
        client().send(jobUpdate("a", "s-1", "started")).await("204");
        client.channel.close();
        runnerConnection.await("DELETE /jobs/a HTTP/1.1");
        runnerConnection.send(OK);
        runUntil(() -> router.metrics().contains("assignments_held 0"));
    }

    @Test
    void closesTheConnectionToCancelBeforeThe202() throws IOException {
        startRouter();
        Peer client = client().send(jobRequest("a"));
        Peer runnerConnection = awaitJob();
        client.channel.close();
        runnerConnection.awaitClose();
        runUntil(() -> router.metrics().contains("ended_cancelled 1"));
    }

    /** Returns an attempt that the runner has accepted on {@code runnerConnection[0]} and that is being cancelled. */
    private OutgoingAttempt cancelAfterAccept(Peer client, Peer[] runnerConnection) throws IOException {
        client.send(jobRequest("a"));
        runnerConnection[0] = awaitJob();
        runnerConnection[0].send(ACCEPTED);
        OutgoingAttempt outgoing = router.pendingRequest("a").attempts.get(0);
        runUntil(outgoing::isAccepted);
        outgoing.stop(Outcome.CANCELLED);
        return outgoing;
    }

    @Test
    void aCancelledAttemptEndsWhenTheCancellationIsAnswered() throws IOException {
        startRouter();
        Peer[] runnerConnection = new Peer[1];
        OutgoingAttempt outgoing = cancelAfterAccept(client(), runnerConnection);
        runnerConnection[0].await("DELETE /jobs/a");
        assertFalse(outgoing.isFinished(), "another attempt could run as a second copy of the job");
        runnerConnection[0].send(OK);
        runUntil(outgoing::isFinished);
        assertEquals(Outcome.CANCELLED, outgoing.attempt.outcome);
    }

    @Test
    void resendsACancellationWhoseConnectionWasReset() throws IOException {
        startRouter();
        Peer[] runnerConnection = new Peer[1];
        OutgoingAttempt outgoing = cancelAfterAccept(client(), runnerConnection);
        runnerConnection[0].await("DELETE /jobs/a");
        runnerConnection[0].channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        runnerConnection[0].channel.close();
        Peer second = awaitConnection(runner);
        second.await("DELETE /jobs/a");
        assertFalse(outgoing.isFinished(), "the first cancellation may not have arrived");
        second.send(OK);
        runUntil(outgoing::isFinished);
    }

    @Test
    void retainsTheConnectionOfAJobForItsCancellation() throws IOException {
        startRouter();
        settings.maxAttempts = 2;
        client().send(jobRequest("a"));
        Peer first = awaitJob();
        first.send(ACCEPTED);
        runUntil(router.pendingRequest("a").attempts.get(0)::isAccepted);
        client().send(jobRequest("b"));
        awaitJob();
        router.pendingRequest("a").attempts.get(0).stop(Outcome.CANCELLED);
        first.await("DELETE /jobs/a");
    }

    @Test
    void cancelsByIdIfTheStartUpdateArrivesBeforeThe202() throws IOException {
        startRouter();
        client().send(jobRequest("a"));
        Peer runnerConnection = awaitJob();
        client().send(jobUpdate("a", "s-1", "started")).await("204");
        OutgoingAttempt outgoing = router.pendingRequest("a").attempts.get(0);
        outgoing.stop(Outcome.CANCELLED);
        Peer second = awaitConnection(runner);
        second.await("DELETE /jobs/a");
        assertFalse(outgoing.isFinished(), "closing the connection may be too late to stop the job");
        second.send(OK);
        runUntil(outgoing::isFinished);
    }

    @Test
    void aCancellationEndsTheAttemptAlthoughTheRunnerDoesNotRespond() throws IOException {
        startRouter();
        OutgoingAttempt outgoing = cancelAfterAccept(client(), new Peer[1]);
        runUntil(outgoing::isFinished); // although the runner does not respond
        assertEquals(Outcome.CANCELLED, outgoing.attempt.outcome);
    }

    // Invalid input, limits and shutdown.

    @Test
    void rejectsInvalidRequestsBeforeTheDispatcher() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        startRouter();
        String[][] cases = {
            {"nonsense\r\n\r\n", "400"},
            {"POST /w HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413"},
            {"GET /nowhere HTTP/1.1\r\n\r\n", "404"},
            {"POST / HTTP/1.1\r\n\r\n", "404"},
            {"POST /v/1 HTTP/1.1\r\n\r\n", "404"},
            {"GET /w/1 HTTP/1.1\r\n\r\n", "405"},
            {"POST /up HTTP/1.1\r\n\r\n", "405"},
            {"GET /_jobs/news HTTP/1.1\r\n\r\n", "405"},
            {"POST /w HTTP/1.1\r\nRequest-Timeout-Ms: 9\r\n\r\n", "400"},
            {"POST /w HTTP/1.1\r\nRequest-Id: a\r\n\r\n", "400"},
            {post("/w", "a b", "", ""), "400"},
            {"POST /w HTTP/1.1\r\nRequest-Id: a\r\nRequest-Timeout-Ms: soon\r\n\r\n", "400"},
            {post("/w", "a", "", ""), "400"},
            {post("/w", "a", "Idempotency-Key: i\r\nIdempotency-Key: j\r\n", ""), "400"},
            {post("/w", "a", "Idempotency-Key:\r\n", ""), "400"},
            {post("/w", "a", "Request-Id: b\r\nIdempotency-Key: i\r\n", ""), "400"},
            {post("/w", "a", "Request-Timeout-Ms: 9\r\nIdempotency-Key: i\r\n", ""), "400"}
        };
        for (String[] inputAndStatus : cases) {
            assertEquals(
                    inputAndStatus[1],
                    client().send(inputAndStatus[0]).await("\r\n\r\n").substring(9, 12),
                    inputAndStatus[0]);
        }
        assertTrue(router.metrics().contains("assignments_taken 0"));
        assertTrue(router.metrics().contains("bad_requests " + cases.length), router.metrics());
    }

    @Test
    void timesOutClientsWhoseRequestsNeverComplete() throws IOException {
        startRouter();
        Peer active = client().send("GET /up HTTP/1.1\r\n\r\n");
        Peer silent = client();
        Peer dripping = client();
        Peer partialHead = client().send(jobRequest("a").substring(0, 80));
        Peer partialBody =
                client().send(post("/w/k", "b", "", "body").replace("Content-Length: 4", "Content-Length: 5"));
        active.await("\r\n\r\n");
        for (int i = 1; i < 24; i++) { // one byte every 100 ms
            Duration next = Duration.ofMillis(100 * i);
            runUntil(() -> loop.now().compareTo(next) >= 0);
            dripping.send("x");
        }
        assertTrue(dripping.await("Connection: close").contains(" 408 "));
        silent.awaitClose();
        assertTrue(partialHead.await("Connection: close").contains(" 408 "));
        assertTrue(partialBody.await("Connection: close").contains(" 408 "));
        active.send("GET /up HTTP/1.1\r\n\r\n").await(" 200 ");
        assertTrue(router.metrics().contains("too_slow 4"), router.metrics());
    }

    @Test
    void delaysReadingAfterARejection() throws IOException {
        startRouter();
        Peer client = client();
        for (int i = 0; i < 4; i++) {
            client.send("GET /no HTTP/1.1\r\n\r\n").await("\r\n\r\nno such workload");
        }
        assertTrue(
                loop.now().compareTo(Duration.ofMillis(10 + 20 + 40)) >= 0, "the requests were read without a delay");
        client.send("GET /no HTTP/1.1\r\n\r\n".repeat(9)).awaitClose();
        assertEquals(1, client.received.split(" 404 ", -1).length - 1);
    }

    @Test
    void aLackOfSocketsIsNotCountedAgainstTheRunner() throws IOException {
        socketLimit = 16;
        startRouter();
        awaitConnection(discovery);
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(client().send("GET /up HTTP/1.1\r\n\r\n"));
            clients.get(i).await(" 200 ");
        }
        for (int i = 0; i < 4; i++) { // three sockets are left for outgoing connections
            clients.get(i).send(jobRequest("a" + i));
        }
        runUntil(() -> router.metrics().contains("ended_never_sent 1"));
        assertFalse(router.metrics().contains("ended_not_connected"), router.metrics());
    }

    @Test
    void answersPipelinedRequestsInOrder() throws IOException {
        startRouter();
        Peer client = client().send("GET /up HTTP/1.1\r\n\r\n".repeat(2000) + "GET /last HTTP/1.1\r\n\r\n");
        String responses = client.await(" 404 ");
        assertEquals(2000, responses.split(" 200 ", -1).length - 1);
    }

    @Test
    void rejectsTheIdOfAPendingRequest() throws IOException {
        startRouter();
        client().send(jobRequest("a"));
        awaitJob();
        assertEquals("409", client().send(jobRequest("a")).await("\r\n\r\n").substring(9, 12));
    }

    @Test
    void shedsClientsOverTheSocketLimitBeforeTheDispatcher() throws IOException {
        socketLimit = 16;
        startRouter();
        awaitConnection(discovery);
        for (int i = 0; i < 6; i++) { // two sockets each, in addition to the one to discovery
            client().send(jobRequest("held" + i));
            awaitConnection(runner);
        }
        Peer last = client().send(jobRequest("last"));
        assertTrue(last.await("Connection: close").contains(" 503 "));
        assertTrue(router.metrics().contains("turned_away_without_sockets 1"), router.metrics());
    }

    @Test
    void shutdownAnswersPendingRequestsAndStopsTheLoop() throws IOException {
        workload.clientTimeout = Duration.ofMillis(300); // the longest client timeout
        startRouter();
        Peer client = client().send(jobRequest("a"));
        Peer idle = client().send("GET /up HTTP/1.1\r\n\r\n");
        idle.await("\r\n\r\n");
        awaitJob();
        router.beginShutdown();
        assertTrue(client().send("GET /up HTTP/1.1\r\n\r\n").await("\r\n\r\n").contains(" 503 "));
        Peer late = client().send(jobRequest("b"));
        awaitJob();
        idle.send(jobRequest("c")); // on an established connection, which is still served
        awaitJob().send(ACCEPTED);
        client().send(jobUpdate("c", "s-1", "done")).await("204");
        assertFalse(idle.await("made").contains("Connection: close"));
        assertTrue(client.await("Connection: close").contains(" 503 "));
        assertTrue(late.await("Connection: close").contains(" 503 "));
        client.channel.close();
        idle.awaitClose();
        runUntil(() -> !loop.isRunning());
        assertTrue(router.metrics().contains("answered_shed 2"), router.metrics());
    }

    // Discovery.

    @Test
    void readsTheRunnerListAndWatchesItFromItsVersion() throws IOException {
        startRouter();
        Peer listRequest = awaitConnection(discovery);
        assertTrue(listRequest.await("\r\n\r\n").startsWith("GET /discovery/hosts HTTP/1.1"));
        String[] hosts = new String[2000]; // more than 64 KiB
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = hostJson("s-" + i, addressOf(runner), "up");
        }
        String completeList = listJson(41, true, hosts);
        listRequest.send("HTTP/1.1 200 OK\r\nContent-Length: " + completeList.length() + "\r\n\r\n" + completeList);
        Peer watch = awaitConnection(discovery);
        assertTrue(watch.await("\r\n\r\n").startsWith("GET /discovery/hosts?watch=1&from=41 "));
        String change = listJson(43, false, hostJson("s-1", addressOf(runner), "draining")) + "\n";
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
                + Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
        runUntil(() -> router.metrics().contains("lists 2"));
        watch.channel.close();
        assertTrue(awaitConnection(discovery).await("\r\n\r\n").contains("from=43 "));
    }

    @Test
    void countsAMalformedChangeOnceAndRestartsTheWatch() throws IOException {
        startRouter();
        Peer listRequest = awaitConnection(discovery);
        listRequest.await("\r\n\r\n");
        String completeList = listJson(41, true);
        listRequest.send("HTTP/1.1 200 OK\r\nContent-Length: " + completeList.length() + "\r\n\r\n" + completeList);
        Peer watch = awaitConnection(discovery);
        watch.await("\r\n\r\n");
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n");
        assertTrue(awaitConnection(discovery).await("\r\n\r\n").contains("from=41 "));
        assertTrue(router.metrics().contains("bad_lists 1\nwatches_broken 1"), router.metrics());
    }

    @Test
    void keepsTheOldWatchUntilTheNewDiscoveryAddressHasAnswered() throws IOException {
        startRouter();
        String completeList = listJson(41, true, hostJson("s-1", addressOf(runner), "up"));
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + completeList.length() + "\r\n\r\n" + completeList;
        awaitConnection(discovery).send(response);
        Peer oldWatch = awaitConnection(discovery);
        ServerSocketChannel newDiscovery = listeningChannel();
        router.setDiscoveryAddress((InetSocketAddress) newDiscovery.getLocalAddress());
        Peer listRequest = awaitConnection(newDiscovery);
        listRequest.await("GET /discovery/hosts HTTP/1.1\r\nHost: " + addressOf(newDiscovery));
        oldWatch.await("from=41 ");
        oldWatch.readAvailable();
        assertFalse(oldWatch.closed);
        listRequest.send(response);
        awaitConnection(newDiscovery).await("GET /discovery/hosts?watch=1&from=41 ");
        oldWatch.awaitClose();
        assertTrue(router.metrics().contains("watches_broken 0"), router.metrics());
    }

    @Test
    void keepsTheOldListAfterAMalformedOne() throws IOException {
        startRouter();
        Peer listRequest = awaitConnection(discovery);
        listRequest.await("\r\n\r\n");
        listRequest.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        runUntil(() -> router.metrics().contains("bad_lists 1"));
        client().send(jobRequest("a"));
        awaitJob();
    }
}
