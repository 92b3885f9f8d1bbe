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
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Fault;
import saltdale.nodes.wire.Paths;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Reads the boxes' nodes below one path and follows them: what Membership decides of it is handed on as it
 * comes.
 */
public final class NodeList implements NodeClient.Owner {
    private static final Logger LOG = Logger.getLogger(NodeList.class.getName());
    private static final int READS_IN_FLIGHT = 32;
    private static final Duration TICK = Duration.ofMillis(100);

    private final EventLoop loop;
    private final NodeClient client;
    private final Membership membership;
    private final String path;
    private final SplittableRandom chance;
    private final Duration spread;
    private final Consumer<List<Membership.Change>> taker;
    private ReadPlan plan;
    private Map<String, byte[]> pass;
    /** Counts the passes: what an earlier one still gets is not of this one. */
    private int passNumber;

    private long reads;

    /** {@code spread}: over which dispatchers begin to read again after a reconnect. */
    public NodeList(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration timeout,
            Duration spread,
            String path,
            SplittableRandom chance,
            Consumer<List<Membership.Change>> taker) {
        this.loop = loop;
        this.path = path;
        this.chance = chance;
        this.spread = spread;
        this.taker = taker;
        membership = new Membership(Membership.Rules.of(timeout));
        client = new NodeClient(loop, sockets, servers, timeout, chance.split(), this);
    }

    public void begin() {
        client.begin();
        tick();
    }

    public void close(Runnable after) {
        client.close(after);
    }

    public Membership membership() {
        return membership;
    }

    /** Reads that were sent to the service. */
    public long reads() {
        return reads;
    }

    private void tick() {
        loop.schedule(TICK, () -> {
            membership.tick(loop.now());
            hand();
            if (client.state() != NodeClient.State.CLOSED) {
                tick();
            }
        });
    }

    private void hand() {
        List<Membership.Change> changes = membership.changes();
        if (!changes.isEmpty()) {
            taker.accept(changes);
        }
    }

    @Override
    public void state(NodeClient.State state) {
        switch (state) {
            case CONNECTED -> {
                membership.link(loop.now(), Membership.Link.CONNECTED);
                follow();
            }
            case SUSPENDED -> {
                membership.link(loop.now(), Membership.Link.SUSPENDED);
                plan = null;
            }
            case EXPIRED -> {
                membership.link(loop.now(), Membership.Link.EXPIRED);
                plan = null;
                client.begin();
            }
            default -> {}
        }
    }

    /** The watch first, so that nothing falls between the reading and it; then one pass over all nodes. */
    private void follow() {
        int mine = ++passNumber;
        // The first time there is nothing to go by, and nothing that all have lost at one moment.
        Duration wait = reads == 0 ? Duration.ZERO : Duration.ofNanos((long) (spread.toNanos() * chance.nextDouble()));
        client.watch(path, true, (watched, nothing) -> {
            if (watched == Fault.OK) {
                loop.schedule(wait, () -> list(mine));
            }
        });
    }

    private void list(int mine) {
        if (mine != passNumber || client.state() != NodeClient.State.CONNECTED) {
            return;
        }
        reads++;
        client.children(path, false, (fault, names) -> {
            if (mine != passNumber) {
                return;
            }
            if (fault == Fault.NO_NODE) {
                loop.schedule(TICK.multipliedBy(5), () -> list(mine)); // nobody has made it yet
            } else if (fault == Fault.OK) {
                pass = new HashMap<>();
                plan = new ReadPlan(READS_IN_FLIGHT);
                plan.add(names);
                read(mine);
            }
        });
    }

    private void read(int mine) {
        if (mine != passNumber || plan == null) {
            return;
        }
        for (String name = plan.next(); name != null; name = plan.next()) {
            String node = name;
            reads++;
            client.data(Paths.child(path, node), false, (fault, data) -> {
                if (mine != passNumber || plan == null) {
                    return;
                }
                plan.read(node);
                if (fault == Fault.OK) {
                    pass.put(node, data.data());
                }
                read(mine);
            });
        }
        if (plan != null && plan.isOver()) {
            plan = null;
            membership.whole(loop.now(), pass);
            pass = null;
            hand();
        }
    }

    @Override
    public void event(Event event) {
        if (!Paths.parent(event.path()).equals(path)) {
            return;
        }
        String name = Paths.name(event.path());
        if (event.kind() == Event.Kind.DELETED) {
            if (pass != null) {
                pass.remove(name);
            }
            membership.vanished(loop.now(), name);
            hand();
        } else if (event.kind() == Event.Kind.CREATED || event.kind() == Event.Kind.DATA_CHANGED) {
            reads++;
            client.data(event.path(), false, (fault, data) -> {
                if (fault == Fault.OK) {
                    if (pass != null) {
                        pass.put(name, data.data());
                    }
                    if (!membership.seen(loop.now(), name, data.data()) && membership.worthLogging(name, data.data())) {
                        LOG.warning(() -> "node " + event.path() + " holds no box; what was known of it stands");
                    }
                    hand();
                }
            });
        }
    }
}
