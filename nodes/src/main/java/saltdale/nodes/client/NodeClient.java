package saltdale.nodes.client;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import saltdale.nodes.wire.ConnectHandshake;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.FrameDecoder;
import saltdale.nodes.wire.MalformedRecordException;
import saltdale.nodes.wire.Op;
import saltdale.nodes.wire.RecordReader;
import saltdale.nodes.wire.RecordWriter;
import saltdale.nodes.wire.SetWatchesRequest;
import saltdale.nodes.wire.Stat;
import saltdale.transport.Connection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;
import saltdale.transport.Timer;

/**
 * A client session with a ZooKeeper service, on the project's event loop: it has no thread of its own, and no
 * method blocks. Replies arrive strictly in the order of the requests. A request whose connection is lost
 * completes with CONNECTION_LOSS; it may have been applied or not.
 */
public final class NodeClient {
    /** State of the session; SUSPENDED: disconnected, while the session may still be alive. */
    public enum State {
        CONNECTING,
        CONNECTED,
        SUSPENDED,
        EXPIRED,
        CLOSED
    }

    /** Receives changes of the session's state, and watch events. */
    public interface Listener {
        void stateChanged(State state);

        void event(Event event);
    }

    /** Receives the result of a request; the value is null if the error is not OK. */
    public interface Callback<T> {
        void done(ErrorCode error, T value);
    }

    /** The data of a node and its stat. */
    public record Data(byte[] data, Stat stat) {}

    private interface Decoder<T> {
        T read(RecordReader in) throws MalformedRecordException;
    }

    private record Call<T>(int xid, Callback<T> callback, Decoder<T> decoder) {
        void complete(ErrorCode error, RecordReader in) throws MalformedRecordException {
            callback.done(error, error == ErrorCode.OK ? decoder.read(in) : null);
        }

        void connectionLost() {
            callback.done(ErrorCode.CONNECTION_LOSS, null);
        }
    }

    private static final int MAX_RECORD_BYTES = 4 << 20;
    private static final Duration MIN_RECONNECT_DELAY = Duration.ofMillis(20);
    private static final int ALL_PERMISSIONS = 31;

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final List<InetSocketAddress> servers;
    private final SplittableRandom random;
    private final Listener listener;
    private final Duration requestedTimeout;
    private final Deque<Call<?>> pendingCalls = new ArrayDeque<>();
    private final Set<String> dataWatches = new TreeSet<>();
    private final Set<String> existsWatches = new TreeSet<>();
    private final Set<String> childWatches = new TreeSet<>();
    private final Set<String> persistentWatches = new TreeSet<>();
    private final Set<String> recursiveWatches = new TreeSet<>();
    private State state = State.CONNECTING;
    private Link link;
    private int nextServer;
    private int failures;
    private long session;
    private byte[] password = new byte[16];
    private Duration timeout;
    private long lastZxid;
    private int nextXid = 1;
    private Timer reconnectTimer;

    /**
     * {@code requestedTimeout}: the session time-out to request; the one that the server grants takes effect.
     */
    public NodeClient(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration requestedTimeout,
            SplittableRandom random,
            Listener listener) {
        this.loop = loop;
        this.sockets = sockets;
        this.requestedTimeout = requestedTimeout;
        this.timeout = requestedTimeout;
        this.random = random;
        this.listener = listener;
        this.servers = new ArrayList<>(servers);
        for (int i = this.servers.size() - 1;
                i > 0;
                i--) { // shuffled, so that not all clients connect to the first server
            Collections.swap(this.servers, i, random.nextInt(i + 1));
        }
    }

    /** State of the session. */
    public State state() {
        return state;
    }

    /** Id of the session; 0 before the first one is established. */
    public long session() {
        return session;
    }

    /** The session time-out as granted, or as requested until then. */
    public Duration timeout() {
        return timeout;
    }

    /** Connects to the service; after the session has expired, starts a new one. */
    public void start() {
        if (state == State.EXPIRED) {
            session = 0;
            password = new byte[16];
            clearWatches();
            state = State.CONNECTING;
        }
        connect();
    }

    private void clearWatches() {
        for (Set<String> each :
                List.of(dataWatches, existsWatches, childWatches, persistentWatches, recursiveWatches)) {
            each.clear();
        }
    }

    private void connect() {
        if (state == State.CLOSED || state == State.EXPIRED || link != null) {
            return;
        }
        link = new Link();
        InetSocketAddress to = servers.get(nextServer++ % servers.size());
        link.connection = Connection.connect(loop, sockets, to, timeout.dividedBy(3), link);
        if (link.connection == null) {
            link = null;
            scheduleReconnect();
            return;
        }
        link.connection.send(
                new ConnectHandshake.Request(lastZxid, (int) requestedTimeout.toMillis(), session, password, false)
                        .write()
                        .framed());
        link.resetReadTimeout();
    }

