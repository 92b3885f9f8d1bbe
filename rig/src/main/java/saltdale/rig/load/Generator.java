package saltdale.rig.load;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.judge.EventObserver.FinalAnswer;
import saltdale.rig.plan.Day;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;
import saltdale.rig.standin.StandInFleet;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Timer;

/**
 * An open loop on sockets: each ask is sent at the time that was fixed for it, whatever became of those
 * before. How far it falls behind its own times is measured, and voids a run.
 */
public final class Generator {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration LATE_SEEN = Duration.ofMillis(500); // so late an answer is seen, and judged as late
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(20);
    private static final Duration FRONT_NOTICES = Duration.ofSeconds(1);
    // Beyond these the figures would be the generator's own.
    private static final long MOST_LAG_P99_US = 10_000;
    private static final long MOST_LAG_US = 100_000;

    private final LoopThread loopThread;
    private final Day day;
    private final Origin origin;
    private final EventObserver witness;
    private final Tally tally;
    private final Persistence persistence;
    private final ConnectionPool[] pools;
    private final InetSocketAddress[] addresses;
    private final Set<Integer> avoided = new HashSet<>();
    private final Histogram lag = new Histogram(3_600_000_000L, 3);
    private final String run;
    private final Duration start;
    private int next;
    private volatile long open;
    private final Spread spread;
    private long heavies;
    private volatile boolean allSent;
    private long answers;
    private Duration thousandthAt;

    /**
     * {@code run}: makes the ids of this run differ from those of any other; {@code start}: when the day
     * begins, on the clock of the run, by which the asks' times are given.
     */
    public Generator(
            LoopThread loopThread,
            Day day,
            List<InetSocketAddress> dispatchers,
            Origin origin,
            EventObserver witness,
            long seed,
            String run,
            Duration start) {
        this.loopThread = loopThread;
        this.day = day;
        this.origin = origin;
        this.witness = witness;
        this.run = run;
        this.start = start;
        tally = new Tally(day.jobs, day.warmUp, start);
        persistence = new Persistence(day.traffic, new SplittableRandom(seed));
        spread = new Spread(dispatchers.size());
        addresses = dispatchers.toArray(new InetSocketAddress[0]);
        pools = new ConnectionPool[addresses.length];
        for (int i = 0; i < pools.length; i++) {
            pools[i] = new ConnectionPool(loopThread.loop, loopThread.sockets, addresses[i], CONNECT_LIMIT, IDLE_LIMIT);
        }
    }

    /** Begins to send; called on the loop. */
    public void begin(Iterator<Ask> asks) {
        if (!asks.hasNext()) {
            allSent = true;
            return;
        }
        Ask ask = asks.next();
        loopThread.loop.schedule(ask.at().minus(origin.now()).minus(drift()), () -> {
            long late = Math.max(0, origin.now().minus(ask.at()).toNanos() / 1000);
            if (ask.at().minus(start).compareTo(day.warmUp) >= 0) { // as the figures do that it might spoil
                lag.recordValue(Math.min(late, 3_600_000_000L));
            }
            new Customer(ask).sendTry();
            begin(asks);
        });
    }

    /** The turn's time beside the clock: at most nothing. */
    private Duration drift() {
        return loopThread.loop.now().minus(loopThread.loop.elapsed());
    }

    /** Closes what rests: dispatchers that are told to end wait for clients that might still send. */
    public void hangUp() {
        for (ConnectionPool pool : pools) {
            pool.closeIdle();
        }
    }

    public boolean isOver() {
        return allSent && open == 0;
    }

    public Tally tally() {
        return tally;
    }

    /** True send against intended send, us. */
    public Histogram lag() {
        return lag;
    }

    /** Why the run is void; null where it counts. */
    public String isVoid() {
        long p99 = lag.getValueAtPercentile(99);
        if (p99 <= MOST_LAG_P99_US && lag.getMaxValue() <= MOST_LAG_US) {
            return null;
        }
        return String.format(
                java.util.Locale.ROOT,
                "the load fell behind its intended times: by %.1f ms at the 99th "
                        + "percentile, %.1f ms at the most (allowed: %d and %d ms)",
                p99 / 1e3,
                lag.getMaxValue() / 1e3,
                MOST_LAG_P99_US / 1000,
                MOST_LAG_US / 1000);
    }

    /** When the thousandth answer had come, on the run's clock; null before. */
    public Duration thousandthAt() {
        return thousandthAt;
    }

    public Spread spread() {
        return spread;
    }

    private int choose() {
        if (day.traffic.heavy() > 1
                && avoided.isEmpty()
                && heavies++ % (pools.length - 1 + day.traffic.heavy()) >= pools.length) {
            return 0;
        }
        for (int i = 0; i < pools.length; i++) {
            next = (next + 1) % pools.length;
            if (!avoided.contains(next)) {
                break;
            }
        }
        return next;
    }

    /** A front takes no notice at once, and gives it another chance after a while. */
    private void unreachable(int dispatcher) {
        if (avoided.add(dispatcher)) {
            loopThread.loop.schedule(FRONT_NOTICES, () -> avoided.remove(dispatcher));
        }
    }

    /** The client of one ask, over all its tries. */
    private final class Customer {
        private final Ask ask;
        private int tries;
        private Try current;
        private boolean finished;

