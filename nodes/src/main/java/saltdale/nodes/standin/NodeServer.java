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
import saltdale.nodes.tree.Tree.Step;
import saltdale.nodes.tree.Watches;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Fault;
import saltdale.nodes.wire.Frames;
import saltdale.nodes.wire.Malformed;
import saltdale.nodes.wire.Op;
import saltdale.nodes.wire.Opening;
import saltdale.nodes.wire.RecordReader;
import saltdale.nodes.wire.RecordWriter;
import saltdale.nodes.wire.Stat;
import saltdale.nodes.wire.Watching;
import saltdale.transport.Connection;
import saltdale.transport.EventLoop;
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;

/**
 * A stand-in for a coordination service, on the project's loop: one tree behind one or several addresses, so
 * that a client can move between them. There is no consensus: it is one process, and what it says it keeps,
 * it keeps in one log.
 */
public final class NodeServer {
    private static final int MOST_RECORD = 1 << 20;
    private static final int MOST_DATA = 1 << 19;
    private static final long SNAPSHOT_AT = 8 << 20; // bytes of log

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final Tree tree = new Tree(MOST_DATA);
    private final Sessions sessions;
    private final Watches<Peer> watches = new Watches<>();
    private final Map<Long, Peer> peers = new TreeMap<>();
    private final Set<Peer> open = new HashSet<>();
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Journal journal;
    private final LongSupplier unixMillis;
    private final Duration tick;
    private boolean paused;
    private long reads;

