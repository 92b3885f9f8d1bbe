package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.control.message.BallotMessage.Fetch;
import saltdale.control.message.Message;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** Connections between processes: what one message, or one peer, may not do to the others. */
@Timeout(20)
class PeerConnectionsTest {
    private static final String SENDER = "127.0.0.31";
    private static final String RECEIVER = "127.0.0.32";
    private static final String SILENT = "127.0.0.4"; // and a digit
    private static final long MAX_UNSENT_BYTES = 20 << 20;
    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());

    private final List<String> received = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private EventLoop loop;
    private int port;

    @BeforeEach
    void start() throws IOException {
        LOG.setLevel(Level.OFF); // hides the stack trace of the expected exception
        loop = new EventLoop();
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(SENDER))) {
            port = probe.getLocalPort();
        }
    }

    private PeerConnections peer(String host) throws IOException {
        PeerConnections.MessageHandler handler = new PeerConnections.MessageHandler() {
            @Override
            public void handleMessage(String fromHost, Message message) {
                if (((Fetch) message).knownText().equals("failing")) {
                    throw new IllegalStateException("a fault of the test");
                }
                received.add(((Fetch) message).knownText());
            }

            @Override
            public void connectionLost(String to) {
                lost.add(to);
            }
        };
        return new PeerConnections(
                loop, new SocketBudget(loop, 16), host, port, Duration.ofSeconds(30), MAX_UNSENT_BYTES, handler);
    }

    private void runUntil(BooleanSupplier condition) throws IOException {
        while (!condition.getAsBoolean()) {
            loop.schedule(Duration.ofMillis(2), () -> {});
            loop.runOnce(() -> {});
        }
    }

    /** Guards against a message whose handling fails and that takes the connection and those behind it along. */
    @Test
    void failingMessageDoesNotAffectThoseBehindIt() throws IOException {
        PeerConnections sender = peer(SENDER);
        peer(RECEIVER);
        sender.send(RECEIVER, new Fetch("failing"));
        sender.send(RECEIVER, new Fetch("next"));
        runUntil(() -> !received.isEmpty() || !lost.isEmpty());
        assertThat(received, is(List.of("next")));
        assertThat(loop.failureCount(), is(1L));
    }

    /** Guards against a peer that stands still with its connection up: its messages used up the heap. */
    @Test
    void messagesToAPeerThatDoesNotReadAreDropped() throws IOException {
        PeerConnections sender = peer(SENDER);
        int messages = 300;
        String text = incompressibleText();
        try (ServerSocket silent = new ServerSocket(port, 1, InetAddress.getByName(RECEIVER))) {
            sender.send(RECEIVER, new Fetch("first"));
            runUntil(() -> sender.unsentBytes(RECEIVER) == 0);
            for (int i = 0; i < messages; i++) {
                sender.send(RECEIVER, new Fetch(text));
            }
            assertThat(sender.unsentBytes(RECEIVER), is(lessThan(10L << 20)));
        }
    }

    private static String incompressibleText() {
        return new Random(1)
                .ints(1 << 18, 'a', 'z')
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
    }

    /** Guards against many peers that stand still: what waits for all of them together was not bounded. */
    @Test
    void largeMessagesToManyPeersThatDoNotReadAreDropped() throws IOException {
        PeerConnections sender = peer(SENDER);
        String text = incompressibleText();
        List<ServerSocket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 5; i++) {
                silent.add(new ServerSocket(port, 1, InetAddress.getByName(SILENT + i)));
                sender.send(SILENT + i, new Fetch("first"));
            }
            runUntil(() -> sender.totalUnsentBytes() == 0);
            for (int i = 0; i < 300; i++) {
                sender.send(SILENT + i % 5, new Fetch(text));
            }
            assertThat(sender.totalUnsentBytes(), is(lessThan(MAX_UNSENT_BYTES)));
            long before = sender.totalUnsentBytes();
            sender.send(SILENT + 0, new Fetch("small"));
            assertThat("small messages are sent", sender.totalUnsentBytes(), is(greaterThan(before)));
        } finally {
            for (ServerSocket each : silent) {
                each.close();
            }
        }
    }
}
