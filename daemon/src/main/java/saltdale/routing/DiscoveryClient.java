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

/**
 * Reads the runner list from the discovery service and watches it for changes. A watch that breaks or stops sending is
 * restarted after a delay with jitter, unless the dispatcher decides on that itself.
 */
final class DiscoveryClient {
    private static final String PATH = "/discovery/hosts";
    /** A watch that sends nothing for this long is broken; the service sends an empty line every 2 s. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(5000);

    /** Limits the time for connecting and for a response, and the idle time of pooled connections. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private InetSocketAddress address;
    private final Counters counters;
    private final SplittableRandom random;
    private final Consumer<HostListUpdate> listener;
    /** Called when a watch breaks, which is then not restarted here; null to restart it. */
    private final Runnable onWatchBroken;

    private ConnectionPool pool;
    private long version;
    private Watch watch;
    private Duration retryDelay = MIN_RETRY_DELAY;

    DiscoveryClient(
            EventLoop loop,
            SocketBudget sockets,
            InetSocketAddress address,
            Counters counters,
            SplittableRandom random,
            Consumer<HostListUpdate> listener,
            Runnable onWatchBroken) {
        this.loop = loop;
        this.sockets = sockets;
        this.counters = counters;
        this.random = random;
        this.listener = listener;
        this.onWatchBroken = onWatchBroken;
        setAddress(address);
    }

    /** Sets the version of the list that is already known. */
    void setVersion(long knownVersion) {
        version = knownVersion;
    }

    /** Reads the complete list once; {@code completion} receives whether that succeeded. */
    void read(Consumer<Boolean> completion) {
        HttpCall call = HttpCall.start(
                pool,
                new HttpCall.Callback() {
                    @Override
                    public void onResponse(Head head, byte[] body) {
                        completion.accept(head.status() == 200 && applyList(body));
                    }

                    @Override
                    public void onFailure(SendProgress progress, boolean malformed) {
                        counters.malformedRunnerLists += malformed ? 1 : 0;
                        completion.accept(false);
                    }
                },
                HttpWriter.request("GET", PATH, hostHeader()));
        if (call == null) {
            loop.defer(() -> completion.accept(false));
        } else {
            call.setTimeout(loop, TIMEOUT);
        }
    }

    /** Reads the complete list and then watches it; retries until both succeed. */
    void follow() {
        read(received -> {
            if (received) {
                watch();
            } else {
                retryLater(this::follow);
            }
        });
    }

    private void setAddress(InetSocketAddress newAddress) {
        address = newAddress;
        pool = new ConnectionPool(loop, sockets, newAddress, TIMEOUT, TIMEOUT);
    }

    /**
     * Changes the address of the service. If this client follows the list by itself, the old watch stays open until the
     * list has been read from the new address.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        pool.closeIdle();
        setAddress(newAddress);
        retryDelay = MIN_RETRY_DELAY;
        if (onWatchBroken == null) {
            follow();
        } else if (watch != null) {
            watch();
        }
    }

    /** Watches the list from the last known version on, in place of an earlier watch. */
    void watch() {
        unwatch();
        watch = new Watch();
        watch.connection = Connection.connect(loop, sockets, address, TIMEOUT, watch);
        if (watch.connection == null) {
            loop.defer(this::watchBroken);
        } else {
            watch.connection.send(
                    ByteBuffer.wrap(HttpWriter.request("GET", PATH + "?watch=1&from=" + version, hostHeader())));
            watch.restartSilenceTimer();
        }
    }

    /** Ends the watch, if there is one. */
    void unwatch() {
        if (watch != null) {
            watch.close();
            watch = null;
        }
    }

    private String hostHeader() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private boolean applyList(byte[] text) {
        HostListUpdate list = HostListUpdate.parse(text);
        if (list == null) {
            counters.malformedRunnerLists++;
            return false;
        }
        counters.runnerLists++;
        version = list.seq;
        retryDelay = MIN_RETRY_DELAY;
        listener.accept(list);
        return true;
    }

    private void watchBroken() {
        unwatch();
        counters.brokenWatches++;
        if (onWatchBroken != null) {
            onWatchBroken.run();
        } else {
            retryLater(this::watch);
        }
    }

    private void retryLater(Runnable action) {
        loop.schedule(Duration.ofNanos((long) (retryDelay.toNanos() * (0.5 + random.nextDouble()))), action);
        retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) < 0
                ? retryDelay.multipliedBy(2)
                : MAX_RETRY_DELAY;
    }

    /** A connection on which the service sends changes of the list, one line each. */
    private final class Watch implements Connection.Handler {
        Connection connection;
        private Timer silenceTimer;
        private boolean malformed;
        private final LineSplitter lines = new LineSplitter(HttpParser.MAX_RESPONSE_BODY_BYTES, this::receiveLine);
        private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, lines);

        private void receiveLine(byte[] text) {
            if (!malformed && text.length > 0 && !(text.length == 1 && text[0] == '\r')) {
                malformed = !applyList(text);
            }
        }

        void restartSilenceTimer() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            // If the network to the service is cut, the connection stays open without sending anything.
            silenceTimer = loop.schedule(MAX_SILENCE, DiscoveryClient.this::watchBroken);
        }

        void close() {
            if (silenceTimer != null) {
                silenceTimer.cancel();
            }
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            boolean unreadable = parser.isMalformed() || lines.isLineTooLong();
            counters.malformedRunnerLists += unreadable ? 1 : 0;
            if (unreadable
                    || malformed
                    || parser.isComplete()
                    || parser.head() != null && parser.head().status() != 200) {
                watchBroken();
            } else {
                restartSilenceTimer();
            }
        }

        @Override
        public void disconnected(String cause) {
            watchBroken();
        }
    }
}
