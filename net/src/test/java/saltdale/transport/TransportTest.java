package saltdale.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class TransportTest {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final Duration LONG = Duration.ofSeconds(30);

    private final List<String> events = new ArrayList<>();
    private final Connection.Owner owner = new Connection.Owner() {
        @Override
        public void opened() {
            events.add("opened");
        }

        @Override
        public void received(ByteBuffer bytes) {
            events.add("received");
        }

        @Override
        public void ended(String cause) {
            events.add("ended");
        }
    };
    private Loop loop;
    private Sockets sockets;
    private ServerSocketChannel server;

    @BeforeEach
    void start() throws IOException {
        loop = new Loop();
        sockets = new Sockets(loop, 16);
        server = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    private void until(BooleanSupplier reached) throws IOException {
        while (!reached.getAsBoolean()) {
            loop.after(Duration.ofMillis(2), () -> {});
            loop.turn(() -> {});
        }
    }

    private Pool pool(Duration idle) throws IOException {
        return new Pool(loop, sockets, (InetSocketAddress) server.getLocalAddress(), LONG, idle);
    }

    /** A connection that is up and has gone back to its pool. */
    private Connection rested(Pool pool) throws IOException {
        Connection connection = pool.take(owner);
        until(() -> events.contains("opened"));
        pool.rest(connection);
        return connection;
    }

    private static ByteBuffer bytes(int count) {
        return ByteBuffer.allocate(count);
    }

    // A standstill of our own.

    @Test
    void whatCameWhileTheProcessStoodStillIsTakenBeforeAnyTimerOrDecision() throws IOException {
        pool(LONG).take(owner);
        until(() -> events.contains("opened"));
        try (SocketChannel peer = server.accept()) {
            loop.after(Duration.ofMillis(20), () -> events.add("timer"));
            peer.write(bytes(10));
        }
        for (long from = System.nanoTime(); System.nanoTime() - from < 300_000_000; ) {
            Thread.onSpinWait(); // as a process does that is stopped: nothing of its own
        }
        events.clear();
        loop.turn(() -> events.add("decided"));
        assertEquals(List.of("received", "ended", "timer", "decided"), events);
        assertTrue(loop.stood().toMillis() >= 300, "stood: " + loop.stood());
        loop.turn(() -> {});
        assertEquals(Duration.ZERO, loop.stood());
    }

    // How far a message had come.

    @Test
    void aRefusedConnectionHasSentNothing() throws IOException {
        server.close();
        Pool pool = new Pool(loop, sockets, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), LONG, LONG);
        Connection connection = pool.take(owner);
        connection.beginMessage();
        connection.send(bytes(10));
        until(() -> events.contains("ended"));
        assertEquals(Reach.UNSENT, connection.reach());
        assertEquals(0, sockets.open());
    }

    @Test
    void whatTheKernelHasTakenIsCounted() throws IOException {
        Connection connection = pool(LONG).take(owner);
        connection.beginMessage();
        connection.send(bytes(10));
        until(() -> events.contains("opened"));
        assertEquals(Reach.WRITTEN, connection.reach());
        connection.beginMessage();
        assertEquals(Reach.UNSENT, connection.reach());
        connection.send(bytes(64 << 20)); // nobody reads
        until(() -> connection.reach() == Reach.PARTLY_WRITTEN);
        server.close();
        assertTrue(connection.reach().incomplete());
    }

    // Pools.

    @Test
    void aConnectionIsUsedAgainUnlessItsPeerHasClosedIt() throws IOException {
        Pool pool = pool(LONG);
        Connection first = rested(pool);
        SocketChannel peer = server.accept();
        assertSame(first, pool.take(owner));
        pool.rest(first);
        peer.close(); // the loop has not seen it yet
        assertNotSame(first, pool.take(owner));
        assertFalse(first.isOpen());
        assertEquals(2, pool.dialled());
    }

    @Test
    void aConnectionThatStoodIdleTooLongIsClosed() throws IOException {
        Pool pool = pool(Duration.ofMillis(1));
        Connection first = rested(pool);
        until(() -> !first.isOpen());
        assertNotSame(first, pool.take(owner));
    }

    @Test
    void bytesThatNobodyAskedForCloseAnIdleConnection() throws IOException {
        Pool pool = pool(LONG);
        Connection first = rested(pool);
        SocketChannel peer = server.accept();
        peer.write(bytes(1));
        until(() -> !first.isOpen());
    }

    // Descriptors.

    @Test
    void idleConnectionsGiveWayWhenDescriptorsRunOut() throws IOException {
        Sockets few = new Sockets(loop, 2);
        assertTrue(few.takeForDialing());
        assertTrue(few.takeForDialing());
        assertFalse(few.takeForDialing());
        List<Sockets.Rank> closed = new ArrayList<>();
        for (Sockets.Rank rank : List.of(
                Sockets.Rank.RUNNER,
                Sockets.Rank.CLIENT,
                Sockets.Rank.STRANGER,
                Sockets.Rank.STRANGER,
                Sockets.Rank.ANSWERED)) {
            few.idle(rank, () -> {
                closed.add(rank);
                few.gaveBack();
            });
        }
        assertFalse(few.takeForDialing(), "a request may be on its way on connections that have just come");
        until(() -> loop.now().compareTo(Sockets.YOUNG) >= 0);
        for (int i = 0; i < 5; i++) {
            assertTrue(few.takeForDialing());
        }
        assertEquals(
                List.of(
                        Sockets.Rank.ANSWERED,
                        Sockets.Rank.STRANGER,
                        Sockets.Rank.STRANGER,
                        Sockets.Rank.CLIENT,
                        Sockets.Rank.RUNNER),
                closed);
    }

    @Test
    void clientsLeaveAPartForDialling() {
        Sockets few = new Sockets(loop, 16);
        int taken = 0;
        while (few.takeForClient()) {
            taken++;
        }
        assertEquals(13, taken);
        assertTrue(few.takeToTurnAway());
        assertFalse(few.takeToTurnAway());
        assertTrue(few.takeForDialing());
    }

    @Test
    void withoutDescriptorsNewConnectionsWaitUntilOneIsGivenBack() throws IOException {
        Sockets few = new Sockets(loop, 2);
        List<Connection> accepted = new ArrayList<>();
        Listener listener =
                new Listener(loop, few, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), (taken, full) -> {
                    taken.owner(owner);
                    accepted.add(taken);
                });
        SocketChannel one = SocketChannel.open(listener.address());
        SocketChannel two = SocketChannel.open(listener.address());
        until(() -> accepted.size() == 1);
        loop.after(Duration.ofMillis(5), () -> events.add("later"));
        until(() -> events.contains("later"));
        assertEquals(1, accepted.size());
        accepted.get(0).close();
        until(() -> accepted.size() == 2);
        one.close();
        two.close();
    }

    // The loop.

    @Test
    void timersComeInTheirOrderUnlessTakenBack() throws IOException {
        loop.after(Duration.ofMillis(4), () -> events.add("c"));
        loop.after(Duration.ofMillis(2), () -> events.add("a"));
        loop.after(Duration.ofMillis(2), () -> events.add("b"));
        loop.after(Duration.ofMillis(3), () -> events.add("x")).cancel();
        until(() -> events.contains("c"));
        assertEquals(List.of("a", "b", "c"), events);
    }

    @Test
    void anExceptionEndsItsConnectionAndNothingElse() throws IOException {
        LOG.setLevel(Level.OFF); // two traces that say nothing
        Connection connection = pool(LONG).take(new Connection.Owner() {
            @Override
            public void received(ByteBuffer bytes) {
                throw new IllegalStateException("for the test");
            }

            @Override
            public void ended(String cause) {
                events.add(cause);
            }
        });
        server.accept().write(bytes(1));
        loop.after(Duration.ofMillis(1), () -> {
            throw new IllegalStateException("for the test");
        });
        until(() -> loop.exceptions() == 2);
        assertFalse(connection.isOpen());
        assertEquals(1, events.size());
        until(() -> loop.isRunning());
    }

    @Test
    void addressesAreNumbers() {
        assertEquals(new InetSocketAddress("10.1.0.18", 7070), Address.parse("10.1.0.18:7070"));
        assertEquals(7070, Address.parse("[::1]:7070").getPort());
        for (String bad :
                new String[] {null, "", "10.1.0.18", "10.1.0.18:", "10.1.0.18:0", "host:7070", "10.1.0.999:1"}) {
            assertNull(Address.parse(bad), bad);
        }
    }
}
