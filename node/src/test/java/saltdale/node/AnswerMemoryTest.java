package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.protocol.HttpParser;
import saltdale.proxy.Attempt;
import saltdale.proxy.Attempts;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;

@Timeout(20)
class AnswerMemoryTest {
    private static final int ANSWER_BYTES = 900_000;
    private static final int ANSWERS = 40;
    private static final int ROOM_FOR = 4; // answers

    private final List<UpstreamExchange> answered = new ArrayList<>();

    private static void serve(Socket socket) {
        try (socket) {
            socket.getInputStream().read(new byte[1000]);
            String head =
                    "HTTP/1.1 200 OK\r\nX-Saltdale-Attempt-Id: me\r\nX-Saltdale-Runner-Seal: s\r\nContent-Length: "
                            + ANSWER_BYTES + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[ANSWER_BYTES]);
            socket.getInputStream().read();
        } catch (IOException e) {
            // the exchange has ended
        }
    }

    private static void acceptAll(ServerSocket instance) {
        try {
            while (true) {
                Socket socket = instance.accept();
                new Thread(() -> serve(socket)).start();
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    /** Starts the instance and returns the connections to it. */
    private static PooledConnections connectionsTo(ServerSocket instance, EventLoop loop, SocketBudget sockets) {
        Thread acceptor = new Thread(() -> acceptAll(instance));
        acceptor.setDaemon(true);
        acceptor.start();
        return new PooledConnections(new ConnectionPool(
                loop,
                sockets,
                (InetSocketAddress) instance.getLocalSocketAddress(),
                Duration.ofSeconds(5),
                Duration.ofSeconds(5)));
    }

    private static void runUntil(EventLoop loop, BooleanSupplier condition, Duration limit) throws IOException {
        Duration end = loop.elapsed().plus(limit);
        while (!condition.getAsBoolean() && loop.elapsed().compareTo(end) < 0) {
            loop.schedule(Duration.ofMillis(2), () -> {});
            loop.runOnce(() -> {});
        }
    }

    /** Guards against large answers that arrive at the same time and use up the heap. */
    @Test
    void answersOverTheLimitAreReadAsOthersEnd() throws IOException {
        EventLoop loop = new EventLoop();
        SocketBudget sockets = new SocketBudget(loop, 64);
        AnswerMemory memory = new AnswerMemory(loop, sockets, ROOM_FOR * ANSWER_BYTES);
        try (ServerSocket instance = new ServerSocket(0, ANSWERS, InetAddress.getLoopbackAddress())) {
            PooledConnections connections = connectionsTo(instance, loop, sockets);
            for (int i = 0; i < ANSWERS; i++) {
                start(connections, memory);
            }
            runUntil(loop, () -> answered.size() > ROOM_FOR, Duration.ofMillis(500));
            assertThat("answered while none is passed on", answered.size(), is(lessThanOrEqualTo(ROOM_FOR)));
            assertThat(answered.size(), is(greaterThan(0)));
            int released = 0;
            while (released < ANSWERS) {
                int before = released;
                runUntil(loop, () -> answered.size() > before, Duration.ofSeconds(5));
                memory.release(answered.get(released++));
            }
            assertThat(answered.size(), is(ANSWERS));
        }
    }

    /** Guards against clients that do not read: each let one more answer through, since no other was being received. */
    @Test
    void answersThatClientsDoNotReadTakeRoom() throws IOException {
        EventLoop loop = new EventLoop();
        SocketBudget sockets = new SocketBudget(loop, 64);
        AnswerMemory memory = new AnswerMemory(loop, sockets, ROOM_FOR * ANSWER_BYTES);
        List<String> disconnected = new ArrayList<>();
        Listener listener = new Listener(
                loop, sockets, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (connection, overLimit) -> {
                    connection.setClient();
                    connection.setHandler(new Connection.Handler() {
                        @Override
                        public void received(ByteBuffer bytes) {
                            connection.send(ByteBuffer.allocate(16 << 20)); // more than the kernel takes
                        }

                        @Override
                        public void disconnected(String cause) {
                            disconnected.add(cause);
                        }
                    });
                });
        try (ServerSocket instance = new ServerSocket(0, ANSWERS, InetAddress.getLoopbackAddress());
                Socket client = new Socket()) {
            client.connect(listener.localAddress());
            client.getOutputStream().write(1);
            runUntil(loop, () -> sockets.unsentBytes() > 0, Duration.ofSeconds(5));
            PooledConnections connections = connectionsTo(instance, loop, sockets);
            start(connections, memory);
            runUntil(loop, () -> !answered.isEmpty(), Duration.ofMillis(500));
            assertThat("answered without room", answered.size(), is(0));
            runUntil(loop, () -> !answered.isEmpty(), Duration.ofSeconds(10));
            assertThat(answered.size(), is(1));
            assertThat(disconnected, is(List.of("the peer does not read")));
        }
    }

    private void start(PooledConnections connections, AnswerMemory memory) {
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
        parser.parse(ByteBuffer.wrap("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
        UpstreamExchange.OutcomeListener listener = new UpstreamExchange.OutcomeListener() {
            @Override
            public void exchangeEnded(UpstreamExchange exchange, Attempt.Outcome outcome) {
                assertThat(outcome, is(Attempt.Outcome.ANSWERED));
                answered.add(exchange);
            }

            @Override
            public boolean mayReadOn(UpstreamExchange exchange) {
                return memory.mayReadOn(exchange);
            }
        };
        new UpstreamExchange(Attempts.of("me", "127.0.0.1:1"), connections, listener)
                .start(parser.head(), parser.body(), 700);
    }
}
