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
import saltdale.transport.SocketBudget;
import saltdale.transport.Timer;

/**
 * A session with a coordination service, on the project's loop: no thread of its own and no call that waits.
 * Answers come strictly in the order of the requests. A request whose connection broke ends with a lost
 * connection: it may have happened.
 */
public final class NodeClient {
    /** How the service stands to us; SUSPENDED: not heard, and the session may yet live. */
    public enum State {
        CONNECTING,
        CONNECTED,
        SUSPENDED,
        EXPIRED,
        CLOSED
    }

    /** Who is told of the session's state and of watches. */
    public interface Owner {
        void state(State state);

        void event(Event event);
    }

    /** Who waits for an answer; the value is null where the fault is not OK. */
    public interface Back<T> {
        void done(Fault fault, T value);
    }

    /** A node's data with what the service tells of it. */
    public record Data(byte[] data, Stat stat) {}

    private interface Decoder<T> {
        T read(RecordReader in) throws Malformed;
    }

    private record Call<T>(int xid, Back<T> back, Decoder<T> decoder) {
        void end(Fault fault, RecordReader in) throws Malformed {
            back.done(fault, fault == Fault.OK ? decoder.read(in) : null);
        }

        void lost() {
            back.done(Fault.CONNECTION_LOSS, null);
        }
    }

    private static final int MOST_RECORD = 4 << 20;
    private static final Duration LEAST_WAIT = Duration.ofMillis(20);
    private static final int ALL_RIGHTS = 31;

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final List<InetSocketAddress> servers;
    private final SplittableRandom chance;
    private final Owner owner;
    private final Duration asked;
    private final Deque<Call<?>> waiting = new ArrayDeque<>();
    private final Set<String> dataWatches = new TreeSet<>();
    private final Set<String> existWatches = new TreeSet<>();
    private final Set<String> childWatches = new TreeSet<>();
    private final Set<String> persistent = new TreeSet<>();
    private final Set<String> recursive = new TreeSet<>();
    private State state = State.CONNECTING;
    private Link link;
    private int nextServer;
    private int failures;
    private long session;
    private byte[] password = new byte[16];
    private Duration timeout;
    private long lastZxid;
    private int nextXid = 1;
    private Timer retry;

    /** {@code asked}: the time-out that is asked for; what is granted counts. */
    public NodeClient(
            EventLoop loop,
            SocketBudget sockets,
            List<InetSocketAddress> servers,
            Duration asked,
            SplittableRandom chance,
            Owner owner) {
        this.loop = loop;
        this.sockets = sockets;
        this.asked = asked;
        this.timeout = asked;
        this.chance = chance;
        this.owner = owner;
        this.servers = new ArrayList<>(servers);
        for (int i = this.servers.size() - 1; i > 0; i--) { // so that clients do not all go to the first
            Collections.swap(this.servers, i, chance.nextInt(i + 1));
        }
    }

    public State state() {
        return state;
    }

    public long session() {
        return session;
    }

    public Duration timeout() {
        return timeout;
    }

    /** Begins, or begins anew after the session has expired. */
    public void begin() {
        if (state == State.EXPIRED) {
            session = 0;
            password = new byte[16];
            forgetWatches();
            state = State.CONNECTING;
        }
        connect();
    }

    private void forgetWatches() {
        for (Set<String> each : List.of(dataWatches, existWatches, childWatches, persistent, recursive)) {
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
            again();
            return;
        }
        link.connection.send(new Opening.Asked(lastZxid, (int) asked.toMillis(), session, password, false)
                .write()
                .framed());
        link.heard();
    }

    /**
     * Waits grow with each round of all servers, and are drawn, so that clients do not come back at one
     * moment.
     */
    private void again() {
        failures++;
        long most = LEAST_WAIT.toNanos() << Math.min(8, failures / servers.size());
        long wait = Math.min(most, timeout.toNanos() / 3);
        retry = loop.schedule(Duration.ofNanos((long) (wait * (0.5 + chance.nextDouble() / 2))), this::connect);
    }

