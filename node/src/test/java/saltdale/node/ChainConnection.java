package saltdale.node;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import saltdale.control.Environment;
import saltdale.proxy.SimCluster;
import saltdale.transport.Connection;

/** A connection between a proxy and an instance as a byte pipe that keeps order, breaks and delays. */
final class ChainConnection implements UpstreamConnection {
    /** The connections of one proxy to one instance. */
    static final class Connections implements UpstreamConnections {
        private final ChainModel model;
        private final Environment process;
        private final String instance;
        private final Deque<ChainConnection> resting = new ArrayDeque<>();

        Connections(ChainModel model, Environment process, String instance) {
            this.model = model;
            this.process = process;
            this.instance = instance;
        }

        @Override
        public UpstreamConnection take(String attemptId, Connection.Handler owner) {
            for (ChainConnection next = resting.poll(); next != null; next = resting.poll()) {
                if (next.isQuiet() && next.ids.add(attemptId)) {
                    next.owner = owner;
                    return next;
                }
                next.close();
            }
            ChainConnection dialled = new ChainConnection(model, process, instance);
            dialled.owner = owner;
            dialled.ids.add(attemptId);
            dialled.dial();
            return dialled;
        }

        @Override
        public void rest(UpstreamConnection connection, Duration limit) {
            ChainConnection rests = (ChainConnection) connection;
            rests.owner = null;
            resting.addFirst(rests);
            rests.read();
        }

        void closeIdle() {
            resting.forEach(ChainConnection::close);
            resting.clear();
        }
    }

    private final ChainModel model;
    private final SimCluster cluster;
    private final Environment process;
    private final CarriedIds ids = new CarriedIds();
    private final ByteArrayOutputStream arrived = new ByteArrayOutputStream(); // and not yet read by the proxy
    private final ChainInstance.Side instanceSide;
    private Connection.Handler owner; // null: it rests
    private byte[] unsent = {}; // until it is connected
    private boolean connected;
    private boolean open = true;
    private boolean ended; // by the instance, as the proxy's kernel knows
    private boolean written = true;
    private int messages;
    private long toInstanceAt;
    private long toProxyAt;

    private ChainConnection(ChainModel model, Environment process, String instance) {
        this.model = model;
        this.process = process;
        cluster = model.cluster;
        instanceSide = model.instance(instance).accept(this);
    }

    private void dial() {
        cluster.schedule(
                2 * cluster.randomDelayNanos(),
                () -> cluster.deliver(process, () -> {
                    if (!open) {
                        return;
                    }
                    if (!instanceSide.takesConnections() || model.happens(model.refusesConnections)) {
                        open = false;
                        owner.disconnected("not connected: refused");
                        return;
                    }
                    connected = true;
                    owner.opened();
                    write(unsent);
                }));
    }

    // The proxy's side.

    @Override
    public boolean isReused() {
        return messages > 1;
    }

    @Override
    public void send(byte[] head, byte[] body) {
        messages++;
        written = false;
        byte[] whole = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        if (connected) {
            write(whole);
        } else {
            unsent = whole;
        }
    }

    private void write(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        if (model.happens(model.partialWrites)) { // the kernel takes a part, then the connection breaks
            byte[] part = Arrays.copyOf(bytes, cluster.random().nextInt(bytes.length));
            toInstance(() -> instanceSide.received(part));
            toInstance(() -> instanceSide.breakOff(false));
            return;
        }
        written = true;
        if (model.happens(model.stalls)) {
            toInstanceAt =
                    Math.max(toInstanceAt, cluster.now()) + cluster.random().nextLong(4_000_000_000L);
        }
        toInstance(() -> instanceSide.received(bytes));
    }

    @Override
    public boolean isWritten() {
        return written;
    }

    private boolean isQuiet() {
        return open && !ended && arrived.size() == 0;
    }

    @Override
    public void close() {
        if (open) {
            open = false;
            toInstance(instanceSide::closed);
        }
    }

    /** In order: what was written before the end is there before it. */
    private void toInstance(Runnable what) {
        toInstanceAt = Math.max(toInstanceAt, cluster.now() + cluster.randomDelayNanos());
        cluster.schedule(toInstanceAt - cluster.now(), what);
    }

    private void read() {
        if (open && owner == null && !isQuiet()) {
            close(); // nobody asked for it
        }
        if (open && arrived.size() > 0) {
            byte[] bytes = arrived.toByteArray();
            arrived.reset();
            owner.received(ByteBuffer.wrap(bytes));
        }
        if (open && ended && owner != null) {
            open = false;
            owner.disconnected("reset");
        }
    }

    // The instance's side.

    void answer(byte[] bytes) {
        toProxy(() -> arrived.writeBytes(bytes));
    }

    /** It ends; what came before may be lost with it. */
    void end(boolean losesWhatCame) {
        toProxy(() -> {
            ended = true;
            if (losesWhatCame) {
                arrived.reset();
            }
        });
    }

    private void toProxy(Runnable what) {
        toProxyAt = Math.max(toProxyAt, cluster.now() + cluster.randomDelayNanos());
        cluster.schedule(toProxyAt - cluster.now(), () -> {
            what.run();
            cluster.deliver(process, this::read);
        });
    }
}
