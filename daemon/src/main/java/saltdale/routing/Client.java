package saltdale.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;
import saltdale.transport.Sockets;
import saltdale.transport.Timer;

/** A connection that was accepted: requests come on it one after the other. */
final class Client implements Connection.Owner {
    private static final byte[] NOTHING = new byte[0];
    private static final ByteBuffer NOTHING_AHEAD = ByteBuffer.allocate(0);
    /** How long a request may take to come, from its first byte, the first one on a connection from its beginning. */
    private static final Duration WHOLE_WITHIN = Duration.ofMillis(2500);

    private final Router router;
    private final Connection connection;
    private final boolean oneTooMany;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    private final Runnable drop = this::drop;
    private ByteBuffer ahead = NOTHING_AHEAD;  // what has come and is not yet parsed
    private boolean going;
    private boolean serving;
    private boolean keepsAlive;
    private boolean told;  // that the body may come
    private boolean stranger = true;  // none of its requests has been taken so far
    private int refusals;  // in a row
    private Timer limit;  // of the request that is coming
    /** The assignment being served; null where there is none. */
    private Held held;

    Client(Router router, Connection connection, boolean oneTooMany) {
        this.router = router;
        this.connection = connection;
        this.oneTooMany = oneTooMany;
        connection.owner(this);
        limit = router.loop().after(WHOLE_WITHIN, this::tooSlow);
        router.sockets().idle(Sockets.Rank.STRANGER, drop);
    }

    void serves(Held assignment) {
        held = assignment;
    }

    /** True where there was no room for it but to turn it away. */
    boolean isOneTooMany() {
        return oneTooMany;
    }

    /** True where no request has begun to come. */
    boolean isIdle() {
        return !serving && parser.untouched();
    }

    /** Closes the connection unless a request is being served. One that has not wholly come was not taken. */
    void drop() {
        if (!serving) {
            leave();
            connection.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        ByteBuffer both = ByteBuffer.allocate(ahead.remaining() + bytes.remaining());
        ahead = both.put(ahead).put(bytes).flip();
        if (serving && ahead.remaining() > HttpParser.MOST_BODY) {
            connection.reading(false);
        }
        goOn();
    }

    /** Takes what has come, a request at a time. A loop: many requests behind one another must not nest. */
    private void goOn() {
        if (going) {
            return;
        }
        going = true;
        while (!serving && ahead.hasRemaining()) {
            parse();
        }
        ahead = ahead.hasRemaining() ? ahead : NOTHING_AHEAD;
        going = false;
        if (isIdle()) {
            router.sockets().idle(stranger ? Sockets.Rank.STRANGER : Sockets.Rank.CLIENT, drop);
        }
    }

    /** Guards against clients that hold a connection with a request that never ends, or with none. */
    private void tooSlow() {
        limit = null;
        router.counters().tooSlow++;
        if (parser.untouched()) {
            drop();
        } else {
            refuse(408, "the request took too long to come");
        }
    }

    private void refuse(int status, String why) {
        router.counters().badRequests++;
        keepsAlive = false;
        came();
        answer(status, "", why);
    }

    /** A request has come, or what there was of one is answered. */
    private void came() {
        serving = true;
        router.sockets().busy(drop);
        if (limit != null) {
            limit.cancel();
            limit = null;
        }
    }

    private void parse() {
        if (limit == null) {
            limit = router.loop().after(WHOLE_WITHIN, this::tooSlow);
            if (!stranger) {
                router.sockets().busy(drop);
            }
        }
        parser.take(ahead);
        if (parser.bad()) {
            refuse(parser.faultStatus(), parser.fault());
        } else if (parser.whole()) {
            came();
            Head head = parser.head();
            keepsAlive = head.keepsAlive() && head.isCurrent();
            byte[] body = parser.body();
            parser.next();
            told = false;
            router.requested(this, head, body);
        } else if (parser.head() != null && parser.head().expectsContinue() && !told) {
            told = true;
            connection.send(HttpWriter.goOn());
        }
    }

    void answer(int status, String more, String text) {
        answer(status, more, text.isEmpty() ? NOTHING : (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Answers the request being served and goes on to the next one. */
    void answer(int status, String more, byte[] body) {
        held = null;
        boolean refused = status >= 400 && status < 500;
        // Guards against hundreds of bad requests in one turn: a usual client sends one at a time.
        boolean close = !keepsAlive || oneTooMany || router.closes(status) || refused && ahead.hasRemaining();
        connection.send(ByteBuffer.wrap(HttpWriter.answer(status, more, body.length, close)), ByteBuffer.wrap(body));
        if (close) {
            leave();
            connection.finish();
            return;
        }
        serving = false;
        stranger &= status >= 400;
        refusals = refused ? Math.min(refusals + 1, 7) : 0;
        connection.reading(!refused);
        if (refused) {  // guards against the same again as soon as it is turned away, as fast as it can be sent
            router.loop().after(Duration.ofMillis(5L << refusals), () -> connection.reading(true));
        }
        goOn();
    }

    private void leave() {
        if (limit != null) {
            limit.cancel();
        }
        router.sockets().busy(drop);
        router.left(this);
    }

    @Override
    public void ended(String cause) {
        leave();
        if (held != null) {
            router.clientGone(held);
            held = null;
        }
    }
}
