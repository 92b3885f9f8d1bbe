package saltdale.nodes.list;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.nodes.client.NodeClient;
import saltdale.nodes.client.NodeClient.State;
import saltdale.nodes.membership.Box;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Fault;
import saltdale.nodes.wire.Paths;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Holds a box's ephemeral node for as long as it runs: made again after each expiry, and never beside one
 * that is there already, whose session must be over first.
 */
public final class Registration implements NodeClient.Owner {
    private static final Duration AGAIN = Duration.ofMillis(200);

    private final EventLoop loop;
    private final NodeClient client;
    private final String path;
    private Box box;
    private boolean held;
    private boolean working;
    private boolean closed;
    private long made;
    private String trouble;

    public Registration(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration timeout,
            SplittableRandom chance,
            String path,
            Box box) {
        this.loop = loop;
        this.path = path;
        this.box = box;
        client = new NodeClient(loop, sockets, servers, timeout, chance, this);
    }

    public void begin() {
        client.begin();
    }

    /** Whether its node is there, by all that is known. */
    public boolean isHeld() {
        return held;
    }

    /** How often it has made its node. */
    public long made() {
        return made;
    }

    /** What keeps it from holding its node; null while nothing does. */
    public String trouble() {
        return trouble;
    }

    public State state() {
        return client.state();
    }

    public long session() {
        return client.session();
    }

    /** What the box says of itself from now on, such as that it drains. */
    public void says(Box next) {
        box = next;
        if (held) {
            write();
        }
    }

    /** Takes the node away and ends the session. */
    public void close(Runnable after) {
        closed = true;
        held = false;
        client.close(after);
    }

    @Override
    public void state(State state) {
        if (state == State.CONNECTED) {
            ensure();
        } else if (state == State.EXPIRED && !closed) {
            held = false; // it went with its session
            client.begin();
        }
    }

    @Override
    public void event(Event event) {
        if (event.path().equals(path) && event.kind() == Event.Kind.DELETED && !closed) {
            held = false;
            ensure();
        }
    }

    private void ensure() {
        if (working || closed || client.state() != State.CONNECTED) {
            return;
        }
        working = true;
        client.create(path, box.data(), true, false, (fault, name) -> {
            working = false;
            switch (fault) {
                case OK -> {
                    made++;
                    holds();
                }
                case NODE_EXISTS -> look();
                case NO_NODE -> parent(Paths.parent(path));
                case CONNECTION_LOSS, SESSION_EXPIRED -> {} // the next state will bring it here again
                default -> fails("its node can't be made: " + fault);
            }
        });
    }

    /**
     * A node is there: ours, if a create was answered into a broken connection; else its session must end
     * first.
     */
    private void look() {
        client.exists(path, true, (fault, stat) -> {
            if (fault == Fault.OK && stat.owner() == client.session()) {
                holds();
                write();
            } else if (fault == Fault.OK) {
                trouble = "another session holds its node"; // its going will be told
            } else if (fault == Fault.NO_NODE) {
                ensure();
            }
        });
    }

    private void holds() {
        held = true;
        trouble = null;
        client.exists(path, true, (fault, stat) -> {
            if (fault == Fault.NO_NODE && !closed) {
                held = false;
                ensure();
            }
        });
    }

    private void write() {
        client.set(path, box.data(), -1, (fault, stat) -> {
            if (fault == Fault.NO_NODE && !closed) {
                held = false;
                ensure();
            }
        });
    }

    private void parent(String parent) {
        client.create(parent, new byte[0], false, false, (fault, name) -> {
            if (fault == Fault.OK || fault == Fault.NODE_EXISTS) {
                ensure();
            } else if (fault == Fault.NO_NODE && !parent.equals("/")) {
                parent(Paths.parent(parent));
            } else if (fault != Fault.CONNECTION_LOSS && fault != Fault.SESSION_EXPIRED) {
                fails(parent + " can't be made: " + fault);
            }
        });
    }

    private void fails(String why) {
        trouble = why;
        loop.schedule(AGAIN, this::ensure);
    }
}
