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
import saltdale.protocol.HttpParser;
import saltdale.proxy.Attempt;
import saltdale.proxy.Attempts;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * What is made of the bytes that an instance sends: nothing reaches a client but the instance's whole answer to its
 * request.
 */
@Timeout(20)
class UpstreamExchangeTest {
    private static final String REQUEST = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Saltdale-Attempt-Id: me\r\n"
            + "X-Saltdale-Deadline-Remaining: 900\r\nX-Saltdale-Expected-Runner: i-9\r\nConnection: x-drop\r\nX-Drop: 1\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

    private String sent; // what the instance read
    private UpstreamExchange exchange;

    /** The end of an exchange with an instance that reads the request, writes this and closes. */
    private Attempt.Outcome end(String answer) throws Exception {
        try (ServerSocket instance = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> read = CompletableFuture.supplyAsync(() -> serve(instance, answer));
            EventLoop loop = new EventLoop();
            Attempt.Outcome end = exchange(loop, connections(loop, instance), Attempts.of("me", "127.0.0.1:1"));
            sent = read.get(10, TimeUnit.SECONDS);
            return end;
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
        parser.parse(ByteBuffer.wrap(REQUEST.getBytes(StandardCharsets.ISO_8859_1)));
        List<Attempt.Outcome> ends = new ArrayList<>();
        exchange = new UpstreamExchange(attempt, connections, (which, how) -> ends.add(how));
        assertThat(exchange.begin(parser.head(), parser.body(), 700), is(true));
        while (ends.isEmpty()) {
            loop.runOnce(() -> {});
        }
        assertThat("told once", ends.size(), is(1));
        return ends.get(0);
    }

    /** On a connection that carried another attempt, what bears no id may be late: it says nothing of this one. */
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
    void aLateRefusalIsNotTakenForOurs(Attempt.Outcome expected, boolean idempotent, String second) throws Exception {
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

    /** Two clients with one id: the second goes on a connection of its own, where no answer to the first can come. */
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

    /** Answers so many requests on one connection, then closes it. */
    private static String serve(ServerSocket instance, String... answers) {
        try (Socket socket = instance.accept()) {
            String got = "";
            for (String answer : answers) {
                got = readRequest(socket);
                OutputStream out = socket.getOutputStream();
                out.write(answer.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            return got;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String readRequest(Socket socket) throws IOException {
        StringBuilder got = new StringBuilder();
        while (!got.toString().endsWith("\r\n\r\nabc")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return got.toString();
            }
            got.append((char) next);
        }
        return got.toString();
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
    void onlyAWholeAnswerToThisRequestIsOne(Attempt.Outcome expected, String answer) throws Exception {
        assertThat(end(answer), is(expected));
        if (expected == Attempt.Outcome.ANSWERED && answer.contains("200")) {
            assertThat(new String(exchange.body, StandardCharsets.ISO_8859_1), is("ok"));
        }
    }

    /**
     * The request goes on as it came, but for what concerns one connection, with the instance and the time left
     * named once.
     */
    @Test
    void theRequestIsPassedOnUnchangedUnderOneFraming() throws Exception {
        end("HTTP/1.1 500 No|X-Saltdale-Attempt-Id: me|Content-Length: 0||");
        assertThat(sent, containsString("POST /a/1 HTTP/1.1\r\n"));
        assertThat(sent, containsString("\r\nX-Saltdale-Expected-Runner: i-1\r\n"));
        assertThat(sent, not(containsString("i-9")));
        assertThat(sent, containsString("\r\nX-Saltdale-Deadline-Remaining: 700\r\n"));
        assertThat(sent, not(containsString("900")));
        assertThat(sent, containsString("\r\nContent-Length: 3\r\n"));
        assertThat(sent.toLowerCase(java.util.Locale.ROOT), not(containsString("transfer-encoding")));
        assertThat(sent, not(containsString("X-Drop")));
    }
}
