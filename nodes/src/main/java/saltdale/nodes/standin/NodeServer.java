package saltdale.nodes.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import saltdale.nodes.tree.Tree;
import saltdale.nodes.tree.Tree.Operation;
import saltdale.nodes.tree.Watches;
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
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;

/**
 * A stand-in for a ZooKeeper server that runs on the project's event loop. It serves one tree at one or
 * several addresses, so that a client can move between them. There is no consensus: it is a single process
 * that persists its state in one log.
 */
public final class NodeServer {
    private static final int MAX_RECORD_BYTES = 1 << 20;
    private static final int MAX_NODE_DATA_BYTES = 1 << 19;
    private static final long SNAPSHOT_LOG_BYTES = 8 << 20;

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final Tree tree = new Tree(MAX_NODE_DATA_BYTES);
    private final Sessions sessions;
    private final Watches<ClientConnection> watches = new Watches<>();
    private final Map<Long, ClientConnection> connectionsBySession = new TreeMap<>();
    private final Set<ClientConnection> openConnections = new HashSet<>();
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Journal journal;
    private final LongSupplier unixClockMillis;
    private final Duration tick;
    private boolean paused;
    private long reads;

    /** {@code log}: file of the log; if null, nothing survives the process. */
    public NodeServer(
            EventLoop loop, SocketBudget sockets, Duration tick, Path log, LongSupplier unixClockMillis, long seed)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.tick = tick;
        this.unixClockMillis = unixClockMillis;
        sessions = new Sessions(tick, 1, new SplittableRandom(seed));
        List<Journal.Entry> entries = new ArrayList<>();
        journal = log == null ? null : Journal.open(log, entries);
        for (Journal.Entry each : entries) {
            each.changes().forEach(tree::replay);
            switch (each.kind()) {
                case SESSION_OPENED ->
                    sessions.restored(
                            loop.now(), each.session(), each.password(), Duration.ofMillis(each.timeoutMillis()));
                case SESSION_CLOSED -> sessions.close(each.session());
                default -> {}
            }
        }
        tick();
    }

    /** Accepts clients at an address. */
    public void listen(InetSocketAddress at) throws IOException {
        listeners.put(at, new Listener(loop, sockets, at, (connection, full) -> new ClientConnection(connection, at)));
    }

    // ---- Control by tests and tools.

    /**
     * Closes one address: its connections are closed and new ones refused, but sessions and tree are kept.
     */
    public void disconnect(InetSocketAddress at) throws IOException {
        Listener listener = listeners.remove(at);
        if (listener != null) {
            listener.close();
        }
        List.copyOf(openConnections).stream()
                .filter(client -> client.at.equals(at))
                .forEach(ClientConnection::drop);
    }

    /** While paused, neither reads requests nor sends replies; sessions continue to time out meanwhile. */
    public void pause(boolean pause) {
        paused = pause;
        openConnections.forEach(client -> client.connection.setReadEnabled(!pause));
    }

    /** Expires a session at once, as if its client had timed out. */
    public void expire(long session) {
        sessions.close(session);
        sessionEnded(session);
    }

    /** The tree that is served. */
    public Tree tree() {
        return tree;
    }

    /** Number of open sessions. */
    public int sessions() {
        return sessions.size();
    }

    /** Number of read requests received. */
    public long reads() {
        return reads;
    }

    /** Number of watches that are set. */
    public int watches() {
        return watches.size();
    }

    /** Closes all addresses and the log. */
    public void close() throws IOException {
        for (InetSocketAddress at : List.copyOf(listeners.keySet())) {
            disconnect(at);
        }
        if (journal != null) {
            journal.close();
        }
    }

    private void tick() {
        loop.schedule(tick, () -> {
            sessions.expired(loop.now()).forEach(this::sessionEnded);
            tick();
        });
    }

    private void sessionEnded(long session) {
        Tree.TransactionResult transaction = tree.closeSession(session, unixClockMillis.getAsLong());
        log(Journal.Entry.closed(session, transaction.changes()));
        ClientConnection client = connectionsBySession.remove(session);
        if (client != null) {
            client.drop();
        }
        notifyWatchers(transaction.events());
    }

    private void log(Journal.Entry entry) {
        if (journal == null) {
            return;
        }
        try {
            journal.append(entry);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the log: " + e.getMessage(), e);
        }
    }

    private void notifyWatchers(List<Event> events) {
        watches.trigger(events).forEach((client, its) -> its.forEach(client::event));
    }

    // ---- Connection of a client.

    private final class ClientConnection implements Connection.Handler {
        private final Connection connection;
        private final InetSocketAddress at;
        private final FrameDecoder frames = new FrameDecoder(MAX_RECORD_BYTES, this::record);
        private Sessions.Session session;

        ClientConnection(Connection connection, InetSocketAddress at) {
            this.connection = connection;
            this.at = at;
            connection.setHandler(this);
            openConnections.add(this);
            connection.setReadEnabled(!paused);
        }

        @Override
        public void received(ByteBuffer bytes) {
            frames.decode(bytes);
            if (frames.error() != null) {
                drop();
            }
        }

        @Override
        public void disconnected(String cause) {
            unregister();
        }

        void drop() {
            connection.close();
            unregister();
        }

        private void unregister() {
            openConnections.remove(this);
            watches.removeWatcher(this);
            if (session != null) {
                connectionsBySession.remove(session.id, this);
            }
        }

        private void send(RecordWriter record) {
            if (!paused) {
                connection.send(record.framed());
            }
        }

        void event(Event event) {
            RecordWriter out = reply(Op.XID_EVENT, -1, ErrorCode.OK);
            event.write(out);
            send(out);
        }

        private RecordWriter reply(int xid, long zxid, ErrorCode error) {
            return new RecordWriter().writeInt(xid).writeLong(zxid).writeInt(error.code);
        }

        private void record(byte[] record) {
            if (!connection.isOpen()) {
                return;
            }
            try {
                if (session == null) {
                    connect(ConnectHandshake.Request.read(record));
                } else {
                    sessions.touch(loop.now(), session.id);
                    request(new RecordReader(record));
                }
            } catch (MalformedRecordException e) {
                drop(); // like ZooKeeper, closes the connection of a client that sends a malformed record
            }
        }

        private void connect(ConnectHandshake.Request request) {
            if (request.lastZxid() > tree.zxid()) {
                drop(); // the client has seen a newer zxid than this server has: it must connect elsewhere
                return;
            }
            Duration timeout = Duration.ofMillis(Math.max(0, request.timeoutMillis()));
            Sessions.Session opened;
            if (request.session() == 0) {
                opened = sessions.open(loop.now(), timeout);
                log(Journal.Entry.opened(opened.id, opened.password, (int) opened.timeout.toMillis()));
            } else {
                opened = sessions.resume(loop.now(), request.session(), request.password());
            }
            if (opened == null) {
                send(new ConnectHandshake.Response(0, 0, new byte[16]).write());
                connection.closeGracefully();
                return;
            }
            ClientConnection previous = connectionsBySession.put(opened.id, this);
            if (previous != null) {
                previous.drop(); // the client has moved to this connection
                connectionsBySession.put(opened.id, this);
            }
            session = opened;
            send(new ConnectHandshake.Response((int) opened.timeout.toMillis(), opened.id, opened.password).write());
        }

        private void request(RecordReader in) throws MalformedRecordException {
            int xid = in.readInt();
            Op op = Op.of(in.readInt());
            if (op == null) {
                send(reply(xid, tree.zxid(), ErrorCode.UNIMPLEMENTED));
                return;
            }
            switch (op) {
                case PING -> send(reply(Op.XID_PING, tree.zxid(), ErrorCode.OK));
                case AUTH -> {
                    in.readInt();
                    String scheme = in.readString();
                    in.readBuffer();
                    boolean known = "digest".equals(scheme);
                    send(reply(Op.XID_AUTH, tree.zxid(), known ? ErrorCode.OK : ErrorCode.AUTH_FAILED));
                    if (!known) {
                        connection.closeGracefully();
                    }
                }
                case CLOSE -> {
                    long id = session.id;
                    sessions.close(id);
                    connectionsBySession.remove(id);
                    Tree.TransactionResult transaction = tree.closeSession(id, unixClockMillis.getAsLong());
                    log(Journal.Entry.closed(id, transaction.changes()));
                    send(reply(xid, tree.zxid(), ErrorCode.OK));
                    connection.closeGracefully();
                    unregister();
                    notifyWatchers(transaction.events());
                }
                case CREATE, CREATE2, DELETE, SET_DATA, CHECK -> applySingle(xid, op, List.of(operation(op, in)));
                case MULTI -> multi(xid, in);
                case EXISTS, GET_DATA, GET_CHILDREN, GET_CHILDREN2 -> read(xid, op, in.readPath(), in.readBoolean());
                case SYNC -> send(reply(xid, tree.zxid(), ErrorCode.OK).writeString(in.readPath()));
                case SET_WATCHES, SET_WATCHES2 ->
                    restoreWatches(xid, SetWatchesRequest.read(in, op == Op.SET_WATCHES2));
                case ADD_WATCH -> {
                    String path = in.readPath();
                    int mode = in.readInt();
                    if (mode == 0 || mode == 1) {
                        watches.add(mode == 0 ? Watches.Kind.PERSISTENT : Watches.Kind.RECURSIVE, path, this);
                    }
                    send(reply(xid, tree.zxid(), mode == 0 || mode == 1 ? ErrorCode.OK : ErrorCode.BAD_ARGUMENTS)
                            .writeInt(0));
                }
                default -> send(reply(xid, tree.zxid(), ErrorCode.UNIMPLEMENTED));
            }
        }

        private Operation operation(Op op, RecordReader in) throws MalformedRecordException {
            String path = in.readString();
            if (path == null) {
                throw new MalformedRecordException("a request without a path");
            }
            switch (op) {
                case CREATE, CREATE2 -> {
                    byte[] data = in.readBuffer();
                    int aclEntries = in.readCount(12);
                    for (int i = 0; i < aclEntries; i++) {
                        in.readInt();
                        in.readString();
                        in.readString();
                    }
                    int flags = in.readInt();
                    return Operation.create(path, data, (flags & 1) != 0, (flags & 2) != 0);
                }
                case SET_DATA -> {
                    return Operation.set(path, in.readBuffer(), in.readInt());
                }
                default -> {
                    return op == Op.DELETE ? Operation.delete(path, in.readInt()) : Operation.check(path, in.readInt());
                }
            }
        }

        private Tree.TransactionResult apply(List<Operation> operations) {
            Tree.TransactionResult transaction = tree.apply(operations, session.id, unixClockMillis.getAsLong());
            if (!transaction.changes().isEmpty()) {
                log(Journal.Entry.changes(transaction.changes()));
                compact();
            }
            return transaction;
        }

        private void applySingle(int xid, Op op, List<Operation> operations) {
            Tree.TransactionResult transaction = apply(operations);
            Tree.OperationResult result = transaction.results().get(0);
            RecordWriter out = reply(xid, tree.zxid(), result.error());
            if (result.error() == ErrorCode.OK) {
                writeResult(out, op, result);
            }
            // The watch events go before the reply, as ZooKeeper orders the messages to a client.
            notifyWatchers(transaction.events());
            send(out);
        }

        private void writeResult(RecordWriter out, Op op, Tree.OperationResult result) {
            if (op == Op.CREATE || op == Op.CREATE2) {
                out.writeString(result.path());
            }
            if (op == Op.CREATE2 || op == Op.SET_DATA) {
                result.stat().write(out);
            }
        }

        private void multi(int xid, RecordReader in) throws MalformedRecordException {
            List<Op> ops = new ArrayList<>();
            List<Operation> operations = new ArrayList<>();
            while (true) {
                Op op = Op.of(in.readInt());
                boolean done = in.readBoolean();
                in.readInt();
                if (done) {
                    break;
                } else if (op != Op.CREATE
                        && op != Op.CREATE2
                        && op != Op.DELETE
                        && op != Op.SET_DATA
                        && op != Op.CHECK) {
                    throw new MalformedRecordException("a multi that contains " + op);
                }
                ops.add(op);
                operations.add(operation(op, in));
            }
            Tree.TransactionResult transaction = apply(operations);
            RecordWriter out = reply(xid, tree.zxid(), ErrorCode.OK);
            for (int i = 0; i < operations.size(); i++) {
                Tree.OperationResult result = transaction.results().get(i);
                out.writeInt(transaction.done() ? ops.get(i).code : Op.ERROR.code)
                        .writeBoolean(false)
                        .writeInt(transaction.done() ? 0 : result.error().code);
                if (transaction.done()) {
                    writeResult(out, ops.get(i), result);
                } else {
                    out.writeInt(result.error().code);
                }
            }
            notifyWatchers(transaction.events());
            send(out.writeInt(-1).writeBoolean(true).writeInt(-1));
        }

        private void read(int xid, Op op, String path, boolean watch) {
            reads++;
            Stat stat = tree.stat(path);
            if (watch && (stat != null || op == Op.EXISTS)) {
                watches.add(
                        op == Op.EXISTS || op == Op.GET_DATA ? Watches.Kind.DATA : Watches.Kind.CHILDREN, path, this);
            }
            if (stat == null) {
                send(reply(xid, tree.zxid(), ErrorCode.NO_NODE));
                return;
            }
            RecordWriter out = reply(xid, tree.zxid(), ErrorCode.OK);
            switch (op) {
                case GET_DATA -> out.writeBuffer(tree.data(path));
                case GET_CHILDREN, GET_CHILDREN2 -> out.writeStrings(tree.children(path));
                default -> {}
            }
            if (op != Op.GET_CHILDREN) {
                stat.write(out);
            }
            send(out);
        }

        /**
         * Restores the watches of a reconnected client; those that would have fired meanwhile fire now,
         * once.
         */
        private void restoreWatches(int xid, SetWatchesRequest request) {
            send(reply(xid, tree.zxid(), ErrorCode.OK));
            for (String path : request.data()) {
                Stat stat = tree.stat(path);
                if (stat == null) {
                    event(new Event(Event.Kind.DELETED, path));
                } else if (stat.mzxid() > request.zxid()) {
                    event(new Event(Event.Kind.DATA_CHANGED, path));
                } else {
                    watches.add(Watches.Kind.DATA, path, this);
                }
            }
            for (String path : request.exist()) {
                if (tree.stat(path) != null) {
                    event(new Event(Event.Kind.CREATED, path));
                } else {
                    watches.add(Watches.Kind.DATA, path, this);
                }
            }
            for (String path : request.children()) {
                Stat stat = tree.stat(path);
                if (stat == null) {
                    event(new Event(Event.Kind.DELETED, path));
                } else if (stat.pzxid() > request.zxid()) {
                    event(new Event(Event.Kind.CHILDREN_CHANGED, path));
                } else {
                    watches.add(Watches.Kind.CHILDREN, path, this);
                }
            }
            request.persistent().forEach(path -> watches.add(Watches.Kind.PERSISTENT, path, this));
            request.recursive().forEach(path -> watches.add(Watches.Kind.RECURSIVE, path, this));
        }
    }

    /** Replaces a log that has grown too long by a snapshot of the current tree and sessions. */
    private void compact() {
        if (journal == null || journal.length() < SNAPSHOT_LOG_BYTES) {
            return;
        }
        try {
            List<Journal.Entry> all = new ArrayList<>(sessions.entries());
            all.add(Journal.Entry.changes(tree.changes()));
            journal.replace(all);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the log: " + e.getMessage(), e);
        }
    }
}
