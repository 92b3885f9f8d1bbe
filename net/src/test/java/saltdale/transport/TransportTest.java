package saltdale.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(20)
class TransportTest {
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    private final List<String> events = new ArrayList<>();
    private final Connection.Handler recordingHandler = new Connection.Handler() {
        @Override
        public void opened() {
            events.add("opened");
        }

        @Override
        public void received(ByteBuffer bytes) {
            events.add("received");
        }

        @Override
        public void disconnected(String cause) {
            events.add("ended");
        }
    };
    private EventLoop loop;
    private SocketBudget sockets;
    private ServerSocketChannel server;

    @BeforeEach
    void start() throws IOException {
        loop = new EventLoop();
        sockets = new SocketBudget(loop, 16);
        server = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    private void runUntil(BooleanSupplier condition) throws IOException {
        while (!condition.getAsBoolean()) {
            loop.schedule(Duration.ofMillis(2), () -> {});
            loop.runOnce(() -> {});
        }
    }

    private ConnectionPool newPool(Duration idleTimeout) throws IOException {
        return new ConnectionPool(
                loop, sockets, (InetSocketAddress) server.getLocalAddress(), LONG_TIMEOUT, idleTimeout);
    }

    /** Opens a connection through the pool and releases it. */
    private Connection openAndRelease(ConnectionPool pool) throws IOException {
        Connection connection = pool.acquire(recordingHandler);
        runUntil(() -> events.contains("opened"));
        pool.release(connection);
        return connection;
    }

    private static ByteBuffer bytes(int count) {
        return ByteBuffer.allocate(count);
    }

    // Clients that are ready at the same time

    /** Guards against crowds of clients that hold up the messages of other processes, and timers. */
    @Test
    void clientsHoldUpOthersForALimitedTime() throws IOException {
        int clients = 12;
        long nanosPerClient = 30_000_000;
        List<SocketChannel> peers = new ArrayList<>();
        ConnectionPool pool = newPool(LONG_TIMEOUT);
        for (int i = 0; i <= clients; i++) {
            String name = i == 0 ? "process" : "client";
            Connection connection = pool.acquire(new Connection.Handler() {
                @Override
                public void opened() {
                    events.add("opened");
                }

                @Override
                public void received(ByteBuffer bytes) {
                    events.add(name);
                    for (long start = System.nanoTime(); System.nanoTime() - start < nanosPerClient; ) {
                        Thread.onSpinWait(); // works for its client
                    }
                }

                @Override
                public void disconnected(String cause) {}
            });
            if (i > 0) {
                connection.setClient();
            }
            int expected = i + 1;
            runUntil(() -> Collections.frequency(events, "opened") == expected);
            peers.add(server.accept());
        }
        events.clear();
        for (SocketChannel peer : peers) {
            peer.write(bytes(10));
        }
        loop.runOnce(() -> events.add("end of the iteration"));
        assertEquals("process", events.get(0));
        assertTrue(events.indexOf("end of the iteration") < clients, events.toString());
        while (Collections.frequency(events, "client") < clients) {
            loop.runOnce(() -> {});
        }
        assertEquals(clients + 2, events.size(), "each once: " + events);
        for (SocketChannel peer : peers) {
            peer.close();
        }
    }

    /** Guards against clients whose bytes fill the memory of the machine while the process does not read them. */
    @Test
    void kernelKeepsLittleOfClients() throws IOException {
        List<Connection> accepted = new ArrayList<>();
        Listener listener = new Listener(
                loop, sockets, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (connection, full) -> {
                    connection.setHandler(recordingHandler);
                    connection.setClient();
                    connection.setReadEnabled(false);
                    accepted.add(connection);
                });
        listener.limitKernelBuffers();
        try (SocketChannel client = SocketChannel.open()) {
            client.setOption(StandardSocketOptions.SO_SNDBUF, 4096);
            client.setOption(StandardSocketOptions.SO_RCVBUF, 4096);
            client.connect(listener.localAddress());
            client.configureBlocking(false);
            runUntil(() -> !accepted.isEmpty());
            long sent = 0;
            for (int i = 0; i < 200; i++) {
                sent += client.write(bytes(1 << 16));
            }
            assertTrue(sent <= 2 * 32 * 1024 + 16 * 1024, "sent: " + sent);
            int large = 16 << 20;
            accepted.get(0).send(bytes(large));
            loop.runOnce(() -> {});
            long kept = large - accepted.get(0).unsentBytes();
            assertTrue(kept <= 2 * 64 * 1024 + 16 * 1024, "kept: " + kept);
        }
        listener.close();
    }

    // Stalls of the process

    /** Guards against a stall that is taken for silence of peers, and against service for clients that have left. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void inputDuringAStallIsReadBeforeTimersAndTheEndOfTheIteration(boolean isClient) throws IOException {
        Connection connection = newPool(LONG_TIMEOUT).acquire(recordingHandler);
        if (isClient) {
            connection.setClient();
        }
        runUntil(() -> events.contains("opened"));
        try (SocketChannel peer = server.accept()) {
            loop.schedule(Duration.ofMillis(20), () -> events.add("timer"));
            peer.write(bytes(10));
        }
        for (long startNanos = System.nanoTime(); System.nanoTime() - startNanos < 300_000_000; ) {
            Thread.onSpinWait(); // stands in for a stopped process: the loop makes no progress
        }
        events.clear();
        loop.runOnce(() -> events.add("decided"));
        assertEquals(List.of("received", "ended", "timer", "decided"), events);
        assertTrue(loop.stallDuration().toMillis() >= 300, "stall: " + loop.stallDuration());
        loop.runOnce(() -> {});
        assertEquals(Duration.ZERO, loop.stallDuration());
    }

    // Progress of sending

    @Test
    void refusedConnectionHasSentNothing() throws IOException {
        server.close();
        ConnectionPool pool = new ConnectionPool(
                loop, sockets, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), LONG_TIMEOUT, LONG_TIMEOUT);
        Connection connection = pool.acquire(recordingHandler);
        connection.beginMessage();
        connection.send(bytes(10));
        runUntil(() -> events.contains("ended"));
        assertEquals(SendProgress.UNSENT, connection.sendProgress());
        assertEquals(0, sockets.openCount());
    }

    @Test
    void bytesAcceptedByTheKernelAreCounted() throws IOException {
        Connection connection = newPool(LONG_TIMEOUT).acquire(recordingHandler);
        connection.beginMessage();
        connection.send(bytes(10));
        runUntil(() -> events.contains("opened"));
        assertEquals(SendProgress.WRITTEN, connection.sendProgress());
        connection.beginMessage();
        assertEquals(SendProgress.UNSENT, connection.sendProgress());
        connection.send(bytes(64 << 20)); // the peer does not read
        runUntil(() -> connection.sendProgress() == SendProgress.PARTLY_WRITTEN);
        server.close();
        assertTrue(connection.sendProgress().isIncomplete());
    }

    /** Guards against a process that ends on large bodies: direct memory must not grow with what is queued. */
    @Test
    void largeMessageTakesLittleDirectMemory() throws IOException {
        BufferPoolMXBean direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .findAny()
                .orElseThrow();
        Connection connection = newPool(LONG_TIMEOUT).acquire(recordingHandler);
        runUntil(() -> events.contains("opened"));
        long bytesBefore = direct.getMemoryUsed();
        connection.send(bytes(64 << 20));
        assertTrue(direct.getMemoryUsed() - bytesBefore < 8 << 20, "grew by " + (direct.getMemoryUsed() - bytesBefore));
    }

    @Test
    void partsOfAllSizesArriveInOrder() throws IOException {
        Connection connection = newPool(LONG_TIMEOUT).acquire(recordingHandler);
        byte[] sent = new byte[3_000_000];
        new Random(1).nextBytes(sent);
        int[] partSizes = {0, 1, 65_535, 0, 65_536, 65_537, 200_000, 7, sent.length};
        int offset = 0;
        connection.beginMessage();
        for (int size : partSizes) {
            int length = Math.min(size, sent.length - offset);
            connection.send(ByteBuffer.wrap(sent, offset, length), ByteBuffer.allocate(0));
            offset += length;
        }
        ByteBuffer arrived = ByteBuffer.allocate(sent.length);
        runUntil(() -> events.contains("opened"));
        try (SocketChannel peer = server.accept()) {
            peer.configureBlocking(false);
            runUntil(() -> {
                try {
                    peer.read(arrived);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                return !arrived.hasRemaining();
            });
        }
        assertArrayEquals(sent, arrived.array());
        assertEquals(SendProgress.WRITTEN, connection.sendProgress());
    }

    // Connection pools

    @Test
    void connectionIsReusedUnlessThePeerClosedIt() throws IOException {
        ConnectionPool pool = newPool(LONG_TIMEOUT);
        Connection first = openAndRelease(pool);
        SocketChannel peer = server.accept();
        assertSame(first, pool.acquire(recordingHandler));
        pool.release(first);
        peer.close(); // the event loop has not noticed this yet
        assertNotSame(first, pool.acquire(recordingHandler));
        assertFalse(first.isOpen());
        assertEquals(2, pool.connectCount());
    }

    @Test
    void connectionIsClosedAfterTheIdleTimeout() throws IOException {
        ConnectionPool pool = newPool(Duration.ofMillis(1));
        Connection first = openAndRelease(pool);
        runUntil(() -> !first.isOpen());
        assertNotSame(first, pool.acquire(recordingHandler));
    }

    @Test
    void unsolicitedBytesCloseAnIdleConnection() throws IOException {
        ConnectionPool pool = newPool(LONG_TIMEOUT);
        Connection first = openAndRelease(pool);
        SocketChannel peer = server.accept();
        peer.write(bytes(1));
        runUntil(() -> !first.isOpen());
    }

    // The socket budget

    @Test
    void idleConnectionsAreClosedWhenDescriptorsRunOut() throws IOException {
        SocketBudget budget = new SocketBudget(loop, 2);
        assertTrue(budget.acquireForConnect());
        assertTrue(budget.acquireForConnect());
        assertFalse(budget.acquireForConnect());
        List<SocketBudget.IdleRank> closed = new ArrayList<>();
        for (SocketBudget.IdleRank rank : List.of(
                SocketBudget.IdleRank.POOLED,
                SocketBudget.IdleRank.IDLE_CLIENT,
                SocketBudget.IdleRank.NEW_CLIENT,
                SocketBudget.IdleRank.NEW_CLIENT,
                SocketBudget.IdleRank.CLOSING)) {
            budget.markIdle(rank, () -> {
                closed.add(rank);
                budget.release();
            });
        }
        assertFalse(budget.acquireForConnect(), "a request may be about to arrive on a new connection");
        runUntil(() -> loop.now().compareTo(SocketBudget.MIN_IDLE_TIME) >= 0);
        for (int i = 0; i < 5; i++) {
            assertTrue(budget.acquireForConnect());
        }
        assertEquals(
                List.of(
                        SocketBudget.IdleRank.CLOSING,
                        SocketBudget.IdleRank.NEW_CLIENT,
                        SocketBudget.IdleRank.NEW_CLIENT,
                        SocketBudget.IdleRank.IDLE_CLIENT,
                        SocketBudget.IdleRank.POOLED),
                closed);
    }

    @Test
    void clientsLeaveDescriptorsForOutgoingConnections() {
        SocketBudget budget = new SocketBudget(loop, 16);
        int acquired = 0;
        while (budget.acquireForClient()) {
            acquired++;
        }
        assertEquals(13, acquired);
        assertTrue(budget.acquireForRejection());
        assertFalse(budget.acquireForRejection());
        assertTrue(budget.acquireForConnect());
    }

    @Test
    void newConnectionsWaitForAFreeDescriptor() throws IOException {
        SocketBudget budget = new SocketBudget(loop, 2);
        List<Connection> accepted = new ArrayList<>();
        Listener listener = new Listener(
                loop, budget, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (connection, overLimit) -> {
                    connection.setHandler(recordingHandler);
                    accepted.add(connection);
                });
        SocketChannel one = SocketChannel.open(listener.localAddress());
        SocketChannel two = SocketChannel.open(listener.localAddress());
        runUntil(() -> accepted.size() == 1);
        loop.schedule(Duration.ofMillis(5), () -> events.add("later"));
        runUntil(() -> events.contains("later"));
        assertEquals(1, accepted.size());
        accepted.get(0).close();
        runUntil(() -> accepted.size() == 2);
        one.close();
        two.close();
    }

    // The event loop

    @Test
    void timersRunInOrderUnlessCancelled() throws IOException {
        loop.schedule(Duration.ofMillis(4), () -> events.add("c"));
        loop.schedule(Duration.ofMillis(2), () -> events.add("a"));
        loop.schedule(Duration.ofMillis(2), () -> events.add("b"));
        loop.schedule(Duration.ofMillis(3), () -> events.add("x")).cancel();
        runUntil(() -> events.contains("c"));
        assertEquals(List.of("a", "b", "c"), events);
    }

    @Test
    void exceptionClosesOnlyItsOwnConnection() throws IOException {
        LOG.setLevel(Level.OFF); // hides the stack traces of the two expected exceptions
        Connection connection = newPool(LONG_TIMEOUT).acquire(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) {
                throw new IllegalStateException("for the test");
            }

            @Override
            public void disconnected(String cause) {
                events.add(cause);
            }
        });
        server.accept().write(bytes(1));
        loop.schedule(Duration.ofMillis(1), () -> {
            throw new IllegalStateException("for the test");
        });
        runUntil(() -> loop.failureCount() == 2);
        assertFalse(connection.isOpen());
        assertEquals(1, events.size());
        runUntil(() -> loop.isRunning());
    }

