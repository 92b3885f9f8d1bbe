package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
        return new PeerConnections(loop, new SocketBudget(loop, 16), host, port, Duration.ofSeconds(30), handler);
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
}
