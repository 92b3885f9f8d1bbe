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

/** A way between a socket and an echo: what passes in each state, and what comes after it. */
@Timeout(20)
class LinkRelayTest {
    private LoopThread loopThread;
    private ServerSocket behind;
    private LinkRelay relay;
    private InetSocketAddress at;
    private Socket near;
    private Socket far;

    @BeforeEach
    void open() throws IOException {
        behind = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            at = (InetSocketAddress) free.getLocalSocketAddress();
        }
        loopThread = new LoopThread("way");
        relay = new LinkRelay(
                loopThread, at, (InetSocketAddress) behind.getLocalSocketAddress(), true, new SplittableRandom(1));
        loopThread.start();
        near = new Socket(at.getAddress(), at.getPort());
        far = behind.accept();
        near.setSoTimeout(5000);
        far.setSoTimeout(5000);
    }

    @AfterEach
    void close() throws IOException {
        near.close();
        far.close();
        behind.close();
        loopThread.close();
    }

    private void set(boolean there, boolean back, double late, double pace) {
        loopThread.runAndWait(() -> relay.setCondition(new LinkCondition(false, there, back, late, 0, pace)));
    }

    private static void passes(Socket from, Socket to, String text) throws IOException {
        from.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        assertArrayEquals(
                text.getBytes(StandardCharsets.US_ASCII), to.getInputStream().readNBytes(text.length()));
    }

    private static void nothing(Socket to) throws IOException {
        to.setSoTimeout(100);
        assertThrows(SocketTimeoutException.class, () -> to.getInputStream().read());
        to.setSoTimeout(5000);
    }

    @Test
    void freeItPassesBothWaysAndTellsOfAnEnd() throws IOException {
        passes(near, far, "there");
        passes(far, near, "back");
        far.close();
        assertEquals(-1, near.getInputStream().read());
    }

    @Test
    void silentNothingPassesAndNothingConnectsButWhatWasSentComesInTheEnd() throws IOException {
        set(true, true, 0, 0);
        near.getOutputStream().write("late".getBytes(StandardCharsets.US_ASCII));
        nothing(far);
        // the kernel's queue is plugged: of many that connect, none gets an answer
        assertThrows(SocketTimeoutException.class, () -> new Socket().connect(at, 200));
        set(false, false, 0, 0);
        assertArrayEquals(
                "late".getBytes(StandardCharsets.US_ASCII), far.getInputStream().readNBytes(4));
        passes(far, near, "back");
    }

    @Test
    void oneSidedTheOtherSidePasses() throws IOException {
        set(true, false, 0, 0);
        near.getOutputStream().write('x');
        nothing(far);
        passes(far, near, "back");
    }

    @Test
    void resetEndsWhatIsOpenRefusesWhatComesAndIsOverAgain() throws IOException {
        loopThread.runAndWait(() -> relay.setCondition(new LinkCondition(true, true, true, 0, 0, 0)));
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> new Socket(at.getAddress(), at.getPort()).close());
        set(false, false, 0, 0);
        try (Socket next = new Socket(at.getAddress(), at.getPort());
                Socket there = behind.accept()) {
            passes(next, there, "again");
        }
    }

    @Test
    void lateAndSlowTakeAtLeastTheirTimeAndKeepTheOrder() throws IOException {
        set(false, false, 0.15, 0);
        long from = System.nanoTime();
        passes(near, far, "abcdef");
        assertTrue(System.nanoTime() - from >= 150_000_000);
        set(false, false, 0, 50);
        from = System.nanoTime();
        passes(near, far, "0123456789");
        assertTrue(System.nanoTime() - from >= 150_000_000, "10 bytes at 50 a second, the first at once");
    }

    @Test
    void whatCannotBeReachedBehindItIsReset() throws IOException {
        behind.close();
        try (Socket next = new Socket(at.getAddress(), at.getPort())) {
            next.setSoTimeout(5000);
            assertThrows(SocketException.class, () -> next.getInputStream().read());
        }
    }
}