    /**
     * The delay grows with each round over all servers, and is randomized, so that clients do not reconnect
     * all at once.
     */
    private void scheduleReconnect() {
        failures++;
        long maxDelay = MIN_RECONNECT_DELAY.toNanos() << Math.min(8, failures / servers.size());
        long delay = Math.min(maxDelay, timeout.toNanos() / 3);
        reconnectTimer =
                loop.schedule(Duration.ofNanos((long) (delay * (0.5 + random.nextDouble() / 2))), this::connect);
    }

    private void changeState(State next) {
        if (state != next) {
            state = next;
            listener.stateChanged(next);
        }
    }

    /** Abandons a failed connection; requests that were sent on it may have been applied. */
    private void connectionLost(Link failed) {
        if (link != failed) {
            return;
        }
        link = null;
        failed.end();
        List<Call<?>> lost = List.copyOf(pendingCalls);
        pendingCalls.clear();
        if (state == State.CONNECTED) {
            changeState(State.SUSPENDED);
        }
        lost.forEach(Call::connectionLost);
        if (state != State.CLOSED && state != State.EXPIRED) {
            scheduleReconnect();
        }
    }

    /**
     * Ends the session, which deletes its ephemeral nodes. {@code whenClosed} is called once the service has
     * confirmed it, or cannot be reached.
     */
    public void close(Runnable whenClosed) {
        if (state != State.CONNECTED) {
            releaseConnection();
            whenClosed.run();
            return;
        }
        send(Op.CLOSE, new RecordWriter(), in -> null, (error, nothing) -> {
            releaseConnection();
            whenClosed.run();
        });
    }

