package saltdale.routing;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import saltdale.protocol.Head;
import saltdale.protocol.HostListUpdate;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.protocol.LineSplitter;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.SendProgress;
import saltdale.transport.SocketBudget;
import saltdale.transport.Timer;

/** Reads the list of runners and watches it; a watch that breaks or falls silent is begun anew, with jitter. */
final class Discovery {
    private static final String PATH = "/discovery/hosts";
    private static final Duration SILENCE = Duration.ofMillis(5000); // between two empty lines lie 2 s
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration LEAST_PAUSE = Duration.ofMillis(100);
    private static final Duration MOST_PAUSE = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private InetSocketAddress address;
    private final Counters counters;
    private final SplittableRandom chance;
    private final Consumer<HostListUpdate> taker;
    /** Where set, a broken watch is told and not begun anew. */
    private final Runnable onBreak;

    private ConnectionPool pool;
    private long seq;
    private Watch watch;
    private Duration pause = LEAST_PAUSE;

    Discovery(
            EventLoop loop,
            SocketBudget sockets,
            InetSocketAddress address,
            Counters counters,
            SplittableRandom chance,
            Consumer<HostListUpdate> taker,
            Runnable onBreak) {
        this.loop = loop;
        this.sockets = sockets;
        this.counters = counters;
        this.chance = chance;
        this.taker = taker;
        this.onBreak = onBreak;
        at(address);
    }

    /** The list that is known already ends with this version. */
    void knows(long version) {
        seq = version;
    }

    /** Reads the whole list once; {@code after} is told whether it came. */
    void read(Consumer<Boolean> after) {
        Call call = Call.begin(
                pool,
                new Call.Back() {
                    @Override
                    public void answered(Head head, byte[] body) {
                        after.accept(head.status() == 200 && take(body));
                    }

                    @Override
                    public void broke(SendProgress reach, boolean malformed) {
                        counters.badLists += malformed ? 1 : 0;
                        after.accept(false);
                    }
                },
                HttpWriter.request("GET", PATH, host()));
        if (call == null) {
            loop.defer(() -> after.accept(false));
        } else {
            call.within(loop, PATIENCE);
        }
    }

    /** The whole list, then the watch; begun anew until they hold. */
    void follow() {
        read(came -> {
            if (came) {
                watch();
            } else {
                again(this::follow);
            }
        });
    }

    private void at(InetSocketAddress where) {
        address = where;
        pool = new ConnectionPool(loop, sockets, where, PATIENCE, PATIENCE);
    }

    /**
     * It is at another address from now on. Where the list was followed, the old watch holds until the new one
     * has it.
     */
    void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        pool.closeIdle();
        at(next);
        pause = LEAST_PAUSE;
        if (onBreak == null) {
            follow();
        } else if (watch != null) {
            watch();
        }
    }

    /** Watches from the last version on. */
    void watch() {
        unwatch();
        watch = new Watch();
        watch.connection = Connection.connect(loop, sockets, address, PATIENCE, watch);
        if (watch.connection == null) {
            loop.defer(this::broken);
        } else {
            watch.connection.send(ByteBuffer.wrap(HttpWriter.request("GET", PATH + "?watch=1&from=" + seq, host())));
            watch.heard();
        }
    }

    void unwatch() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    private String host() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private boolean take(byte[] text) {
        HostListUpdate list = HostListUpdate.parse(text);
        if (list == null) {
            counters.badLists++;
            return false;
        }
        counters.lists++;
        seq = list.seq;
        pause = LEAST_PAUSE;
        taker.accept(list);
        return true;
    }

    private void broken() {
        unwatch();
        counters.watchesBroken++;
        if (onBreak != null) {
            onBreak.run();
        } else {
            again(this::watch);
        }
    }

    private void again(Runnable what) {
        loop.schedule(Duration.ofNanos((long) (pause.toNanos() * (0.5 + chance.nextDouble()))), what);
        pause = pause.multipliedBy(2).compareTo(MOST_PAUSE) < 0 ? pause.multipliedBy(2) : MOST_PAUSE;
    }

    private final class Watch implements Connection.Handler {
        Connection connection;
        private Timer silence;
        private boolean malformed;
        private final LineSplitter lines = new LineSplitter(HttpParser.MAX_RESPONSE_BODY_BYTES, this::line);
        private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, lines);

        private void line(byte[] text) {
            if (!malformed && text.length > 0 && !(text.length == 1 && text[0] == '\r')) {
                malformed = !take(text);
            }
        }

        void heard() {
            if (silence != null) {
                silence.cancel();
            }
            // Guards against a machine that was cut off: its connection stays open and says nothing.
            silence = loop.schedule(SILENCE, Discovery.this::broken);
        }

        void close() {
            if (silence != null) {
                silence.cancel();
            }
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            boolean unreadable = parser.isMalformed() || lines.isLineTooLong();
            counters.badLists += unreadable ? 1 : 0;
            if (unreadable
                    || malformed
                    || parser.isComplete()
                    || parser.head() != null && parser.head().status() != 200) {
                broken();
            } else {
                heard();
            }
        }

        @Override
        public void disconnected(String cause) {
            broken();
        }
    }
}
