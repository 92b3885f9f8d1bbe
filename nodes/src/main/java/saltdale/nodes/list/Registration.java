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
 * Keeps a runner's ephemeral node in existence while the runner runs. The node is created again after each
 * session expiry, but never while another session's node exists at the path: that session must end first.
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

    /** Creates a registration of {@code info} at {@code path}; {@link #start} connects it. */
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

    /** Connects to the service; the node is created once the session is established. */
    public void start() {
        client.start();
    }

    /** Whether the node exists, as far as is known. */
    public boolean isHeld() {
        return held;
    }

    /** How many times the node has been created. */
    public long creations() {
        return creations;
    }

    /** Why the node is not held; null if nothing prevents it. */
    public String failureReason() {
        return failureReason;
    }

    /** State of the session. */
    public State state() {
        return client.state();
    }

    /** Id of the session that owns the node; 0 before the first one. */
    public long session() {
        return client.session();
    }

    /** Replaces the data that is published in the node, for example to mark the runner as draining. */
    public void update(RunnerInfo updated) {
        info = updated;
        if (held) {
            writeData();
        }
    }

    /** Deletes the node and ends the session. */
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
            held = false; // the ephemeral node was deleted with its session
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
                case CONNECTION_LOSS, SESSION_EXPIRED -> {} // retried on the next change of state
                default -> retryAfter("cannot create the node: " + error);
            }
        });
    }

    /**
     * Handles an existing node: it is our own if the reply to a create was lost with its connection;
     * otherwise the session that owns it must end first.
     */
    private void inspectExisting() {
        client.exists(path, true, (error, stat) -> {
            if (error == ErrorCode.OK && stat.ephemeralOwner() == client.session()) {
                nodeHeld();
                writeData();
            } else if (error == ErrorCode.OK) {
                failureReason = "the node is owned by another session"; // the watch reports its deletion
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
                retryAfter(parent + ": cannot create this parent node: " + error);
            }
        });
    }

    private void retryAfter(String reason) {
        failureReason = reason;
        loop.schedule(RETRY_DELAY, this::createNode);
    }
}