    @Test
    void onlyNumericAddressesAreParsed() {
        assertEquals(new InetSocketAddress("10.1.0.18", 7070), Address.parse("10.1.0.18:7070"));
        assertEquals(7070, Address.parse("[::1]:7070").getPort());
        for (String text :
                new String[] {null, "", "10.1.0.18", "10.1.0.18:", "10.1.0.18:0", "host:7070", "10.1.0.999:1"}) {
            assertNull(Address.parse(text), text);
        }
    }

    private static int recurse(int depth) {
        return recurse(depth + 1) + 1;
    }

    /** Guards against one task whose recursion is too deep and ends the process with all that it serves. */
    @Test
    void stackOverflowEndsOnlyItsOwnTask() throws IOException {
        LOG.setLevel(Level.OFF); // hides the stack trace of the expected error
        List<Throwable> failures = new ArrayList<>();
        loop.setFailureListener(failures::add);
        loop.defer(() -> recurse(0));
        loop.execute(() -> events.add("next task"));
        loop.runOnce(() -> events.add("end of iteration"));
        assertEquals(List.of("next task", "end of iteration"), events);
        assertEquals(1, loop.failureCount());
        assertSame(StackOverflowError.class, failures.get(0).getClass());
    }

    /** Guards against a process that goes on without memory: nothing that it has begun would be completed. */
    @Test
    void outOfMemoryErrorLeavesTheLoop() {
        OutOfMemoryError error = new OutOfMemoryError("for the test");
        loop.defer(() -> {
            throw error;
        });
        assertSame(error, assertThrows(OutOfMemoryError.class, () -> loop.run(() -> {})));
    }
}
