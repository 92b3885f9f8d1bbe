package saltdale.serving;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;
import saltdale.transport.Loop;
import saltdale.transport.Sockets;
import saltdale.transport.Timer;

/** A connection that was accepted: requests come on it one after the other. */
public final class Visit implements Connection.Owner {
    /** Whom the requests are for. */
    public interface Host {
        Loop loop();

        Sockets sockets();

        /** A whole request; it is answered now or later, by {@link Visit#answer} or {@link Visit#passBack}. */
        void requested(Visit visit, Head head, byte[] body);

        /** The connection is over; what was being served, if anything, is told before by {@link #abandoned}. */
        void left(Visit visit);

        /** The client ended the connection while its request was being served. */
        void abandoned(Visit visit);

        /** Whether the connection is to be closed with this answer. */
        boolean closes(int status);

        /** What a client may send; asked before each request. */
        HttpParser.Limits limits();

        /** How long a request may take to come, from its first byte, the first one from the connection's beginning. */
        Duration wholeWithin();

        /** How long a connection may rest between two requests; null where only want of room ends it. */
        default Duration restsWithin() {
            return null;
        }

        /** A request was malformed or too slow. */
        default void refused(boolean tooSlow) {}
    }

    private static final byte[] NOTHING = new byte[0];
    private static final ByteBuffer NOTHING_AHEAD = ByteBuffer.allocate(0);

    private final Host host;
    private final Connection connection;
    private final boolean oneTooMany;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    private final Runnable drop = this::drop;
    private ByteBuffer ahead = NOTHING_AHEAD; // what has come and is not yet parsed
    private boolean going;
    private boolean serving;
    private boolean keepsAlive;
    private boolean told; // that the body may come
    private boolean stranger = true; // none of its requests has been taken so far
    private int refusals; // in a row
    private Timer limit; // of the request that is coming, or of the rest between two
    private boolean resting;
    /** What is being served; null where nothing is. */
    public Object held;

    public Visit(Host host, Connection connection, boolean oneTooMany) {
        this.host = host;
        this.connection = connection;
        this.oneTooMany = oneTooMany;
        connection.owner(this);
        parser.limits(host.limits());
        limit = host.loop().after(host.wholeWithin(), this::tooSlow);
        host.sockets().idle(Sockets.Rank.STRANGER, drop);
    }

    /** Who is at the other end: an address in numbers, or null. */
    public String peer() {
        return connection.peer();
    }

    /** True where there was no room for it but to turn it away. */
    public boolean isOneTooMany() {
        return oneTooMany;
    }

    /** True where no request has begun to come. */
    public boolean isIdle() {
        return !serving && parser.untouched();
    }

    /** Whether the last answer has wholly left us: else to drop the connection would cut it short. */
    public boolean isFlushed() {
        return connection.isFlushed();
    }

    /** Closes the connection unless a request is being served. One that has not wholly come was not taken. */
    public void drop() {
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
            host.sockets().idle(stranger ? Sockets.Rank.STRANGER : Sockets.Rank.CLIENT, drop);
            if (limit == null && host.restsWithin() != null) {
                resting = true;
                limit = host.loop().after(host.restsWithin(), this::rested);
            }
        }
    }

    private void rested() {
        resting = false;
        limit = null;
        drop();
    }

    /** Guards against clients that hold a connection with a request that never ends, or with none. */
    private void tooSlow() {
        limit = null;
        host.refused(true);
        if (parser.untouched()) {
            drop();
        } else {
            refuse(408, "the request took too long to come");
        }
    }

    private void refuse(int status, String why) {
        host.refused(false);
        keepsAlive = false;
        came();
        answer(status, "", why);
    }

    /** A request has come, or what there was of one is answered. */
    private void came() {
        serving = true;
        host.sockets().busy(drop);
        if (limit != null) {
            limit.cancel();
            limit = null;
        }
    }

    private void parse() {
        if (resting) {
            resting = false;
            limit.cancel();
            limit = null;
        }
        if (limit == null) {
            limit = host.loop().after(host.wholeWithin(), this::tooSlow);
            if (!stranger) {
                host.sockets().busy(drop);
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
            parser.limits(host.limits());
            told = false;
            host.requested(this, head, body);
        } else if (parser.head() != null && parser.head().expectsContinue() && !told) {
            told = true;
            connection.send(HttpWriter.goOn());
        }
    }

    public void answer(int status, String more, String text) {
        answer(status, more, text.isEmpty() ? NOTHING : (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Answers the request being served and goes on to the next one. */
    public void answer(int status, String more, byte[] body) {
        boolean refused = status >= 400 && status < 500;
        // Guards against hundreds of bad requests in one turn: a usual client sends one at a time.
        boolean close = !keepsAlive || oneTooMany || host.closes(status) || refused && ahead.hasRemaining();
        answered(HttpWriter.answer(status, more, body.length, close), body, status, close);
    }

    /** Answers it with a runner's answer, whatever its status. */
    public void passBack(Head head, byte[] body) {
        boolean close = !keepsAlive || oneTooMany || host.closes(200);
        answered(HttpWriter.passedBack(head, body.length, close), body, 200, close);
    }

    private void answered(byte[] head, byte[] body, int status, boolean close) {
        held = null;
        boolean refused = status >= 400 && status < 500;
        connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
        if (close) {
            leave();
            connection.finish();
            return;
        }
        serving = false;
        stranger &= status >= 400;
        refusals = refused ? Math.min(refusals + 1, 7) : 0;
        connection.reading(!refused);
        if (refused) { // guards against the same again as soon as it is turned away, as fast as it can be sent
            host.loop().after(Duration.ofMillis(5L << refusals), () -> connection.reading(true));
        }
        goOn();
    }

    private void leave() {
        if (limit != null) {
            limit.cancel();
            limit = null;
        }
        host.sockets().busy(drop);
        host.left(this);
    }

    @Override
    public void ended(String cause) {
        leave();
        if (held != null) {
            host.abandoned(this);
            held = null;
        }
    }
}
