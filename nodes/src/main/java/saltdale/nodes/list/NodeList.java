package saltdale.nodes.list;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.logging.Logger;
import saltdale.nodes.client.NodeClient;
import saltdale.nodes.membership.Membership;
import saltdale.nodes.membership.ReadPlan;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Paths;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Maintains a {@link Membership} from the runners' nodes below one path, and passes each change of it to a
 * listener as soon as it happens.
 */
public final class NodeList implements NodeClient.Listener {
    private static final Logger LOG = Logger.getLogger(NodeList.class.getName());
    private static final int READS_IN_FLIGHT = 32;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final EventLoop loop;
    private final NodeClient client;
    private final Membership membership;
    private final String path;
    private final SplittableRandom random;
    private final Duration reconnectSpread;
    private final Consumer<List<Membership.Change>> changeListener;
    private ReadPlan readPlan;
    private Map<String, byte[]> readPass;
    /** Number of the current read pass; replies that belong to an earlier pass are ignored. */
    private int passNumber;

    private long reads;

    /**
     * {@code reconnectSpread}: interval over which dispatchers spread the start of their read pass after a
     * reconnect.
     */
    public NodeList(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration timeout,
            Duration reconnectSpread,
            String path,
            SplittableRandom random,
            Consumer<List<Membership.Change>> changeListener) {
        this.loop = loop;
        this.path = path;
        this.random = random;
        this.reconnectSpread = reconnectSpread;
        this.changeListener = changeListener;
        membership = new Membership(Membership.Rules.of(timeout));
        client = new NodeClient(loop, sockets, servers, timeout, random.split(), this);
    }

    /** Connects to the service and starts the periodic tick of the membership. */
    public void start() {
        client.start();
        tick();
    }

    /** Closes the session and then calls {@code after}. */
    public void close(Runnable after) {
        client.close(after);
    }

    /** The membership as derived from the nodes read so far. */
    public Membership membership() {
        return membership;
    }

    /** Number of read requests sent to the service. */
    public long reads() {
        return reads;
    }

    private void tick() {
        loop.schedule(TICK_INTERVAL, () -> {
            membership.tick(loop.now());
            publishChanges();
            if (client.state() != NodeClient.State.CLOSED) {
                tick();
            }
        });
    }

    private void publishChanges() {
        List<Membership.Change> changes = membership.changes();
        if (!changes.isEmpty()) {
            changeListener.accept(changes);
        }
    }

    @Override
    public void stateChanged(NodeClient.State state) {
        switch (state) {
            case CONNECTED -> {
                membership.linkChanged(loop.now(), Membership.Link.CONNECTED);
                watchAndRead();
            }
            case SUSPENDED -> {
                membership.linkChanged(loop.now(), Membership.Link.SUSPENDED);
                readPlan = null;
            }
            case EXPIRED -> {
                membership.linkChanged(loop.now(), Membership.Link.EXPIRED);
                readPlan = null;
                client.start();
            }
            default -> {}
        }
    }

    /**
     * Sets the watch before reading, so that no change is missed in between; then reads all nodes in one
     * pass.
     */
    private void watchAndRead() {
        int number = ++passNumber;
        // The first pass starts at once: there is no list to work with yet, and no simultaneous reconnect
        // to spread.
        Duration delay =
                reads == 0 ? Duration.ZERO : Duration.ofNanos((long) (reconnectSpread.toNanos() * random.nextDouble()));
        client.watch(path, true, (watched, nothing) -> {
            if (watched == ErrorCode.OK) {
                loop.schedule(delay, () -> listChildren(number));
            }
        });
    }

    private void listChildren(int number) {
        if (number != passNumber || client.state() != NodeClient.State.CONNECTED) {
            return;
        }
        reads++;
        client.children(path, false, (error, names) -> {
            if (number != passNumber) {
                return;
            }
            if (error == ErrorCode.NO_NODE) {
                // The parent node has not been created yet.
                loop.schedule(TICK_INTERVAL.multipliedBy(5), () -> listChildren(number));
            } else if (error == ErrorCode.OK) {
                readPass = new HashMap<>();
                readPlan = new ReadPlan(READS_IN_FLIGHT);
                readPlan.add(names);
                readPending(number);
            }
        });
    }

    private void readPending(int number) {
        if (number != passNumber || readPlan == null) {
            return;
        }
        for (String name = readPlan.next(); name != null; name = readPlan.next()) {
            String node = name;
            reads++;
            client.data(Paths.child(path, node), false, (error, data) -> {
                if (number != passNumber || readPlan == null) {
                    return;
                }
                readPlan.completed(node);
                if (error == ErrorCode.OK) {
                    readPass.put(node, data.data());
                }
                readPending(number);
            });
        }
        if (readPlan != null && readPlan.isOver()) {
            readPlan = null;
            membership.replaceAll(loop.now(), readPass);
            readPass = null;
            publishChanges();
        }
    }

    @Override
    public void event(Event event) {
        if (!Paths.parent(event.path()).equals(path)) {
            return;
        }
        String name = Paths.name(event.path());
        if (event.kind() == Event.Kind.DELETED) {
            if (readPass != null) {
                readPass.remove(name);
            }
            membership.nodeDeleted(loop.now(), name);
            publishChanges();
        } else if (event.kind() == Event.Kind.CREATED || event.kind() == Event.Kind.DATA_CHANGED) {
            reads++;
            client.data(event.path(), false, (error, data) -> {
                if (error == ErrorCode.OK) {
                    if (readPass != null) {
                        readPass.put(name, data.data());
                    }
                    if (!membership.nodeRead(loop.now(), name, data.data())
                            && membership.isNewBadData(name, data.data())) {
                        LOG.warning(() -> "node " + event.path()
                                + " does not contain valid runner data; the last valid data remains in effect");
                    }
                    publishChanges();
                }
            });
        }
    }
}
