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

/** The loop is turned by the tests themselves; clients, the runner and discovery are plain channels. */
@Timeout(20)
class RouterTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String NO_ANSWER = "(none)";

    private final DispatcherSettings orders = new DispatcherSettings();
    private final Workload workload = new Workload();
    private final List<AutoCloseable> open = new ArrayList<>();
    private int mostSockets = 100;
    private EventLoop loop;
    private Router router;
    private InetSocketAddress address;
    private ServerSocketChannel runner;
    private ServerSocketChannel discovery;

    /** The other side of a connection, and what has come from it. */
    private final class Peer {
        final SocketChannel channel;
        String heard = "";
        boolean ended;

        Peer(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            open.add(channel);
        }

        Peer says(String text) throws IOException {
            channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        private void listen() {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            try {
                int count = channel.read(bytes);
                ended |= count < 0;
                heard += count > 0 ? new String(bytes.array(), 0, count, StandardCharsets.ISO_8859_1) : "";
            } catch (IOException e) {
                ended = true;
            }
        }

        /** Turns the loop until this text has come; what came up to it is forgotten and handed back. */
        String hears(String text) throws IOException {
            until(() -> {
                listen();
                assertFalse(ended && !heard.contains(text), heard);
                return heard.contains(text);
            });
            int end = heard.indexOf(text) + text.length();
            String all = heard.substring(0, end);
            heard = heard.substring(end);
            return all;
        }

        void hearsTheEnd() throws IOException {
            until(() -> {
                listen();
                return ended;
            });
        }
    }

    @BeforeEach
    void start() throws IOException {
        workload.name = "w";
        workload.targetLatency = Duration.ofSeconds(10);
        workload.clientTimeout = Duration.ofSeconds(60);
        orders.workloads.add(workload);
        orders.mayProbe = false;
        orders.maxAttempts = 1;
        orders.connectTimeout = Duration.ofMillis(500);
        runner = server();
        discovery = server();
        loop = new EventLoop();
        open.add(() -> loop.stop());
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private ServerSocketChannel server() throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.configureBlocking(false);
        open.add(server);
        return server;
    }

    private static String at(ServerSocketChannel server) throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Begins with one runner in the list. */
    private void begin() throws IOException {
        SocketBudget sockets = new SocketBudget(loop, mostSockets);
        router = new Router(
                loop,
                sockets,
                orders,
                Duration.ofSeconds(30),
                (InetSocketAddress) discovery.getLocalAddress(),
                0,
                new SplittableRandom(1));
        address = new Listener(
                        loop, sockets, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), router::accepted)
                .localAddress();
        router.begin(list(7, true, host("s-1", at(runner), "up")));
    }

    private static String host(String name, String dial, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"health\":\"" + health + "\"}";
    }

    private static String text(long seq, boolean whole, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private static HostListUpdate list(long seq, boolean whole, String... hosts) {
        return HostListUpdate.parse(text(seq, whole, hosts).getBytes(StandardCharsets.UTF_8));
    }

    private void until(BooleanSupplier reached) throws IOException {
        while (!reached.getAsBoolean()) {
            loop.schedule(Duration.ofMillis(2), () -> {});
            loop.runOnce(router::turnEnd);
        }
    }

    private Peer client() throws IOException {
        return new Peer(SocketChannel.open(address));
    }

    private Peer accepts(ServerSocketChannel server) throws IOException {
        SocketChannel[] accepted = new SocketChannel[1];
        until(() -> {
            try {
                accepted[0] = server.accept();
                return accepted[0] != null;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        return new Peer(accepted[0]);
    }

    /** The connection on which the runner gets the next job, all of which has come. */
    private Peer dispatched() throws IOException {
        Peer peer = accepts(runner);
        peer.hears("\r\n\r\nbody");
        return peer;
    }

    private static String post(String path, String id, String more, String body) {
        return "POST " + path + " HTTP/1.1\r\nRequest-Id: " + id + "\r\nRequest-Timeout-Ms: 50000\r\n" + more
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String job(String id) {
        return post("/w/k", id, "", "body");
    }

    private static String news(String id, String from, String state) {
        return post(
                "/_jobs/news",
                "x",
                "",
                "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"" + state + "\",\"result\":\"made\"}");
    }

    /** What a client is answered where the runner answers so to the dispatch, and calls back so after its 202. */
    private String answered(String toDispatch, String state) throws IOException {
        Peer client = client().says(job("a"));
        Peer dispatched = dispatched();
        if (toDispatch.equals(NO_ANSWER)) {
            dispatched.channel.close();
        } else {
            dispatched.says(toDispatch);
        }
        if (state != null) {
            client().says(news("a", "s-1", state)).hears("204");
        }
        return client.hears("\r\n\r\n").substring(9, 12);
    }

    // The life of a request.

    @Test
    void aJobIsDispatchedAsItCameAndItsResultIsTheAnswer() throws IOException {
        begin();
        assertTrue(client().says("GET /up HTTP/1.1\r\n\r\n").hears("\r\n\r\n").startsWith("HTTP/1.1 200"));
        Peer client = client().says(post("/w/k?q=1", "a", "Idempotency-Key: i\r\n", "body"));
        Peer dispatched = accepts(runner);
        String sent = dispatched.hears("\r\n\r\nbody");
        assertTrue(sent.startsWith("POST /w/k?q=1 HTTP/1.1\r\nRequest-Id: a\r\nIdempotency-Key: i\r\n"), sent);
        dispatched.says(ACCEPTED);
        client().says(news("a", "s-1", "started"))
                .says(news("a", "s-1", "done"))
                .hears("204");
        assertTrue(client.hears("\r\n\r\nmade").startsWith("HTTP/1.1 200"));
        assertTrue(router.counted().contains("assignments_held 0"), router.counted());
        assertFalse(router.counted().contains("preview_"), router.counted());
        router.preview(new DispatcherSettings());
        client().says("GET /counters HTTP/1.1\r\n\r\n").hears("preview_shed_differs 0");
        client.says(job("b"));
        assertTrue(dispatched.hears("\r\n\r\nbody").contains("Request-Id: b"), "the connection is used again");
    }

    @Test
    void theFiguresOfARequestReachTheDecisions() throws IOException {
        workload.latencyStretch = 1; // what is hinted to run beyond its promised time would be shed at once
        begin();
        client().says(post("/w/k", "a", "Work-Hint: 1500\r\n", "body"));
        accepts(runner);
        assertEquals(Duration.ofNanos(1_500_000), router.held("a").assignment.runTimeHint);
        client().says(post("/w/k", "b", "Request-Info: slots=2,memory=3,new=x\r\nClient-Retry: 1\r\n", "body"));
        until(() -> router.held("b") != null);
        client().says(post("/w/k", "c", "Request-Info: slots=NaN,memory=-1\r\nWork-Hint: 999999999999\r\n", "body"));
        until(() -> router.held("c") != null);
        assertEquals(1, router.held("c").assignment.slots);
        assertEquals(0, router.held("c").assignment.memory);
        assertEquals(workload.clientTimeout, router.held("c").assignment.runTimeHint);
        client().says(post("/w/k", "d", "", "body").replace("50000", "999999999"));
        until(() -> router.held("d") != null);
        assertEquals(workload.clientTimeout, router.held("d").assignment.clientTimeout());
        assertEquals(2, router.held("b").assignment.slots);
        assertEquals(3, router.held("b").assignment.memory);
        assertTrue(router.held("b").assignment.markedAsRetry);
    }

    @Test
    void aJobIsProbedForWhereThatIsAllowed() throws IOException {
        orders.mayProbe = true;
        begin();
        client().says(job("a"));
        Peer probed = accepts(runner);
        assertTrue(probed.hears("\r\n\r\n").startsWith("GET /metrics/load"));
        probed.says("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ndepth=0");
        assertTrue(probed.hears("\r\n\r\nbody").startsWith("POST /w/k"));
        probed.says(ACCEPTED);
        client().says(news("a", "s-1", "done")).hears("204");
        client().says(job("b"));
        probed.hears("\r\n\r\n");
        probed.channel.close(); // a kept connection that is reset tells nothing of the runner
        String first = accepts(runner).hears("\r\n\r\n"); // the job itself, where that took longer than a probe may
        assertTrue(
                (first.startsWith("GET") ? first : accepts(runner).hears("\r\n\r\n")).startsWith("GET /metrics/load"));
    }

    @Test
    void outcomesFollowTheTable() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL; // shed where it never ran, given up where it may have
        String accepted = ACCEPTED.replace("Content", "Connection: close\r\nContent");
        begin();
        assertEquals("200", answered(accepted, "done"));
        assertEquals("502", answered(accepted, "failed"));
        assertEquals("503", answered(accepted, "returned"));
        assertEquals("502", answered(accepted, "lost"));
    }

    @Test
    void answersOtherThanTakenFollowTheTable() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        String end = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        begin();
        assertEquals("502", answered("HTTP/1.1 500 Error" + end, null));
        assertEquals("502", answered("HTTP/1.1 503 Full" + end, null));
        assertEquals("503", answered("HTTP/1.1 503 Full\r\nNot-Started: 1" + end, null));
        assertEquals("503", answered("HTTP/1.1 504 Late\r\nNot-Started: 1" + end, null));
        assertEquals("502", answered("HTTP/1.1 404 Odd" + end, null));
        assertEquals("502", answered("nonsense\r\n\r\n", null));
        assertEquals("502", answered(NO_ANSWER, null));
    }

    @Test
    void aRefusedConnectionMeansNeverRun() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        begin();
        runner.close();
        assertTrue(client().says(job("a")).hears("\r\n\r\n").startsWith("HTTP/1.1 503"));
    }

    // Call-backs.

    @Test
    void callBacksAreMatchedByTheirRunnerAndActedOnOnce() throws IOException {
        begin();
        Peer client = client().says(job("a"));
        Peer dispatched = dispatched();
        Peer caller = client();
        caller.says(news("a", "s-2", "done")).hears("204");
        caller.says(news("unknown", "s-1", "done")).hears("204");
        caller.says(news("a", "s-1", "done")).hears("204"); // before the 202
        client.hears("\r\n\r\nmade");
        dispatched.says(ACCEPTED);
        caller.says(news("a", "s-1", "done")).hears("204");
        assertTrue(router.counted().contains("call_backs_unmatched 3"), router.counted());
        assertEquals("", client.heard);
    }

    @Test
    void aStartThatIsToldTwiceStandsAsItWasFirstTold() throws IOException {
        begin();
        client().says(job("a"));
        dispatched();
        Peer caller = client();
        caller.says(news("a", "s-1", "started")).hears("204");
        Duration told = router.held("a").sendings.get(0).dispatch.startedAt;
        caller.says(news("a", "s-1", "started")).hears("204");
        assertEquals(told, router.held("a").sendings.get(0).dispatch.startedAt);
    }

    @Test
    void malformedCallBacksAreTurnedDown() throws IOException {
        begin();
        assertTrue(client().says(post("/_jobs/news", "x", "", "{\"id\":1}"))
                .hears("\r\n\r\n")
                .contains(" 400 "));
        assertTrue(router.counted().contains("bad_call_backs 1"));
    }

    // Giving up.

    @Test
    void aJobWhoseClientHasGoneIsTakenBack() throws IOException {
        begin();
        Peer client = client().says(job("a"));
        Peer dispatched = dispatched();
        dispatched.says(ACCEPTED);
        client().says(news("a", "s-1", "started")).hears("204");
        client.channel.close();
        dispatched.hears("DELETE /jobs/a HTTP/1.1");
        dispatched.says(OK);
        until(() -> router.counted().contains("assignments_held 0"));
    }

    @Test
    void beforeThe202TheConnectionIsClosed() throws IOException {
        begin();
        Peer client = client().says(job("a"));
        Peer dispatched = dispatched();
        client.channel.close();
        dispatched.hearsTheEnd();
        until(() -> router.counted().contains("ended_cancelled 1"));
    }

    /** A dispatch that this runner's connection has taken, and has been told to take back. */
    private Sending takenBack(Peer client, Peer[] dispatched) throws IOException {
        client.says(job("a"));
        dispatched[0] = dispatched();
        dispatched[0].says(ACCEPTED);
        Sending sending = router.held("a").sendings.get(0);
        until(sending::isTaken);
        sending.stop(Outcome.CANCELLED);
        return sending;
    }

    @Test
    void aDispatchThatIsTakenBackEndsWhenThatIsAnswered() throws IOException {
        begin();
        Peer[] dispatched = new Peer[1];
        Sending sending = takenBack(client(), dispatched);
        dispatched[0].hears("DELETE /jobs/a");
        assertFalse(sending.isOver(), "another dispatch would be a second copy");
        dispatched[0].says(OK);
        until(sending::isOver);
        assertEquals(Outcome.CANCELLED, sending.dispatch.outcome);
    }

    @Test
    void aWordThatMetAResetIsSentAgainBeforeTheDispatchEnds() throws IOException {
        begin();
        Peer[] dispatched = new Peer[1];
        Sending sending = takenBack(client(), dispatched);
        dispatched[0].hears("DELETE /jobs/a");
        dispatched[0].channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        dispatched[0].channel.close();
        Peer second = accepts(runner);
        second.hears("DELETE /jobs/a");
        assertFalse(sending.isOver(), "the first word may never have come");
        second.says(OK);
        until(sending::isOver);
    }

    @Test
    void theConnectionOfAJobIsKeptForTakingItBack() throws IOException {
        begin();
        orders.maxAttempts = 2;
        client().says(job("a"));
        Peer first = dispatched();
        first.says(ACCEPTED);
        until(router.held("a").sendings.get(0)::isTaken);
        client().says(job("b"));
        dispatched();
        router.held("a").sendings.get(0).stop(Outcome.CANCELLED);
        first.hears("DELETE /jobs/a");
    }

    @Test
    void aStartThatOvertookThe202IsTakenBackByName() throws IOException {
        begin();
        client().says(job("a"));
        Peer dispatched = dispatched();
        client().says(news("a", "s-1", "started")).hears("204");
        Sending sending = router.held("a").sendings.get(0);
        sending.stop(Outcome.CANCELLED);
        Peer second = accepts(runner);
        second.hears("DELETE /jobs/a");
        assertFalse(sending.isOver(), "closing the connection may come too late to give it up");
        second.says(OK);
        until(sending::isOver);
    }

    @Test
    void aVanishedRunnerDoesNotHoldUpTheRest() throws IOException {
        begin();
        Sending sending = takenBack(client(), new Peer[1]);
        until(sending::isOver); // though nobody answers
        assertEquals(Outcome.CANCELLED, sending.dispatch.outcome);
    }

    // Bad input, and the end.

    @Test
    void badRequestsDoNotReachTheDecisions() throws IOException {
        workload.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        begin();
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
        for (String[] each : cases) {
            assertEquals(each[1], client().says(each[0]).hears("\r\n\r\n").substring(9, 12), each[0]);
        }
        assertTrue(router.counted().contains("assignments_taken 0"));
        assertTrue(router.counted().contains("bad_requests " + cases.length), router.counted());
    }

    @Test
    void everyClientGetsAnEndThoughItsRequestDoesNot() throws IOException {
        begin();
        Peer usual = client().says("GET /up HTTP/1.1\r\n\r\n");
        Peer silent = client();
        Peer drips = client();
        Peer half = client().says(job("a").substring(0, 80));
        Peer bodyless = client().says(post("/w/k", "b", "", "body").replace("Content-Length: 4", "Content-Length: 5"));
        usual.hears("\r\n\r\n");
        for (int i = 1; i < 24; i++) { // a byte each 100 ms
            Duration next = Duration.ofMillis(100 * i);
            until(() -> loop.now().compareTo(next) >= 0);
            drips.says("x");
        }
        assertTrue(drips.hears("Connection: close").contains(" 408 "));
        silent.hearsTheEnd();
        assertTrue(half.hears("Connection: close").contains(" 408 "));
        assertTrue(bodyless.hears("Connection: close").contains(" 408 "));
        usual.says("GET /up HTTP/1.1\r\n\r\n").hears(" 200 ");
        assertTrue(router.counted().contains("too_slow 4"), router.counted());
    }

    @Test
    void theSameAgainAfterARefusalIsReadLater() throws IOException {
        begin();
        Peer client = client();
        for (int i = 0; i < 4; i++) {
            client.says("GET /no HTTP/1.1\r\n\r\n").hears("\r\n\r\nno such workload");
        }
        assertTrue(loop.now().compareTo(Duration.ofMillis(10 + 20 + 40)) >= 0, "read at once");
        client.says("GET /no HTTP/1.1\r\n\r\n".repeat(9)).hearsTheEnd();
        assertEquals(1, client.heard.split(" 404 ", -1).length - 1);
    }

    @Test
    void aRunnerIsNotBlamedForDescriptorsThatWeLack() throws IOException {
        mostSockets = 16;
        begin();
        accepts(discovery);
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(client().says("GET /up HTTP/1.1\r\n\r\n"));
            clients.get(i).hears(" 200 ");
        }
        for (int i = 0; i < 4; i++) { // three descriptors are left for dialling
            clients.get(i).says(job("a" + i));
        }
        until(() -> router.counted().contains("ended_never_sent 1"));
        assertFalse(router.counted().contains("ended_not_connected"), router.counted());
    }

    @Test
    void manyRequestsBehindOneAnotherAreAnsweredInTurn() throws IOException {
        begin();
        Peer client = client().says("GET /up HTTP/1.1\r\n\r\n".repeat(2000) + "GET /last HTTP/1.1\r\n\r\n");
        String all = client.hears(" 404 ");
        assertEquals(2000, all.split(" 200 ", -1).length - 1);
    }

    @Test
    void anIdThatIsHeldIsNotTakenTwice() throws IOException {
        begin();
        client().says(job("a"));
        dispatched();
        assertEquals("409", client().says(job("a")).hears("\r\n\r\n").substring(9, 12));
    }

    @Test
    void withoutSocketsForMoreClientsTheNextIsShedUnseen() throws IOException {
        mostSockets = 16;
        begin();
        accepts(discovery);
        for (int i = 0; i < 6; i++) { // two sockets each, beside the one to discovery
            client().says(job("held" + i));
            accepts(runner);
        }
        Peer last = client().says(job("last"));
        assertTrue(last.hears("Connection: close").contains(" 503 "));
        assertTrue(router.counted().contains("turned_away_without_sockets 1"), router.counted());
    }

    @Test
    void toldToEndItAnswersWhatIsHeldAndStops() throws IOException {
        workload.clientTimeout = Duration.ofMillis(300); // the longest that a client comes with
        begin();
        Peer client = client().says(job("a"));
        Peer idle = client().says("GET /up HTTP/1.1\r\n\r\n");
        idle.hears("\r\n\r\n");
        dispatched();
        router.end();
        assertTrue(client().says("GET /up HTTP/1.1\r\n\r\n").hears("\r\n\r\n").contains(" 503 "));
        Peer late = client().says(job("b"));
        dispatched();
        idle.says(job("c")); // on a connection that stands, while new ones don't come any more
        dispatched().says(ACCEPTED);
        client().says(news("c", "s-1", "done")).hears("204");
        assertFalse(idle.hears("made").contains("Connection: close"));
        assertTrue(client.hears("Connection: close").contains(" 503 "));
        assertTrue(late.hears("Connection: close").contains(" 503 "));
        client.channel.close();
        idle.hearsTheEnd();
        until(() -> !loop.isRunning());
        assertTrue(router.counted().contains("answered_shed 2"), router.counted());
    }

    // Discovery.

    @Test
    void theListIsReadAndThenWatchedFromItsVersion() throws IOException {
        begin();
        Peer lists = accepts(discovery);
        assertTrue(lists.hears("\r\n\r\n").startsWith("GET /discovery/hosts HTTP/1.1"));
        String[] hosts = new String[2000]; // more than 64 KiB
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = host("s-" + i, at(runner), "up");
        }
        String whole = text(41, true, hosts);
        lists.says("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
        Peer watch = accepts(discovery);
        assertTrue(watch.hears("\r\n\r\n").startsWith("GET /discovery/hosts?watch=1&from=41 "));
        String change = text(43, false, host("s-1", at(runner), "draining")) + "\n";
        watch.says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
                + Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
        until(() -> router.counted().contains("lists 2"));
        watch.channel.close();
        assertTrue(accepts(discovery).hears("\r\n\r\n").contains("from=43 "));
    }

    @Test
    void aMalformedChangeIsCountedOnceAndTheWatchBegunAnew() throws IOException {
        begin();
        Peer lists = accepts(discovery);
        lists.hears("\r\n\r\n");
        String whole = text(41, true);
        lists.says("HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole);
        Peer watch = accepts(discovery);
        watch.hears("\r\n\r\n");
        watch.says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n");
        assertTrue(accepts(discovery).hears("\r\n\r\n").contains("from=41 "));
        assertTrue(router.counted().contains("bad_lists 1\nwatches_broken 1"), router.counted());
    }

    @Test
    void discoveryThatMovesIsFollowedAndTheOldWatchHoldsUntilThen() throws IOException {
        begin();
        String whole = text(41, true, host("s-1", at(runner), "up"));
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + whole.length() + "\r\n\r\n" + whole;
        accepts(discovery).says(answer);
        Peer oldWatch = accepts(discovery);
        ServerSocketChannel next = server();
        router.discoveryAt((InetSocketAddress) next.getLocalAddress());
        Peer lists = accepts(next);
        lists.hears("GET /discovery/hosts HTTP/1.1\r\nHost: " + at(next));
        oldWatch.hears("from=41 ");
        oldWatch.listen();
        assertFalse(oldWatch.ended);
        lists.says(answer);
        accepts(next).hears("GET /discovery/hosts?watch=1&from=41 ");
        oldWatch.hearsTheEnd();
        assertTrue(router.counted().contains("watches_broken 0"), router.counted());
    }

    @Test
    void aMalformedListLeavesTheOldOne() throws IOException {
        begin();
        Peer lists = accepts(discovery);
        lists.hears("\r\n\r\n");
        lists.says("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        until(() -> router.counted().contains("bad_lists 1"));
        client().says(job("a"));
        dispatched();
    }
}
