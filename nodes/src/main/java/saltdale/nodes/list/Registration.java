package saltdale.nodes.list;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.nodes.client.NodeClient;
import saltdale.nodes.client.NodeClient.State;
import saltdale.nodes.membership.RunnerInfo;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Paths;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Holds a info's ephemeral node for as long as it runs: made again after each expiry, and never beside one
 * that is there already, whose session must be over first.
 */
public final class Registration implements NodeClient.Listener {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final EventLoop loop;
    private final NodeClient client;
    private final String path;
    private RunnerInfo info;
    private boolean held;
    private boolean creating;
    private boolean closed;
    private long creations;
    private String failureReason;

    public Registration(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration timeout,
            SplittableRandom random,
            String path,
            RunnerInfo info) {
        this.loop = loop;
        this.path = path;
        this.info = info;
        client = new NodeClient(loop, sockets, servers, timeout, random, this);
    }

    public void start() {
        client.start();
    }

    /** Whether its node is there, by all that is known. */
    public boolean isHeld() {
        return held;
    }

    /** How often it has made its node. */
    public long creations() {
        return creations;
    }

    /** What keeps it from holding its node; null while nothing does. */
    public String failureReason() {
        return failureReason;
    }

    public State state() {
        return client.state();
    }

    public long session() {
        return client.session();
    }

    /** What the info says of itself from now on, such as that it drains. */
    public void update(RunnerInfo updated) {
        info = updated;
        if (held) {
            writeData();
        }
    }

    /** Takes the node away and ends the session. */
    public void close(Runnable after) {
        closed = true;
        held = false;
        client.close(after);
    }

    @Override
    public void stateChanged(State state) {
        if (state == State.CONNECTED) {
            createNode();
        } else if (state == State.EXPIRED && !closed) {
            held = false; // it went with its session
            client.start();
        }
    }

    @Override
    public void event(Event event) {
        if (event.path().equals(path) && event.kind() == Event.Kind.DELETED && !closed) {
            held = false;
            createNode();
        }
    }

    private void createNode() {
        if (creating || closed || client.state() != State.CONNECTED) {
            return;
        }
        creating = true;
        client.create(path, info.data(), true, false, (error, name) -> {
            creating = false;
            switch (error) {
                case OK -> {
                    creations++;
                    nodeHeld();
                }
                case NODE_EXISTS -> inspectExisting();
                case NO_NODE -> createParent(Paths.parent(path));
                case CONNECTION_LOSS, SESSION_EXPIRED -> {} // the updated state will bring it here again
                default -> retryAfter("its node can't be made: " + error);
            }
        });
    }

    /**
     * A node is there: ours, if a create was answered into a broken connection; else its session must end
     * first.
     */
    private void inspectExisting() {
        client.exists(path, true, (error, stat) -> {
            if (error == ErrorCode.OK && stat.owner() == client.session()) {
                nodeHeld();
                writeData();
            } else if (error == ErrorCode.OK) {
                failureReason = "another session holds its node"; // its going will be told
            } else if (error == ErrorCode.NO_NODE) {
                createNode();
            }
        });
    }

    private void nodeHeld() {
        held = true;
        failureReason = null;
        client.exists(path, true, (error, stat) -> {
            if (error == ErrorCode.NO_NODE && !closed) {
                held = false;
                createNode();
            }
        });
    }

    private void writeData() {
        client.set(path, info.data(), -1, (error, stat) -> {
            if (error == ErrorCode.NO_NODE && !closed) {
                held = false;
                createNode();
            }
        });
    }

    private void createParent(String parent) {
        client.create(parent, new byte[0], false, false, (error, name) -> {
            if (error == ErrorCode.OK || error == ErrorCode.NODE_EXISTS) {
                createNode();
            } else if (error == ErrorCode.NO_NODE && !parent.equals("/")) {
                createParent(Paths.parent(parent));
            } else if (error != ErrorCode.CONNECTION_LOSS && error != ErrorCode.SESSION_EXPIRED) {
                retryAfter(parent + " can't be made: " + error);
            }
        });
    }

    private void retryAfter(String why) {
        failureReason = why;
        loop.schedule(RETRY_DELAY, this::createNode);
    }
}
