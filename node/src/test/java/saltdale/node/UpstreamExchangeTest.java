package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.proxy.Attempt;
import saltdale.proxy.Attempts;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.SendProgress;
import saltdale.transport.SocketBudget;

/**
 * Checks how the bytes from an instance are interpreted: a client only gets the complete answer of the instance to its
 * own request.
 */
@Timeout(20)
class UpstreamExchangeTest {
    private static final String REQUEST = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Saltdale-Attempt-Id: me\r\n"
            + "X-Saltdale-Deadline-Remaining: 900\r\nX-Saltdale-Expected-Runner: i-9\r\nConnection: x-drop\r\nX-Drop: 1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

    private static final int MORE_THAN_KERNEL_BUFFERS = 64 << 20;

    private String request = REQUEST;
    private String receivedRequest; // by the instance
    private UpstreamExchange exchange;

    /** Returns the outcome of an exchange with an instance that reads the request, writes this answer and closes. */
    private Attempt.Outcome outcomeOf(String answer) throws Exception {
        try (ServerSocket instance = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> request = CompletableFuture.supplyAsync(() -> serve(instance, answer));
            EventLoop loop = new EventLoop();
            Attempt.Outcome outcome = exchange(loop, connections(loop, instance), Attempts.of("me", "127.0.0.1:1"));
            receivedRequest = request.get(10, TimeUnit.SECONDS);
            return outcome;
        }
    }

    private static PooledConnections connections(EventLoop loop, ServerSocket instance) {
        return new PooledConnections(new ConnectionPool(
                loop,
                new SocketBudget(loop, 16),
                (InetSocketAddress) instance.getLocalSocketAddress(),
                Duration.ofSeconds(2),
                Duration.ofSeconds(2)));
    }

    private Attempt.Outcome exchange(EventLoop loop, UpstreamConnections connections, Attempt attempt)
            throws IOException {
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        parser.parse(ByteBuffer.wrap(request.getBytes(StandardCharsets.ISO_8859_1)));
        List<Attempt.Outcome> outcomes = new ArrayList<>();
        exchange = new UpstreamExchange(attempt, connections, (ended, outcome) -> outcomes.add(outcome));
        assertThat(exchange.start(parser.head(), parser.body(), 700), is(true));
        while (outcomes.isEmpty() && !Thread.currentThread().isInterrupted()) {
            loop.runOnce(() -> {});
        }
        assertThat("outcomes reported", outcomes.size(), is(1));
        return outcomes.get(0);
    }