    private void become(State next) {
        if (state != next) {
            state = next;
            owner.state(next);
        }
    }

    /** The connection is of no use any more: what was asked on it may have happened. */
    private void broken(Link which) {
        if (link != which) {
            return;
        }
        link = null;
        which.end();
        List<Call<?>> lost = List.copyOf(waiting);
        waiting.clear();
        if (state == State.CONNECTED) {
            become(State.SUSPENDED);
        }
        lost.forEach(Call::lost);
        if (state != State.CLOSED && state != State.EXPIRED) {
            again();
        }
    }

    /**
     * Ends the session, and its nodes with it; {@code after} is called once the service has said so, or
     * can't.
     */
    public void close(Runnable after) {
        if (state != State.CONNECTED) {
            shut();
            after.run();
            return;
        }
        send(Op.CLOSE, new RecordWriter(), in -> null, (fault, nothing) -> {
            shut();
            after.run();
        });
    }

    private void shut() {
        become(State.CLOSED);
        if (retry != null) {
            retry.cancel();
        }
        if (link != null) {
            link.end();
            link = null;
        }
    }

    // ---- Requests.

    public void create(String path, byte[] data, boolean ephemeral, boolean sequential, Back<String> back) {
        RecordWriter body = new RecordWriter()
                .text(path)
                .buffer(data)
                .number(1)
                .number(ALL_RIGHTS)
                .text("world")
                .text("anyone")
                .number((ephemeral ? 1 : 0) | (sequential ? 2 : 0));
        send(Op.CREATE, body, RecordReader::text, back);
    }

    public void delete(String path, int version, Back<Void> back) {
        send(Op.DELETE, new RecordWriter().text(path).number(version), in -> null, back);
    }

    public void set(String path, byte[] data, int version, Back<Stat> back) {
        send(Op.SET_DATA, new RecordWriter().text(path).buffer(data).number(version), Stat::read, back);
    }

    /** With a watch, its coming, change or going is told once. */
    public void exists(String path, boolean watch, Back<Stat> back) {
        send(Op.EXISTS, new RecordWriter().text(path).flag(watch), Stat::read, (fault, stat) -> {
            if (watch && (fault == Fault.OK || fault == Fault.NO_NODE)) {
                (fault == Fault.OK ? dataWatches : existWatches).add(path);
            }
            back.done(fault, stat);
        });
    }

    public void data(String path, boolean watch, Back<Data> back) {
        send(
                Op.GET_DATA,
                new RecordWriter().text(path).flag(watch),
                in -> new Data(in.buffer(), Stat.read(in)),
                watched(watch ? dataWatches : null, path, back));
    }

    public void children(String path, boolean watch, Back<List<String>> back) {
        send(
                Op.GET_CHILDREN,
                new RecordWriter().text(path).flag(watch),
                RecordReader::texts,
                watched(watch ? childWatches : null, path, back));
    }

    private static <T> Back<T> watched(Set<String> to, String path, Back<T> back) {
        return (fault, value) -> {
            if (to != null && fault == Fault.OK) {
                to.add(path);
            }
            back.done(fault, value);
        };
    }

    /** A watch that stays; a recursive one hears of all below. */
    public void watch(String path, boolean all, Back<Void> back) {
        send(
                Op.ADD_WATCH,
                new RecordWriter().text(path).number(all ? 1 : 0),
                in -> null,
                watched(all ? recursive : persistent, path, back));
    }

    /** All that was done before this is seen by reads after it. */
    public void sync(String path, Back<String> back) {
        send(Op.SYNC, new RecordWriter().text(path), RecordReader::text, back);
    }

    private <T> void send(Op op, RecordWriter body, Decoder<T> decoder, Back<T> back) {
        if (state != State.CONNECTED) {
            loop.defer(() -> back.done(state == State.EXPIRED ? Fault.SESSION_EXPIRED : Fault.CONNECTION_LOSS, null));
            return;
        }
        int xid = nextXid++;
        nextXid = nextXid < 0 ? 1 : nextXid;
        waiting.add(new Call<>(xid, back, decoder));
        link.send(xid, op, body);
    }

