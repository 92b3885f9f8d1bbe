package saltdale.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;

/** A connection that was accepted: requests come on it one after the other. */
final class Client implements Connection.Owner {
    private static final byte[] NOTHING = new byte[0];

    private final Router router;
    private final Connection connection;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    private final Runnable dropIdle = this::dropIdle;
    private ByteBuffer ahead = ByteBuffer.allocate(0);  // what came behind the request being served
    private boolean serving;
    private boolean keepsAlive;
    private boolean told;  // that the body may come
    /** The assignment being served; null where there is none. */
    private Held held;

    Client(Router router, Connection connection) {
        this.router = router;
        this.connection = connection;
        connection.owner(this);
        idle();
    }

    void serves(Held assignment) {
        held = assignment;
    }

    /** True where no request has begun to come. */
    boolean isIdle() {
        return !serving && parser.untouched();
    }

    void dropIdle() {
        if (isIdle()) {
            leave();
            connection.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (serving) {
            keepAhead(bytes);
        } else {
            parse(bytes);
        }
    }

    private void keepAhead(ByteBuffer bytes) {
        ByteBuffer both = ByteBuffer.allocate(ahead.remaining() + bytes.remaining());
        ahead = both.put(ahead).put(bytes).flip();
        if (ahead.remaining() > HttpParser.MOST_BODY) {
            connection.reading(false);
        }
    }

    private void parse(ByteBuffer bytes) {
        router.sockets().busy(dropIdle);
        parser.take(bytes);
        if (parser.bad()) {
            router.badRequest();
            keepsAlive = false;
            serving = true;
            answer(parser.faultStatus(), "", parser.fault());
        } else if (parser.whole()) {
            serving = true;
            keepAhead(bytes);
            Head head = parser.head();
            keepsAlive = head.keepsAlive() && head.isCurrent();
            byte[] body = parser.body();
            parser.next();
            told = false;
            router.requested(this, head, body);
        } else if (parser.untouched()) {
            idle();
        } else if (parser.head() != null && parser.head().expectsContinue() && !told) {
            told = true;
            connection.send(HttpWriter.goOn());
        }
    }

    void answer(int status, String more, String text) {
        answer(status, more, text.isEmpty() ? NOTHING : (text + "\n").getBytes(
                StandardCharsets.UTF_8));
    }

    /** Answers the request being served and goes on to the next one. */
    void answer(int status, String more, byte[] body) {
        held = null;
        boolean close = !keepsAlive || router.ending();
        connection.send(HttpWriter.answer(status, more, body, close));
        if (close) {
            leave();
            connection.finish();
            return;
        }
        serving = false;
        connection.reading(true);
        if (ahead.hasRemaining()) {
            ByteBuffer next = ahead;
            ahead = ByteBuffer.allocate(0);
            parse(next);
        } else {
            idle();
        }
    }

    private void idle() {
        router.sockets().idle(dropIdle);
    }

    private void leave() {
        router.sockets().busy(dropIdle);
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