    private void releaseConnection() {
        changeState(State.CLOSED);
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
        }
        if (link != null) {
            link.end();
            link = null;
        }
    }

    // ---- Requests.

    /** Creates a node, readable and writable by everyone; the result is its path. */
    public void create(String path, byte[] data, boolean ephemeral, boolean sequential, Callback<String> callback) {
        RecordWriter body = new RecordWriter()
                .writeString(path)
                .writeBuffer(data)
                .writeInt(1)
                .writeInt(ALL_PERMISSIONS)
                .writeString("world")
                .writeString("anyone")
                .writeInt((ephemeral ? 1 : 0) | (sequential ? 2 : 0));
        send(Op.CREATE, body, RecordReader::readString, callback);
    }

    /** Deletes a node if it has this version; -1 matches any version. */
    public void delete(String path, int version, Callback<Void> callback) {
        send(Op.DELETE, new RecordWriter().writeString(path).writeInt(version), in -> null, callback);
    }

    /** Sets the data of a node if it has this version; -1 matches any version. */
    public void set(String path, byte[] data, int version, Callback<Stat> callback) {
        send(
                Op.SET_DATA,
                new RecordWriter().writeString(path).writeBuffer(data).writeInt(version),
                Stat::read,
                callback);
    }

    /** Reads the stat of a node; a watch fires once on its creation, data change or deletion. */
    public void exists(String path, boolean watch, Callback<Stat> callback) {
        send(Op.EXISTS, new RecordWriter().writeString(path).writeBoolean(watch), Stat::read, (error, stat) -> {
            if (watch && (error == ErrorCode.OK || error == ErrorCode.NO_NODE)) {
                (error == ErrorCode.OK ? dataWatches : existsWatches).add(path);
            }
            callback.done(error, stat);
        });
    }

    /** Reads the data of a node; a watch fires once on its data change or deletion. */
    public void data(String path, boolean watch, Callback<Data> callback) {
        send(
                Op.GET_DATA,
                new RecordWriter().writeString(path).writeBoolean(watch),
                in -> new Data(in.readBuffer(), Stat.read(in)),
                registeringWatch(watch ? dataWatches : null, path, callback));
    }

    /** Reads the names of the children; a watch fires once on a change of the list or deletion. */
    public void children(String path, boolean watch, Callback<List<String>> callback) {
        send(
                Op.GET_CHILDREN,
                new RecordWriter().writeString(path).writeBoolean(watch),
                RecordReader::readStrings,
                registeringWatch(watch ? childWatches : null, path, callback));
    }

    private static <T> Callback<T> registeringWatch(Set<String> to, String path, Callback<T> callback) {
        return (error, value) -> {
            if (to != null && error == ErrorCode.OK) {
                to.add(path);
            }
            callback.done(error, value);
        };
    }

    /** Sets a persistent watch; a recursive one covers all descendants too. */
    public void watch(String path, boolean recursive, Callback<Void> callback) {
        send(
                Op.ADD_WATCH,
                new RecordWriter().writeString(path).writeInt(recursive ? 1 : 0),
                in -> null,
                registeringWatch(recursive ? recursiveWatches : persistentWatches, path, callback));
    }

    /** Reads after this see all writes that were completed before it. */
    public void sync(String path, Callback<String> callback) {
        send(Op.SYNC, new RecordWriter().writeString(path), RecordReader::readString, callback);
    }

    private <T> void send(Op op, RecordWriter body, Decoder<T> decoder, Callback<T> callback) {
        if (state != State.CONNECTED) {
            loop.defer(() -> callback.done(
                    state == State.EXPIRED ? ErrorCode.SESSION_EXPIRED : ErrorCode.CONNECTION_LOSS, null));
            return;
        }
        int xid = nextXid++;
        nextXid = nextXid < 0 ? 1 : nextXid;
        pendingCalls.add(new Call<>(xid, callback, decoder));
        link.send(xid, op, body);
    }

    // ---- The connection.

    private final class Link implements Connection.Handler {
        private Connection connection;
        private final FrameDecoder frames = new FrameDecoder(MAX_RECORD_BYTES, this::record);
        private boolean sessionEstablished;
        private Timer ping;
        private Timer readTimeout;

        void send(int xid, Op op, RecordWriter body) {
            byte[] payload = body.record();
            ByteBuffer frame = ByteBuffer.allocate(12 + payload.length);
            connection.send(frame.putInt(8 + payload.length)
                    .putInt(xid)
                    .putInt(op.code)
                    .put(payload)
                    .flip());
        }

        /**
         * A server that sends nothing for two thirds of the session time-out is abandoned for the next one,
         * while the session is still alive.
         */
        void resetReadTimeout() {
            if (readTimeout != null) {
                readTimeout.cancel();
            }
            readTimeout = loop.schedule(timeout.multipliedBy(2).dividedBy(3), () -> connectionLost(this));
        }

        private void schedulePing() {
            ping = loop.schedule(timeout.dividedBy(3), () -> {
                send(Op.XID_PING, Op.PING, new RecordWriter());
                schedulePing();
            });
        }

        void end() {
            for (Timer each : new Timer[] {ping, readTimeout}) {
                if (each != null) {
                    each.cancel();
                }
            }
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            resetReadTimeout();
            frames.decode(bytes);
            if (frames.error() != null) {
                connectionLost(this);
            }
        }

        @Override
        public void disconnected(String cause) {
            connectionLost(this);
        }

        private void record(byte[] record) {
            if (link != this) {
                return;
            }
            try {
                if (sessionEstablished) {
                    reply(new RecordReader(record));
                } else {
                    connectResponse(ConnectHandshake.Response.read(record));
                }
            } catch (MalformedRecordException e) {
                connectionLost(this);
            }
        }

        private void connectResponse(ConnectHandshake.Response response) {
            if (response.timeoutMillis() <= 0) {
                link = null;
                end();
                pendingCalls.clear();
                changeState(State.EXPIRED);
                return;
            }
            sessionEstablished = true;
            failures = 0;
            session = response.session();
            password = response.password();
            timeout = Duration.ofMillis(response.timeoutMillis());
            resetReadTimeout();
            schedulePing();
            restoreWatches();
            changeState(State.CONNECTED);
        }

        private void restoreWatches() {
            if (dataWatches.isEmpty()
                    && existsWatches.isEmpty()
                    && childWatches.isEmpty()
                    && persistentWatches.isEmpty()
                    && recursiveWatches.isEmpty()) {
                return;
            }
            RecordWriter body = new RecordWriter();
            new SetWatchesRequest(
                            lastZxid,
                            List.copyOf(dataWatches),
                            List.copyOf(existsWatches),
                            List.copyOf(childWatches),
                            List.copyOf(persistentWatches),
                            List.copyOf(recursiveWatches))
                    .write(body);
            send(Op.XID_SET_WATCHES, Op.SET_WATCHES2, body);
        }

        private void reply(RecordReader in) throws MalformedRecordException {
            int xid = in.readInt();
            long zxid = in.readLong();
            ErrorCode error = ErrorCode.of(in.readInt());
            if (xid == Op.XID_EVENT) {
                event(Event.read(in));
                return;
            }
            if (zxid > 0 && zxid < lastZxid) {
                throw new MalformedRecordException("the server's zxid is older than one already seen");
            }
            lastZxid = Math.max(lastZxid, zxid);
            if (xid == Op.XID_PING || xid == Op.XID_SET_WATCHES || xid == Op.XID_AUTH) {
                return;
            }
            Call<?> call = pendingCalls.peek();
            if (call == null || call.xid != xid) {
                throw new MalformedRecordException("a reply out of order");
            }
            pendingCalls.poll();
            call.complete(error, in);
        }

        private void event(Event event) {
            // One-time watches are removed when they fire.
            if (event.kind() == Event.Kind.CHILDREN_CHANGED) {
                childWatches.remove(event.path());
            } else {
                dataWatches.remove(event.path());
                existsWatches.remove(event.path());
                if (event.kind() == Event.Kind.DELETED) {
                    childWatches.remove(event.path());
                }
            }
            listener.event(event);
        }
    }
}