    // ---- The connection.

    private final class Link implements Connection.Handler {
        private Connection connection;
        private final Frames frames = new Frames(MOST_RECORD, this::record);
        private boolean granted;
        private Timer ping;
        private Timer silence;

        void send(int xid, Op op, RecordWriter body) {
            byte[] rest = body.record();
            ByteBuffer all = ByteBuffer.allocate(12 + rest.length);
            connection.send(all.putInt(8 + rest.length)
                    .putInt(xid)
                    .putInt(op.code)
                    .put(rest)
                    .flip());
        }

        /**
         * A service that says nothing for two thirds of the time-out is left for the next, while the session
         * lives.
         */
        void heard() {
            if (silence != null) {
                silence.cancel();
            }
            silence = loop.schedule(timeout.multipliedBy(2).dividedBy(3), () -> broken(this));
        }

        private void ping() {
            ping = loop.schedule(timeout.dividedBy(3), () -> {
                send(Op.XID_PING, Op.PING, new RecordWriter());
                ping();
            });
        }

        void end() {
            for (Timer each : new Timer[] {ping, silence}) {
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
            heard();
            frames.take(bytes);
            if (frames.fault() != null) {
                broken(this);
            }
        }

        @Override
        public void disconnected(String cause) {
            broken(this);
        }

        private void record(byte[] record) {
            if (link != this) {
                return;
            }
            try {
                if (granted) {
                    reply(new RecordReader(record));
                } else {
                    opened(Opening.Granted.read(record));
                }
            } catch (Malformed e) {
                broken(this);
            }
        }

        private void opened(Opening.Granted answer) {
            if (answer.timeoutMillis() <= 0) {
                link = null;
                end();
                waiting.clear();
                become(State.EXPIRED);
                return;
            }
            granted = true;
            failures = 0;
            session = answer.session();
            password = answer.password();
            timeout = Duration.ofMillis(answer.timeoutMillis());
            heard();
            ping();
            watchAgain();
            become(State.CONNECTED);
        }

        private void watchAgain() {
            if (dataWatches.isEmpty()
                    && existWatches.isEmpty()
                    && childWatches.isEmpty()
                    && persistent.isEmpty()
                    && recursive.isEmpty()) {
                return;
            }
            RecordWriter body = new RecordWriter();
            new Watching(
                            lastZxid,
                            List.copyOf(dataWatches),
                            List.copyOf(existWatches),
                            List.copyOf(childWatches),
                            List.copyOf(persistent),
                            List.copyOf(recursive))
                    .write(body);
            send(Op.XID_SET_WATCHES, Op.SET_WATCHES2, body);
        }

        private void reply(RecordReader in) throws Malformed {
            int xid = in.number();
            long zxid = in.longNumber();
            Fault fault = Fault.of(in.number());
            if (xid == Op.XID_EVENT) {
                event(Event.read(in));
                return;
            }
            if (zxid > 0 && zxid < lastZxid) {
                throw new Malformed("an older tree than was seen");
            }
            lastZxid = Math.max(lastZxid, zxid);
            if (xid == Op.XID_PING || xid == Op.XID_SET_WATCHES || xid == Op.XID_AUTH) {
                return;
            }
            Call<?> call = waiting.peek();
            if (call == null || call.xid != xid) {
                throw new Malformed("an answer out of order");
            }
            waiting.poll();
            call.end(fault, in);
        }

        private void event(Event event) {
            // One-time watches are used up by what they tell.
            if (event.kind() == Event.Kind.CHILDREN_CHANGED) {
                childWatches.remove(event.path());
            } else {
                dataWatches.remove(event.path());
                existWatches.remove(event.path());
                if (event.kind() == Event.Kind.DELETED) {
                    childWatches.remove(event.path());
                }
            }
            owner.event(event);
        }
    }
}
