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
import saltdale.rig.plan.Scenario;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;
import saltdale.rig.standin.StandInFleet;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Timer;

/**
 * An open-loop load generator on sockets: each request is sent at its intended time, however earlier ones ended. The
 * lag behind the intended times is measured; a run with too much lag is void.
 */
public final class Generator {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration LATE_ANSWER_WAIT =
            Duration.ofMillis(500); // later responses are still received, and judged as late
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(20);
    private static final Duration UNREACHABLE_AVOIDANCE = Duration.ofSeconds(1);
    // With more lag the figures would reflect the generator rather than the dispatchers.
    private static final long MAX_LAG_P99_US = 10_000;
    private static final long MAX_LAG_US = 100_000;

    private final LoopThread loopThread;
    private final Scenario scenario;
    private final Origin origin;
    private final EventObserver observer;
    private final RequestStatistics statistics;
    private final ClientRetryPolicy retryPolicy;
    private final ConnectionPool[] pools;
    private final InetSocketAddress[] addresses;
    private final Set<Integer> avoided = new HashSet<>();
    private final Histogram lag = new Histogram(3_600_000_000L, 3);
    private final String run;
    private final Duration start;
    private int lastDispatcher;
    private volatile long openClients;
    private final ShedSpread shedSpread;
    private long weightedChoices;
    private volatile boolean allSent;
    private long answers;
    private Duration thousandthAnswerAt;

    /**
     * Creates a generator.
     *
     * @param run prefix that makes the request ids of this run unique
     * @param start start of the scenario on the clock of the run, which the intended times refer to
     */
    public Generator(
            LoopThread loopThread,
            Scenario scenario,
            List<InetSocketAddress> dispatchers,
            Origin origin,
            EventObserver observer,
            long seed,
            String run,
            Duration start) {
        this.loopThread = loopThread;
        this.scenario = scenario;
        this.origin = origin;
        this.observer = observer;
        this.run = run;
        this.start = start;
        statistics = new RequestStatistics(scenario.workloads, scenario.warmUp, start);
        retryPolicy = new ClientRetryPolicy(scenario.traffic, new SplittableRandom(seed));
        shedSpread = new ShedSpread(dispatchers.size());
        addresses = dispatchers.toArray(new InetSocketAddress[0]);
        pools = new ConnectionPool[addresses.length];
        for (int i = 0; i < pools.length; i++) {
            pools[i] = new ConnectionPool(loopThread.loop, loopThread.sockets, addresses[i], CONNECT_LIMIT, IDLE_LIMIT);
        }
    }

    /** Starts to send; called on the loop thread. */
    public void start(Iterator<ClientRequest> requests) {
        if (!requests.hasNext()) {
            allSent = true;
            return;
        }
        ClientRequest request = requests.next();
        loopThread.loop.schedule(request.intendedAt().minus(origin.now()).minus(turnTimeOffset()), () -> {
            long late = Math.max(0, origin.now().minus(request.intendedAt()).toNanos() / 1000);
            // Lag counts after the warm-up only, like the figures that it would distort.
            if (request.intendedAt().minus(start).compareTo(scenario.warmUp) >= 0) {
                lag.recordValue(Math.min(late, 3_600_000_000L));
            }
            new Client(request).sendTry();
            start(requests);
        });
    }

    /** The time of the current loop turn minus the clock; never positive. */
    private Duration turnTimeOffset() {
        return loopThread.loop.now().minus(loopThread.loop.elapsed());
    }

    /** Closes idle connections, since dispatchers that shut down wait for clients that might still send. */
    public void closeIdleConnections() {
        for (ConnectionPool pool : pools) {
            pool.closeIdle();
        }
    }

    /** Whether all requests have been sent and have ended. */
    public boolean isOver() {
        return allSent && openClients == 0;
    }

    public RequestStatistics statistics() {
        return statistics;
    }

    /** Lag of the actual behind the intended send times, in microseconds. */
    public Histogram lag() {
        return lag;
    }

    /** Why the run is void; null if it is valid. */
    public String voidReason() {
        long p99 = lag.getValueAtPercentile(99);
        if (p99 <= MAX_LAG_P99_US && lag.getMaxValue() <= MAX_LAG_US) {
            return null;
        }
        return String.format(
                java.util.Locale.ROOT,
                "the load fell behind its intended times by %.1f ms at the 99th "
                        + "percentile and %.1f ms at most (allowed: %d and %d ms)",
                p99 / 1e3,
                lag.getMaxValue() / 1e3,
                MAX_LAG_P99_US / 1000,
                MAX_LAG_US / 1000);
    }

    /** When the thousandth response arrived, on the clock of the run; null before. */
    public Duration thousandthAnswerAt() {
        return thousandthAnswerAt;
    }

    public ShedSpread shedSpread() {
        return shedSpread;
    }

    private int chooseDispatcher() {
        if (scenario.traffic.firstDispatcherWeight() > 1
                && avoided.isEmpty()
                && weightedChoices++ % (pools.length - 1 + scenario.traffic.firstDispatcherWeight()) >= pools.length) {
            return 0;
        }
        for (int i = 0; i < pools.length; i++) {
            lastDispatcher = (lastDispatcher + 1) % pools.length;
            if (!avoided.contains(lastDispatcher)) {
                break;
            }
        }
        return lastDispatcher;
    }

    /** Avoids the dispatcher for a while, as a load balancer in front of it would. */
    private void markUnreachable(int dispatcher) {
        if (avoided.add(dispatcher)) {
            loopThread.loop.schedule(UNREACHABLE_AVOIDANCE, () -> avoided.remove(dispatcher));
        }
    }

    /** The client of one request, over all its tries. */
    private final class Client {
        private final ClientRequest request;
        private int tries;
        private Try current;
        private boolean finished;