        Customer(Ask ask) {
            this.ask = ask;
            open++;
        }

        void sendTry() {
            if (tries++ == 0) {
                persistence.firstTry();
            }
            current = new Try(this, run + "-" + ask.number() + "." + tries, choose());
            current.send(false);
            if (tries == 1 && persistence.leaves()) {
                Try first = current;
                loopThread.loop.schedule(ask.job().workload().clientTimeout.dividedBy(2), () -> {
                    if (current == first && !finished) {
                        witness.clientLeft(origin.now(), first.id);
                        first.drop();
                        finish(null, true);
                    }
                });
            }
        }

        void over(FinalAnswer how, Duration pause, boolean unreachable) {
            current = null;
            Duration wait = persistence.next(
                    ask.job().workload(), tries, unreachable ? FinalAnswer.SHED : how, pause, origin.now(), ask.at());
            if (wait == null) {
                finish(how, false);
            } else {
                loopThread.loop.schedule(wait, this::sendTry);
            }
        }

        private void finish(FinalAnswer how, boolean left) {
            finished = true;
            open--;
            tally.over(ask, how, origin.now(), tries, left);
        }
    }

    /** One request and its answer. */
    private final class Try implements Connection.Handler {
        private final Customer customer;
        private final String id;
        private final int dispatcher;
        private HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
        private Connection connection;
        private Timer limit;
        private boolean reused;
        private boolean over;

        Try(Customer customer, String id, int dispatcher) {
            this.customer = customer;
            this.id = id;
            this.dispatcher = dispatcher;
        }

        void send(boolean again) {
            Ask ask = customer.ask;
            connection = pools[dispatcher].acquire(this);
            if (connection == null) {
                loopThread.loop.defer(() -> end(null, null, true));
                return;
            }
            if (!again) { // before it is written: the answer may be here before this thread is on again
                witness.requestSent(
                        origin.now(),
                        id,
                        customer.ask.job().workload(),
                        dispatcher,
                        customer.ask.job().workload().clientTimeout);
            }
            connection.beginMessage();
            reused = connection.isReused();
            Duration patience = ask.job().workload().clientTimeout;
            connection.send(ByteBuffer.wrap(("POST /" + ask.job().name() + "/" + ask.number()
                            + " HTTP/1.1\r\nHost: "
                            + LoopbackAddresses.text(addresses[dispatcher]) + "\r\nRequest-Id: " + id
                            + "\r\nRequest-Timeout-Ms: "
                            + patience.toMillis() + "\r\nIdempotency-Key: " + run + "-" + ask.number() + "\r\n"
                            + (day.traffic.marks() && customer.tries > 1 ? "Client-Retry: 1\r\n" : "")
                            + StandInFleet.WORK_HEADER + ": " + Math.max(1, Math.round(ask.size() * 1e6))
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
            if (!again) {
                // By the clock, not the turn's time: a first turn is long, and its limits would come before they are
                // due.
                limit = loopThread.loop.schedule(
                        patience.plus(day.answerGrace).plus(LATE_SEEN).minus(drift()), () -> {
                            drop();
                            end(null, null, false);
                        });
            }
        }

        void drop() {
            over = true;
            limit.cancel();
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                connection.close();
                disconnected("no answer that can be read");
            } else if (parser.isComplete()) {
                Head head = parser.head();
                String body = new String(parser.body(), StandardCharsets.UTF_8);
                if (head.keepsAlive() && !bytes.hasRemaining()) {
                    pools[dispatcher].release(connection);
                } else {
                    connection.close();
                }
                FinalAnswer how = switch (head.status()) {
                    case 200 -> FinalAnswer.FULFILLED;
                    case 429, 503 -> FinalAnswer.SHED;
                    default -> FinalAnswer.GIVEN_UP;
                };
                witness.answerReceived(origin.now(), id, how, body);
                if (++answers == 1000) {
                    thousandthAt = origin.now();
                }
                end(how, pause(head), false);
            }
        }

        private Duration pause(Head head) {
            String text = head.header("Retry-After");
            try {
                return text == null ? null : Duration.ofNanos((long) (Double.parseDouble(text) * 1e9));
            } catch (NumberFormatException e) {
                return null; // a date, which nobody here sends
            }
        }

        @Override
        public void disconnected(String cause) {
            if (over) {
                return;
            }
            if (reused && parser.isAtStart()) { // it crossed the closing of an idle connection: once more
                reused = false;
                send(true);
                return;
            }
            boolean unsent = connection.sendProgress().isIncomplete();
            if (unsent) {
                witness.clientLeft(origin.now(), id); // no dispatcher has taken it
                unreachable(dispatcher);
            } else if (!connection.isReused() && parser.isAtStart()) {
                witness.newConnectionClosed(origin.now(), id);
            } else {
                witness.connectionLost(origin.now(), id);
            }
            end(null, null, unsent);
        }

        private void end(FinalAnswer how, Duration pause, boolean unreachable) {
            over = true;
            if (limit != null) {
                limit.cancel();
            }
            spread.ended(dispatcher, customer.ask.job().workload().importance, how == FinalAnswer.SHED);
            customer.over(how, pause, unreachable);
        }
    }
}