    /** On a reused connection, a refusal without an id may be a late answer to an earlier attempt. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "BROKEN; false; HTTP/1.1 503 Busy|X-Saltdale-Not-Executed: 1|Content-Length: 0||",
                "BROKEN; true; HTTP/1.1 503 Busy|X-Saltdale-Not-Executed: 1|Content-Length: 0||",
                "BROKEN; false; HTTP/1.1 421 Not me|Content-Length: 0||",
                "BROKEN; false; HTTP/1.1 421 Not me|X-Saltdale-Attempt-Id: first|Content-Length: 0||",
                "BROKEN; false; HTTP/1.1 421 Not me|X-Saltdale-Attempt-Id: ME|Content-Length: 0||",
                "TURNED_AWAY; false; HTTP/1.1 503 Busy|X-Saltdale-Attempt-Id: me|X-Saltdale-Not-Executed: 1|Content-Length: 0||",
                "ANSWERED; false; HTTP/1.1 421 Not me|Content-Length: 0||"
                        + "HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 2||ok",
                "ANSWERED; true; HTTP/1.1 100 Go on||"
                        + "HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 2||ok"
            })
    void lateRefusalIsNotAttributedToThisAttempt(Attempt.Outcome expected, boolean idempotent, String second)
            throws Exception {
        String first = "HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: first|X-Saltdale-Runner-Seal: s|Content-Length: 0||";
        try (ServerSocket instance = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> served = CompletableFuture.supplyAsync(() -> serve(instance, first, second));
            EventLoop loop = new EventLoop();
            PooledConnections connections = connections(loop, instance);
            assertThat(exchange(loop, connections, Attempts.of("first", "127.0.0.1:1")), is(Attempt.Outcome.ANSWERED));
            Attempt attempt = Attempts.of("me", "127.0.0.1:1", idempotent);
            assertThat(exchange(loop, connections, attempt), is(expected));
            served.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * If two clients use the same id, the second request gets another connection, on which no answer to the first one
     * can arrive.
     */
    @Test
    void noConnectionCarriesTheSameIdTwice() throws Exception {
        String answer = "HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 0||";
        try (ServerSocket instance = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> served = CompletableFuture.supplyAsync(() -> {
                serve(instance, answer, "unused");
                return serve(instance, answer);
            });
            EventLoop loop = new EventLoop();
            PooledConnections connections = connections(loop, instance);
            for (int i = 0; i < 2; i++) {
                Attempt attempt = Attempts.of("me", "127.0.0.1:1");
                assertThat(exchange(loop, connections, attempt), is(Attempt.Outcome.ANSWERED));
            }
            served.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * Guards against a second execution of a request whose body was sent in part: the instance may have begun work on
     * it, whether its connection fails or this proxy gives the request up.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void partlyWrittenRequestMayHaveBeenExecuted(boolean connectionFails) throws Exception {
        try (ServerSocket instance = new ServerSocket()) {
            instance.setReceiveBufferSize(8192);
            instance.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EventLoop loop = new EventLoop();
            List<Attempt.Outcome> outcomes = new ArrayList<>();
            exchange = new UpstreamExchange(
                    Attempts.of("me", "127.0.0.1:1"),
                    connections(loop, instance),
                    (e, outcome) -> outcomes.add(outcome));
            HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
            parser.parse(ByteBuffer.wrap(REQUEST.getBytes(StandardCharsets.ISO_8859_1)));
            exchange.start(parser.head(), new byte[MORE_THAN_KERNEL_BUFFERS], 700);
            while (exchange.sendProgress() != SendProgress.PARTLY_WRITTEN) {
                loop.runOnce(() -> {});
            }
            Socket accepted = instance.accept();
            if (!connectionFails) {
                assertThat("not executed", exchange.abandon(), is(false));
                return;
            }
            accepted.close(); // with unread bytes: a reset
            while (outcomes.isEmpty()) {
                loop.runOnce(() -> {});
            }
            assertThat(outcomes, is(List.of(Attempt.Outcome.BROKEN)));
        }
    }

    /** Answers requests on one connection with these answers, then closes it. Returns the last request. */
    private static String serve(ServerSocket instance, String... answers) {
        try (Socket socket = instance.accept()) {
            String received = "";
            for (String answer : answers) {
                received = readRequest(socket);
                OutputStream out = socket.getOutputStream();
                out.write(answer.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            return received;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String readRequest(Socket socket) throws IOException {
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("\r\n\r\nabc")) {
            int nextByte = socket.getInputStream().read();
            if (nextByte < 0) {
                return received.toString();
            }
            received.append((char) nextByte);
        }
        return received.toString();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "ANSWERED; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 2||ok",
                "ANSWERED; HTTP/1.1 500 No|X-Saltdale-Attempt-Id: me|Content-Length: 0||",
                "ANSWERED; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: other|X-Saltdale-Runner-Seal: t|Content-Length: 1||x"
                        + "HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 2||ok",
                "BROKEN; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: other|X-Saltdale-Runner-Seal: t|Content-Length: 1||x",
                "BROKEN; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 9||cut",
                "BROKEN; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s||no length",
                "BROKEN; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|Content-Length: 2||ok",
                "BROKEN; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Encoding: gzip|Content-Length: 2||ok",
                "BROKEN; HTTP/1.1 503 Busy|X-Saltdale-Attempt-Id: me|Content-Length: 0||",
                "BROKEN; rubbish||",
                "TURNED_AWAY; HTTP/1.1 503 Busy|X-Saltdale-Not-Executed: 1|Content-Length: 0||",
                "TURNED_AWAY; HTTP/1.1 429 Busy|X-Saltdale-Attempt-Id: me|X-Saltdale-Not-Executed: 1|Content-Length: 0||",
                "MISDIRECTED; HTTP/1.1 421 Not me|X-Saltdale-Runner-Id: i-2|Content-Length: 0||"
            })
    void onlyCompleteAnswersToThisRequestAreForwarded(Attempt.Outcome expected, String answer) throws Exception {
        assertThat(outcomeOf(answer), is(expected));
        if (expected == Attempt.Outcome.ANSWERED && answer.contains("200")) {
            assertThat(new String(exchange.answerBody, StandardCharsets.ISO_8859_1), is("ok"));
        }
    }

    /**
     * Guards against answers to HEAD and of status 304 that lose the length that they state, and against waiting for a
     * body that never comes, however long the body of the answer to GET would be.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "ANSWERED; HEAD; 5242880; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 5242880||",
                "ANSWERED; HEAD; 7; HTTP/1.1 500 No|X-Saltdale-Attempt-Id: me|Content-Length: 7||",
                "ANSWERED; HEAD; ; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s||",
                "ANSWERED; HEAD; ; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Transfer-Encoding: chunked||",
                "ANSWERED; HEAD; 7; HTTP/1.1 304 Same|X-Saltdale-Attempt-Id: me|Content-Length: 7||",
                "ANSWERED; POST; 7; HTTP/1.1 304 Same|X-Saltdale-Attempt-Id: me|Content-Length: 7||",
                "ANSWERED; POST; ; HTTP/1.1 204 None|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 0||",
                "ANSWERED; POST; 2; HTTP/1.1 200 OK|X-Saltdale-Attempt-Id: me|X-Saltdale-Runner-Seal: s|Content-Length: 2||ok",
                "TURNED_AWAY; HEAD; ; HTTP/1.1 503 Busy|X-Saltdale-Not-Executed: 1|Content-Length: 4||",
                "MISDIRECTED; HEAD; ; HTTP/1.1 421 Not me|Content-Length: 4||"
            })
    void lengthOfAnAnswerWithoutBodyIsForwarded(Attempt.Outcome expected, String method, String length, String answer)
            throws Exception {
        request = REQUEST.replace("POST", method);
        try (ServerSocket instance = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> served = CompletableFuture.supplyAsync(() -> serve(instance, answer, "unused"));
            EventLoop loop = new EventLoop();
            Attempt attempt = Attempts.of("me", "127.0.0.1:1");
            assertThat(exchange(loop, connections(loop, instance), attempt), is(expected));
            if (expected == Attempt.Outcome.ANSWERED) {
                byte[] head =
                        HttpWriter.forwardedResponse(exchange.answerHead, method, exchange.answerBody.length, false);
                HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, part -> {});
                parser.parse(ByteBuffer.wrap(head));
                assertThat(parser.head().uniqueHeader("Content-Length"), is(length));
            }
            served.cancel(true);
        }
    }

    /**
     * The request is forwarded without its hop-by-hop headers and otherwise unchanged, with a single header each for
     * the instance and the remaining time.
     */
    @Test
    void requestIsForwardedWithoutHopByHopHeaders() throws Exception {
        outcomeOf("HTTP/1.1 500 No|X-Saltdale-Attempt-Id: me|Content-Length: 0||");
        assertThat(receivedRequest, containsString("POST /a/1 HTTP/1.1\r\n"));
        assertThat(receivedRequest, containsString("\r\nX-Saltdale-Expected-Runner: i-1\r\n"));
        assertThat(receivedRequest, not(containsString("i-9")));
        assertThat(receivedRequest, containsString("\r\nX-Saltdale-Deadline-Remaining: 700\r\n"));
        assertThat(receivedRequest, not(containsString("900")));
        assertThat(receivedRequest, containsString("\r\nContent-Length: 3\r\n"));
        assertThat(receivedRequest.toLowerCase(java.util.Locale.ROOT), not(containsString("transfer-encoding")));
        assertThat(receivedRequest, not(containsString("X-Drop")));
    }
}
