package saltdale.rig.platform.live;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.platform.EntryPoint;
import saltdale.rig.platform.Judge;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Retrying;
import saltdale.rig.platform.Route;
import saltdale.rig.platform.Site;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.Origin;
import saltdale.transport.Address;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/** Clients: an open loop of requests to the fronts, and the probes that say which front is in. Used on the loop. */
final class Callers {
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);
    private static final Duration PROBE_EVERY = Duration.ofSeconds(1);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(4);
    private static final int CLIENTS = 100;
    private static final double KEEP = 0.8; // of the tries come on a kept connection, where there is one
    private static final double CHUNKED = 0.25; // of the bodies

    private final LoopThread loopThread;
    private final Origin origin;
    private final Judge judge;
    private final EntryPoint entry;
    private final SplittableRandom chance;
    private final Map<Machine, Deque<Kept>> kept = new HashMap<>();
    private final Map<Machine, Duration> readyAt = new HashMap<>();
    private List<Route> routes;
    private double perSecond;
    private boolean sending;
    private long number;
    private long open;

    Callers(LoopThread loopThread, Origin origin, Site site, Judge judge, long seed) {
        this.loopThread = loopThread;
        this.origin = origin;
        this.judge = judge;
        routes = site.routes();
        chance = new SplittableRandom(seed);
        entry = new EntryPoint(site.proxies());
        for (Machine proxy : site.proxies()) {
            kept.put(proxy, new ArrayDeque<>());
            probe(proxy);
        }
    }

    boolean isIn(Machine proxy) {
        return entry.isIn(proxy);
    }

    /** Whether it has called itself ready since then. */
    boolean isReadySince(Machine proxy, Duration then) {
        return readyAt.getOrDefault(proxy, Duration.ZERO).compareTo(then) > 0;
    }

    long open() {
        return open;
    }

    private void probe(Machine proxy) {
        HttpCall.send(
                loopThread,
                Address.parse(proxy.at(Machine.READINESS)),
                "GET",
                "/readiness",
                "",
                new byte[0],
                PROBE_EVERY,
                answer -> {
                    boolean ready = answer != null && answer.status() == 200;
                    entry.probed(proxy, ready);
                    if (ready) {
                        readyAt.put(proxy, origin.now());
                    }
                });
        loopThread.loop.schedule(PROBE_EVERY, () -> probe(proxy));
    }

    void begin(double rate) {
        perSecond = rate;
        sending = true;
        next(origin.now());
    }

    void end() {
        sending = false;
    }

    /** What is called from now on. */
    void routes(List<Route> those) {
        routes = those;
    }

    /** Guards against a load that falls behind: a call's time is fixed by the one before, not by its sending. */
    private void next(Duration before) {
        Duration at = before.plusNanos((long) (-Math.log(1 - chance.nextDouble()) / perSecond * 1e9));
        loopThread.loop.schedule(at.minus(origin.now()), () -> {
            if (sending) {
                new Customer(draw(), at).sendTry();
                next(at);
            }
        });
    }

    private Route draw() {
        double drawn =
                chance.nextDouble() * routes.stream().mapToDouble(Route::share).sum();
        for (Route route : routes) {
            drawn -= route.share();
            if (drawn < 0) {
                return route;
            }
        }
        return routes.get(0);
    }

    /** One thing that a client wants, over all its tries. */
    private final class Customer {
        final Route route;
        final Duration firstAt;
        private final String zone = Site.ZONES.get(chance.nextInt(Site.ZONES.size()));
        private final int hash = chance.nextInt(CLIENTS);
        private final long wanted = number++;
        private int tries;

        Customer(Route route, Duration at) {
            this.route = route;
            firstAt = at;
            open++;
        }

        Duration remaining() {
            return firstAt.plus(route.deadline()).minus(origin.now());
        }

        void sendTry() {
            new Try(this, entry.choose(zone, hash, tries), tries++ > 0).send(wanted);
        }

        /** {@code status}: 0 where no answer came. */
        void over(int status, boolean unread, Duration retryAfter) {
            Duration remaining = remaining();
            Duration wait = remaining.isNegative()
                    ? null
                    : Retrying.next(route.idempotent(), tries, status, unread, retryAfter, remaining);
            if (wait != null) {
                loopThread.loop.schedule(wait, this::sendTry);
            } else {
                open--;
                judge.over(route, origin.now().minus(firstAt), status);
            }
        }
    }

    /** A connection between two requests. */
    private final class Kept implements Connection.Handler {
        private final Machine machine;
        private final Connection connection;
        private final Timer limit;

        Kept(Machine machine, Connection connection, Duration rest) {
            this.machine = machine;
            this.connection = connection;
            connection.setHandler(this);
            limit = loopThread.loop.schedule(rest, this::drop);
            kept.get(machine).addFirst(this);
        }

        Connection take(Connection.Handler next) {
            limit.cancel();
            connection.setHandler(next);
            return connection;
        }

        private void drop() {
            disconnected(null);
            connection.close();
        }

        @Override
        public void received(ByteBuffer bytes) {
            judge.garbage(origin.now(), null);
            drop();
        }

        @Override
        public void disconnected(String cause) {
            limit.cancel();
            kept.get(machine).remove(this);
        }
    }

    /** One request and its answer. */
    private final class Try implements Connection.Handler {
        private final Customer customer;
        private final Machine machine;
        private final boolean fresh;
        private final String id = String.format("%016x", chance.nextLong());
        private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
        private Connection connection;
        private Timer limit;

        Try(Customer customer, Machine machine, boolean fresh) {
            this.customer = customer;
            this.machine = machine;
            this.fresh = fresh;
        }

        void send(long wanted) {
            InetSocketAddress at = Address.parse(machine.at(Machine.FRONT));
            Kept rested = fresh || chance.nextDouble() > KEEP
                    ? null
                    : kept.get(machine).poll();
            connection = rested != null
                    ? rested.take(this)
                    : Connection.connect(loopThread.loop, loopThread.sockets, at, CONNECT_LIMIT, this);
            if (connection == null) {
                loopThread.loop.defer(() -> customer.over(0, true, null));
                return;
            }
            Route route = customer.route;
            boolean post = !route.idempotent() || wanted % 2 == 0;
            String target = route.pathPrefix() + Long.toHexString(wanted) + (wanted % 3 == 0 ? "?of=" + wanted : "");
            String body = post ? "wanted-" + wanted : "";
            String method = post ? "POST" : "GET";
            judge.sent(origin.now(), id, route, method + " " + target + " " + body, machine.name());
            Duration remaining = customer.remaining();
            connection.beginMessage();
            connection.send(ByteBuffer.wrap((method + " " + target + " HTTP/1.1\r\nHost: " + route.hostname()
                            + "\r\nX-Saltdale-Attempt-Id: " + id + "\r\nX-Saltdale-Deadline-Remaining: "
                            + Math.max(1, remaining.toMillis()) + "\r\n" + framed(body, chance.nextDouble() < CHUNKED))
                    .getBytes(StandardCharsets.US_ASCII)));
            limit = loopThread.loop.schedule(remaining, () -> {
                connection.close();
                customer.over(0, false, null);
            });
        }

        @Override
        public void received(ByteBuffer bytes) {
            parser.parse(bytes);
            if (parser.isMalformed()) {
                judge.garbage(origin.now(), id);
                connection.close();
                disconnected("no answer that can be read");
            } else if (parser.isComplete()) {
                boolean more = bytes.hasRemaining();
                if (more) {
                    judge.garbage(origin.now(), null);
                }
                answered(more);
            }
        }

        private void answered(boolean more) {
            limit.cancel();
            Head head = parser.head();
            Duration rest = rest(head);
            if (more || rest == null) {
                connection.close();
            } else {
                new Kept(machine, connection, rest);
            }
            judge.answered(
                    origin.now(),
                    id,
                    head.status(),
                    head.header("X-Saltdale-Runner-Seal"),
                    head.header("X-Saltdale-Attempt-Id"),
                    parser.body());
            customer.over(head.status(), false, seconds(head.header("Retry-After")));
        }

        @Override
        public void disconnected(String cause) {
            parser.endOfInput();
            if (parser.isComplete()) {
                answered(true);
                return;
            }
            limit.cancel();
            customer.over(0, connection.sendProgress().isIncomplete(), null);
        }
    }

    /** How long a connection may rest after this answer; null where it is to be closed. */
    private static Duration rest(Head head) {
        if (!head.keepsAlive()) {
            return null;
        }
        String text = head.header("Keep-Alive");
        for (String part : text == null ? new String[0] : text.split(",")) {
            if (part.strip().matches("timeout=\\d{1,6}")) {
                Duration told = Duration.ofSeconds(Long.parseLong(part.strip().substring("timeout=".length())))
                        .minusMillis(500);
                return told.isNegative() ? null : told.compareTo(IDLE_LIMIT) < 0 ? told : IDLE_LIMIT;
            }
        }
        return IDLE_LIMIT;
    }

    private static Duration seconds(String text) {
        return text != null && text.matches("\\d{1,6}(\\.\\d{1,9})?")
                ? Duration.ofNanos((long) (Double.parseDouble(text) * 1e9))
                : null;
    }

    /** The rest of a request: how its body is framed, and the body. */
    private static String framed(String body, boolean chunked) {
        if (body.isEmpty()) {
            return "\r\n";
        } else if (!chunked) {
            return "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        List<String> chunks =
                new ArrayList<>(List.of(body.substring(0, body.length() / 2), body.substring(body.length() / 2), ""));
        StringBuilder text = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
        chunks.forEach(chunk -> text.append(Integer.toHexString(chunk.length()))
                .append("\r\n")
                .append(chunk)
                .append("\r\n"));
        return text.toString();
    }
}
