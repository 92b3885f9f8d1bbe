package saltdale.rig.ways;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.rig.fleet.LinkCondition;
import saltdale.rig.standin.LoopThread;

/** Relays between two sockets under each link condition, and checks what arrives during and after it. */
@Timeout(20)
class LinkRelayTest {
    private LoopThread loopThread;
    private ServerSocket target;
    private LinkRelay relay;
    private InetSocketAddress address;
    private Socket client;
    private Socket server;

    @BeforeEach
    void open() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        loopThread = new LoopThread("relay");
        relay = new LinkRelay(
                loopThread, address, (InetSocketAddress) target.getLocalSocketAddress(), true, new SplittableRandom(1));
        loopThread.start();
        client = new Socket(address.getAddress(), address.getPort());
        server = target.accept();
        client.setSoTimeout(5000);
        server.setSoTimeout(5000);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
        target.close();
        loopThread.close();
    }

    private void setCondition(
            boolean blockedForward, boolean blockedBackward, double delaySeconds, double bytesPerSecond) {
        loopThread.runAndWait(() -> relay.setCondition(
                new LinkCondition(false, blockedForward, blockedBackward, delaySeconds, 0, bytesPerSecond)));
    }

    private static void assertDelivered(Socket from, Socket to, String text) throws IOException {
        from.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        assertArrayEquals(
                text.getBytes(StandardCharsets.US_ASCII), to.getInputStream().readNBytes(text.length()));
    }

    private static void assertNothingArrives(Socket to) throws IOException {
        to.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
        to.setSoTimeout(5000);
    }

    @Test
    void relaysBothDirectionsAndTheCloseOnAClearLink() throws IOException {
        assertDelivered(client, server, "there");
        assertDelivered(server, client, "back");
        server.close();
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void unresponsiveLinkDelaysBytesAndRefusesToConnectUntilRestored() throws IOException {
        setCondition(true, true, 0, 0);
        client.getOutputStream().write("late".getBytes(StandardCharsets.US_ASCII));
        assertNothingArrives(server);
        // the accept queue of the kernel is full: a connection attempt gets no answer
        assertThrows(SocketTimeoutException.class, () -> new Socket().connect(address, 200));
        setCondition(false, false, 0, 0);
        assertArrayEquals(
                "late".getBytes(StandardCharsets.US_ASCII),
                server.getInputStream().readNBytes(4));
        assertDelivered(server, client, "back");
    }

    @Test
    void blockingOneDirectionLeavesTheOtherOpen() throws IOException {
        setCondition(true, false, 0, 0);
        client.getOutputStream().write('x');
        assertNothingArrives(server);
        assertDelivered(server, client, "back");
    }

    @Test
    void resetClosesConnectionsAndRefusesNewOnesUntilCleared() throws IOException {
        loopThread.runAndWait(() -> relay.setCondition(new LinkCondition(true, true, true, 0, 0, 0)));
        assertThrows(SocketException.class, () -> client.getInputStream().read());
        assertThrows(SocketException.class, () -> new Socket(address.getAddress(), address.getPort()).close());
        setCondition(false, false, 0, 0);
        try (Socket next = new Socket(address.getAddress(), address.getPort());
                Socket there = target.accept()) {
            assertDelivered(next, there, "again");
        }
    }

    @Test
    void delayAndRateLimitTakeTheirTimeAndKeepTheOrder() throws IOException {
        setCondition(false, false, 0.15, 0);
        long from = System.nanoTime();
        assertDelivered(client, server, "abcdef");
        assertTrue(System.nanoTime() - from >= 150_000_000);
        setCondition(false, false, 0, 50);
        from = System.nanoTime();
        assertDelivered(client, server, "0123456789");
        assertTrue(System.nanoTime() - from >= 150_000_000, "10 bytes at 50 bytes/s, the first chunk at once");
    }

    @Test
    void connectionIsResetWhenTheTargetIsUnreachable() throws IOException {
        target.close();
        try (Socket next = new Socket(address.getAddress(), address.getPort())) {
            next.setSoTimeout(5000);
            assertThrows(SocketException.class, () -> next.getInputStream().read());
        }
    }
}