    /** {@code log} null: nothing outlives the process. */
    public NodeServer(EventLoop loop, SocketBudget sockets, Duration tick, Path log, LongSupplier unixMillis, long seed)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.tick = tick;
        this.unixMillis = unixMillis;
        sessions = new Sessions(tick, 1, new SplittableRandom(seed));
        List<Journal.Entry> entries = new ArrayList<>();
        journal = log == null ? null : Journal.open(log, entries);
        for (Journal.Entry each : entries) {
            each.changes().forEach(tree::again);
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

    public void listen(InetSocketAddress at) throws IOException {
        listeners.put(at, new Listener(loop, sockets, at, (connection, full) -> new Peer(connection, at)));
    }

    // ---- What can be done to it.

    /** One address is cut off: its connections end and nobody new comes in; what it knows it still knows. */
    public void cut(InetSocketAddress at) throws IOException {
        Listener listener = listeners.remove(at);
        if (listener != null) {
            listener.close();
        }
        List.copyOf(open).stream().filter(peer -> peer.at.equals(at)).forEach(Peer::drop);
    }

    /** It says nothing and hears nothing until told to go on; sessions run on meanwhile. */
    public void pause(boolean wanted) {
        paused = wanted;
        open.forEach(peer -> peer.connection.setReadEnabled(!wanted));
    }

    /** Ends a session at once, as if its client had been silent. */
    public void expire(long session) {
        sessions.close(session);
        ended(session);
    }

    public Tree tree() {
        return tree;
    }

    public int sessions() {
        return sessions.size();
    }

    /** Reads that were asked for. */
    public long reads() {
        return reads;
    }

    public int watches() {
        return watches.size();
    }

    public void close() throws IOException {
        for (InetSocketAddress at : List.copyOf(listeners.keySet())) {
            cut(at);
        }
        if (journal != null) {
            journal.close();
        }
    }

    private void tick() {
        loop.schedule(tick, () -> {
            sessions.expired(loop.now()).forEach(this::ended);
            tick();
        });
    }

    private void ended(long session) {
        Tree.Taken taken = tree.end(session, unixMillis.getAsLong());
        keep(Journal.Entry.closed(session, taken.changes()));
        Peer peer = peers.remove(session);
        if (peer != null) {
            peer.drop();
        }
        tell(taken.events());
    }

    private void keep(Journal.Entry entry) {
        if (journal == null) {
            return;
        }
        try {
            journal.add(entry);
        } catch (IOException e) {
            throw new UncheckedIOException("the log can't be written: " + e.getMessage(), e);
        }
    }

    private void tell(List<Event> events) {
        watches.told(events).forEach((peer, its) -> its.forEach(peer::event));
    }

    // ---- A client's connection.

    private final class Peer implements Connection.Handler {
        private final Connection connection;
        private final InetSocketAddress at;
        private final Frames frames = new Frames(MOST_RECORD, this::record);
        private Sessions.Session session;

        Peer(Connection connection, InetSocketAddress at) {
            this.connection = connection;
            this.at = at;
            connection.setHandler(this);
            open.add(this);
            connection.setReadEnabled(!paused);
        }

        @Override
        public void received(ByteBuffer bytes) {
            frames.take(bytes);
            if (frames.fault() != null) {
                drop();
            }
        }

        @Override
        public void disconnected(String cause) {
            forget();
        }

        void drop() {
            connection.close();
            forget();
        }

        private void forget() {
            open.remove(this);
            watches.forget(this);
            if (session != null) {
                peers.remove(session.id, this);
            }
        }

        private void send(RecordWriter record) {
            if (!paused) {
                connection.send(record.framed());
            }
        }

        void event(Event event) {
            RecordWriter out = reply(Op.XID_EVENT, -1, Fault.OK);
            event.write(out);
            send(out);
        }

        private RecordWriter reply(int xid, long zxid, Fault fault) {
            return new RecordWriter().number(xid).longNumber(zxid).number(fault.code);
        }

        private void record(byte[] record) {
            if (!connection.isOpen()) {
                return;
            }
            try {
                if (session == null) {
                    opening(Opening.Asked.read(record));
                } else {
                    sessions.heard(loop.now(), session.id);
                    request(new RecordReader(record));
                }
            } catch (Malformed e) {
                drop(); // as the protocol has it: whoever sends what can't be read is cut off
            }
        }

        private void opening(Opening.Asked asked) {
            if (asked.lastZxid() > tree.zxid()) {
                drop(); // it has seen what we have not: it must go elsewhere
                return;
            }
            Duration timeout = Duration.ofMillis(Math.max(0, asked.timeoutMillis()));
            Sessions.Session granted;
            if (asked.session() == 0) {
                granted = sessions.open(loop.now(), timeout);
                keep(Journal.Entry.opened(granted.id, granted.password, (int) granted.timeout.toMillis()));
            } else {
                granted = sessions.resume(loop.now(), asked.session(), asked.password());
            }
            if (granted == null) {
                send(new Opening.Granted(0, 0, new byte[16]).write());
                connection.closeGracefully();
                return;
            }
            Peer before = peers.put(granted.id, this);
            if (before != null) {
                before.drop(); // it has moved
                peers.put(granted.id, this);
            }
            session = granted;
            send(new Opening.Granted((int) granted.timeout.toMillis(), granted.id, granted.password).write());
        }

        private void request(RecordReader in) throws Malformed {
            int xid = in.number();
            Op op = Op.of(in.number());
            if (op == null) {
                send(reply(xid, tree.zxid(), Fault.UNIMPLEMENTED));
                return;
            }
            switch (op) {
                case PING -> send(reply(Op.XID_PING, tree.zxid(), Fault.OK));
                case AUTH -> {
                    in.number();
                    String scheme = in.text();
                    in.buffer();
                    boolean known = "digest".equals(scheme);
                    send(reply(Op.XID_AUTH, tree.zxid(), known ? Fault.OK : Fault.AUTH_FAILED));
                    if (!known) {
                        connection.closeGracefully();
                    }
                }
                case CLOSE -> {
                    long id = session.id;
                    sessions.close(id);
                    peers.remove(id);
                    Tree.Taken taken = tree.end(id, unixMillis.getAsLong());
                    keep(Journal.Entry.closed(id, taken.changes()));
                    send(reply(xid, tree.zxid(), Fault.OK));
                    connection.closeGracefully();
                    forget();
                    tell(taken.events());
                }
                case CREATE, CREATE2, DELETE, SET_DATA, CHECK -> change(xid, op, List.of(step(op, in)));
                case MULTI -> multi(xid, in);
                case EXISTS, GET_DATA, GET_CHILDREN, GET_CHILDREN2 -> read(xid, op, in.path(), in.flag());
                case SYNC -> send(reply(xid, tree.zxid(), Fault.OK).text(in.path()));
                case SET_WATCHES, SET_WATCHES2 -> again(xid, Watching.read(in, op == Op.SET_WATCHES2));
                case ADD_WATCH -> {
                    String path = in.path();
                    int mode = in.number();
                    if (mode == 0 || mode == 1) {
                        watches.add(mode == 0 ? Watches.Kind.PERSISTENT : Watches.Kind.RECURSIVE, path, this);
                    }
                    send(reply(xid, tree.zxid(), mode == 0 || mode == 1 ? Fault.OK : Fault.BAD_ARGUMENTS)
                            .number(0));
                }
                default -> send(reply(xid, tree.zxid(), Fault.UNIMPLEMENTED));
            }
        }

        private Step step(Op op, RecordReader in) throws Malformed {
            String path = in.text();
            if (path == null) {
                throw new Malformed("a request without a path");
            }
            switch (op) {
                case CREATE, CREATE2 -> {
                    byte[] data = in.buffer();
                    int rights = in.count(12);
                    for (int i = 0; i < rights; i++) {
                        in.number();
                        in.text();
                        in.text();
                    }
                    int flags = in.number();
                    return Step.create(path, data, (flags & 1) != 0, (flags & 2) != 0);
                }
                case SET_DATA -> {
                    return Step.set(path, in.buffer(), in.number());
                }
                default -> {
                    return op == Op.DELETE ? Step.delete(path, in.number()) : Step.check(path, in.number());
                }
            }
        }

        private Tree.Taken take(List<Step> steps) {
            Tree.Taken taken = tree.take(steps, session.id, unixMillis.getAsLong());
            if (!taken.changes().isEmpty()) {
                keep(Journal.Entry.changes(taken.changes()));
                compact();
            }
            return taken;
        }

        private void change(int xid, Op op, List<Step> steps) {
            Tree.Taken taken = take(steps);
            Tree.Result result = taken.results().get(0);
            RecordWriter out = reply(xid, tree.zxid(), result.fault());
            if (result.fault() == Fault.OK) {
                body(out, op, result);
            }
            // The events before the answer, as the protocol orders what one client sees.
            tell(taken.events());
            send(out);
        }

        private void body(RecordWriter out, Op op, Tree.Result result) {
            if (op == Op.CREATE || op == Op.CREATE2) {
                out.text(result.path());
            }
            if (op == Op.CREATE2 || op == Op.SET_DATA) {
                result.stat().write(out);
            }
        }

        private void multi(int xid, RecordReader in) throws Malformed {
            List<Op> ops = new ArrayList<>();
            List<Step> steps = new ArrayList<>();
            while (true) {
                Op op = Op.of(in.number());
                boolean done = in.flag();
                in.number();
                if (done) {
                    break;
                } else if (op != Op.CREATE
                        && op != Op.CREATE2
                        && op != Op.DELETE
                        && op != Op.SET_DATA
                        && op != Op.CHECK) {
                    throw new Malformed("a multi with " + op);
                }
                ops.add(op);
                steps.add(step(op, in));
            }
            Tree.Taken taken = take(steps);
            RecordWriter out = reply(xid, tree.zxid(), Fault.OK);
            for (int i = 0; i < steps.size(); i++) {
                Tree.Result result = taken.results().get(i);
                out.number(taken.done() ? ops.get(i).code : Op.ERROR.code)
                        .flag(false)
                        .number(taken.done() ? 0 : result.fault().code);
                if (taken.done()) {
                    body(out, ops.get(i), result);
                } else {
                    out.number(result.fault().code);
                }
            }
            tell(taken.events());
            send(out.number(-1).flag(true).number(-1));
        }

        private void read(int xid, Op op, String path, boolean watch) {
            reads++;
            Stat stat = tree.stat(path);
            if (watch && (stat != null || op == Op.EXISTS)) {
                watches.add(
                        op == Op.EXISTS || op == Op.GET_DATA ? Watches.Kind.DATA : Watches.Kind.CHILDREN, path, this);
            }
            if (stat == null) {
                send(reply(xid, tree.zxid(), Fault.NO_NODE));
                return;
            }
            RecordWriter out = reply(xid, tree.zxid(), Fault.OK);
            switch (op) {
                case GET_DATA -> out.buffer(tree.data(path));
                case GET_CHILDREN, GET_CHILDREN2 -> out.texts(tree.children(path));
                default -> {}
            }
            if (op != Op.GET_CHILDREN) {
                stat.write(out);
            }
            send(out);
        }

        /** Watches that a reconnected client had: what they would have told meanwhile is told now, once. */
        private void again(int xid, Watching asked) {
            send(reply(xid, tree.zxid(), Fault.OK));
            for (String path : asked.data()) {
                Stat stat = tree.stat(path);
                if (stat == null) {
                    event(new Event(Event.Kind.DELETED, path));
                } else if (stat.modified() > asked.zxid()) {
                    event(new Event(Event.Kind.DATA_CHANGED, path));
                } else {
                    watches.add(Watches.Kind.DATA, path, this);
                }
            }
            for (String path : asked.exist()) {
                if (tree.stat(path) != null) {
                    event(new Event(Event.Kind.CREATED, path));
                } else {
                    watches.add(Watches.Kind.DATA, path, this);
                }
            }
            for (String path : asked.children()) {
                Stat stat = tree.stat(path);
                if (stat == null) {
                    event(new Event(Event.Kind.DELETED, path));
                } else if (stat.childrenChanged() > asked.zxid()) {
                    event(new Event(Event.Kind.CHILDREN_CHANGED, path));
                } else {
                    watches.add(Watches.Kind.CHILDREN, path, this);
                }
            }
            asked.persistent().forEach(path -> watches.add(Watches.Kind.PERSISTENT, path, this));
            asked.recursive().forEach(path -> watches.add(Watches.Kind.RECURSIVE, path, this));
        }
    }

    /** A log that has grown long is begun anew with what the tree and the sessions are by now. */
    private void compact() {
        if (journal == null || journal.length() < SNAPSHOT_AT) {
            return;
        }
        try {
            List<Journal.Entry> all = new ArrayList<>(sessions.entries());
            all.add(Journal.Entry.changes(tree.changes()));
            journal.replace(all);
        } catch (IOException e) {
            throw new UncheckedIOException("the log can't be written: " + e.getMessage(), e);
        }
    }
}
