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
import saltdale.transport.SendProgress;

/** A simulated connection between a proxy and an instance: it delays bytes, delivers them in order, and may fail. */
final class SimulatedConnection implements UpstreamConnection {
    /** The connections of one proxy to one instance. */
    static final class Connections implements UpstreamConnections {
        private final EndToEndModel model;
        private final Environment process;
        private final String instance;
        private final Deque<SimulatedConnection> idle = new ArrayDeque<>();

        Connections(EndToEndModel model, Environment process, String instance) {
            this.model = model;
            this.process = process;
            this.instance = instance;
        }

        @Override
        public UpstreamConnection acquire(String attemptId, Connection.Handler handler) {
            for (SimulatedConnection next = idle.poll(); next != null; next = idle.poll()) {
                if (next.isReusable() && next.ids.add(attemptId)) {
                    next.handler = handler;
                    return next;
                }
                next.close();
            }
            SimulatedConnection connecting = new SimulatedConnection(model, process, instance);
            connecting.handler = handler;
            connecting.ids.add(attemptId);
            connecting.connect();
            return connecting;
        }

        @Override
        public void release(UpstreamConnection connection, Duration maxIdleTime) {
            SimulatedConnection released = (SimulatedConnection) connection;
            released.handler = null;
            idle.addFirst(released);
            released.read();
        }

        void closeIdle() {
            idle.forEach(SimulatedConnection::close);
            idle.clear();
        }
    }

    private final EndToEndModel model;
    private final SimCluster cluster;
    private final Environment process;
    private final RecentAttemptIds ids = new RecentAttemptIds();
    private final ByteArrayOutputStream arrived = new ByteArrayOutputStream(); // not yet read by the proxy
    private final SimulatedInstance.InstanceSide instanceSide;
    private Connection.Handler handler; // null while the connection is idle
    private byte[] unsent = {}; // until the connection is established
    private boolean connected;
    private boolean open = true;
    private boolean ended; // closed by the instance, as known to the proxy's kernel
    private SendProgress sendProgress = SendProgress.WRITTEN;
    private int sentMessages;
    private long toInstanceAt;
    private long toProxyAt;

    private SimulatedConnection(EndToEndModel model, Environment process, String instance) {
        this.model = model;
        this.process = process;
        cluster = model.cluster;
        instanceSide = model.instance(instance).accept(this);
    }

    private void connect() {
        cluster.schedule(
                2 * cluster.randomDelayNanos(),
                () -> cluster.deliver(process, () -> {
                    if (!open) {
                        return;
                    }
                    if (!instanceSide.acceptsConnections() || model.happens(model.connectRefusalProbability)) {
                        open = false;
                        handler.disconnected("not connected: refused");
                        return;
                    }
                    connected = true;
                    handler.opened();
                    write(unsent);
                }));
    }

    // The proxy's side.

    @Override
    public boolean isReused() {
        return sentMessages > 1;
    }

    @Override
    public void send(byte[] head, byte[] body) {
        sentMessages++;
        sendProgress = SendProgress.UNSENT;
        byte[] message = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        if (connected) {
            write(message);
        } else {
            unsent = message;
        }
    }

    private void write(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        if (model.happens(model.partialWriteProbability)) { // the kernel accepts only a part
            byte[] part = Arrays.copyOf(bytes, partLength(bytes.length));
            sendProgress = part.length == 0 ? SendProgress.UNSENT : SendProgress.PARTLY_WRITTEN;
            deliverToInstance(() -> instanceSide.received(part));
            if (model.happens(0.7)) { // else the instance reads no further, and the connection stays open
                deliverToInstance(() -> instanceSide.abort(false));
            }
            return;
        }
        sendProgress = SendProgress.WRITTEN;
        if (model.happens(model.stallProbability)) {
            toInstanceAt =
                    Math.max(toInstanceAt, cluster.now()) + cluster.random().nextLong(4_000_000_000L);
        }
        deliverToInstance(() -> instanceSide.received(bytes));
    }

    /** Draws how much of a message the kernel accepts; often the whole head and only a part of the body is missing. */
    private int partLength(int messageLength) {
        int missing = cluster.random().nextBoolean() ? EndToEndModel.MAX_BODY_BYTES : messageLength;
        return messageLength - 1 - cluster.random().nextInt(Math.min(messageLength, missing));
    }

    @Override
    public SendProgress sendProgress() {
        return sendProgress;
    }

    private boolean isReusable() {
        return open && !ended && arrived.size() == 0;
    }

    @Override
    public void close() {
        if (open) {
            open = false;
            deliverToInstance(instanceSide::closed);
        }
    }

    /** Delivers in order: bytes written before the close arrive before it. */
    private void deliverToInstance(Runnable action) {
        toInstanceAt = Math.max(toInstanceAt, cluster.now() + cluster.randomDelayNanos());
        cluster.schedule(toInstanceAt - cluster.now(), action);
    }

    private void read() {
        if (open && handler == null && !isReusable()) {
            close(); // received without a request
        }
        if (open && arrived.size() > 0) {
            byte[] bytes = arrived.toByteArray();
            arrived.reset();
            handler.received(ByteBuffer.wrap(bytes));
        }
        if (open && ended && handler != null) {
            open = false;
            handler.disconnected("reset");
        }
    }

    // The instance's side.

    void sendToProxy(byte[] bytes) {
        deliverToProxy(() -> arrived.writeBytes(bytes));
    }

    /** Closes the connection; with {@code losesData}, bytes that the proxy has not read yet are lost. */
    void closeByInstance(boolean losesData) {
        deliverToProxy(() -> {
            ended = true;
            if (losesData) {
                arrived.reset();
            }
        });
    }

    private void deliverToProxy(Runnable action) {
        toProxyAt = Math.max(toProxyAt, cluster.now() + cluster.randomDelayNanos());
        cluster.schedule(toProxyAt - cluster.now(), () -> {
            action.run();
            cluster.deliver(process, this::read);
        });
    }
}