        Client(ClientRequest request) {
            this.request = request;
            openClients++;
        }

        void sendTry() {
            if (tries++ == 0) {
                retryPolicy.recordFirstTry();
            }
            current = new Try(this, run + "-" + request.number() + "." + tries, chooseDispatcher());
            current.send(false);
            if (tries == 1 && retryPolicy.abandons()) {
                Try first = current;
                loopThread.loop.schedule(
                        request.plannedWorkload().workload().clientTimeout.dividedBy(2), () -> {
                            if (current == first && !finished) {
                                observer.clientLeft(origin.now(), first.id);
                                first.drop();
                                finish(null, true);
                            }
                        });
            }
        }

        void tryEnded(FinalAnswer answer, Duration retryAfter, boolean unreachable) {
            current = null;
            Duration wait = retryPolicy.nextDelay(
                    request.plannedWorkload().workload(),
                    tries,
                    unreachable ? FinalAnswer.SHED : answer,
                    retryAfter,
                    origin.now(),
                    request.intendedAt());
            if (wait == null) {
                finish(answer, false);
            } else {
                loopThread.loop.schedule(wait, this::sendTry);
            }
        }

        private void finish(FinalAnswer answer, boolean abandoned) {
            finished = true;
            openClients--;
            statistics.record(request, answer, origin.now(), tries, abandoned);
        }
    }

    /** One try of a request and its response. */
    private final class Try implements Connection.Handler {
        private final Client client;
        private final String id;
        private final int dispatcher;
        private HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
        private Connection connection;
        private Timer timeoutTimer;
        private boolean reused;
        private boolean ended;

        Try(Client client, String id, int dispatcher) {
            this.client = client;
            this.id = id;
            this.dispatcher = dispatcher;
        }

        void send(boolean isResend) {
            ClientRequest request = client.request;
            connection = pools[dispatcher].acquire(this);
            if (connection == null) {
                loopThread.loop.defer(() -> end(null, null, true));
                return;
            }
            if (!isResend) { // recorded before the write, since the response may arrive before this thread continues
                observer.requestSent(
                        origin.now(),
                        id,
                        client.request.plannedWorkload().workload(),
                        dispatcher,
                        client.request.plannedWorkload().workload().clientTimeout);
            }
            connection.beginMessage();
            reused = connection.isReused();
            Duration clientTimeout = request.plannedWorkload().workload().clientTimeout;
            connection.send(ByteBuffer.wrap(("POST /"
                            + request.plannedWorkload().name() + "/" + request.number()
                            + " HTTP/1.1\r\nHost: "
                            + LoopbackAddresses.text(addresses[dispatcher]) + "\r\nRequest-Id: " + id
                            + "\r\nRequest-Timeout-Ms: "
                            + clientTimeout.toMillis() + "\r\nIdempotency-Key: " + run + "-" + request.number() + "\r\n"
                            + (scenario.traffic.marksRetries() && client.tries > 1 ? "Client-Retry: 1\r\n" : "")
                            + StandInFleet.WORK_HEADER + ": " + Math.max(1, Math.round(request.workSeconds() * 1e6))
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
            if (!isResend) {
                // Relative to the clock rather than the turn: the first turn is long, and its timeouts would fire
                // before they are
                // due.
                timeoutTimer = loopThread.loop.schedule(
                        clientTimeout
                                .plus(scenario.answerGrace)
                                .plus(LATE_ANSWER_WAIT)
                                .minus(turnTimeOffset()),
                        () -> {
                            drop();
                            end(null, null, false);
                        });
            }
        }

        void drop() {
            ended = true;
            timeoutTimer.cancel();
            if (connection != null) {
                connection.close();
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                connection.close();
                disconnected("the response can't be parsed");
            } else if (parser.isComplete()) {
                Head head = parser.head();
                String body = new String(parser.body(), StandardCharsets.UTF_8);
                if (head.keepsAlive() && !bytes.hasRemaining()) {
                    pools[dispatcher].release(connection);
                } else {
                    connection.close();
                }
                FinalAnswer answer = switch (head.status()) {
                    case 200 -> FinalAnswer.FULFILLED;
                    case 429, 503 -> FinalAnswer.SHED;
                    default -> FinalAnswer.GIVEN_UP;
                };
                observer.answerReceived(origin.now(), id, answer, body);
                if (++answers == 1000) {
                    thousandthAnswerAt = origin.now();
                }
                end(answer, retryAfter(head), false);
            }
        }

        private Duration retryAfter(Head head) {
            String text = head.header("Retry-After");
            try {
                return text == null ? null : Duration.ofNanos((long) (Double.parseDouble(text) * 1e9));
            } catch (NumberFormatException e) {
                return null; // a date, which dispatchers don't send
            }
        }

        @Override
        public void disconnected(String cause) {
            if (ended) {
                return;
            }
            if (reused && parser.isAtStart()) { // the dispatcher closed the idle connection meanwhile: send again
                reused = false;
                send(true);
                return;
            }
            boolean unsent = connection.sendProgress().isIncomplete();
            if (unsent) {
                observer.clientLeft(origin.now(), id); // no dispatcher has received it
                markUnreachable(dispatcher);
            } else if (!connection.isReused() && parser.isAtStart()) {
                observer.newConnectionClosed(origin.now(), id);
            } else {
                observer.connectionLost(origin.now(), id);
            }
            end(null, null, unsent);
        }

        private void end(FinalAnswer answer, Duration retryAfter, boolean unreachable) {
            ended = true;
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
            }
            shedSpread.recordTry(
                    dispatcher, client.request.plannedWorkload().workload().importance, answer == FinalAnswer.SHED);
            client.tryEnded(answer, retryAfter, unreachable);
        }
    }
}
