package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.Timer;

/** One call of our own over HTTP, with its whole answer. */
final class OutgoingCall implements Connection.Handler {
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private final ConnectionPool pool;
    private final Consumer<HttpParser> answer;
    private final Timer limit;
    private final Connection connection;
    private boolean over;

    private OutgoingCall(EventLoop loop, ConnectionPool pool, Duration within, Consumer<HttpParser> answer) {
        this.pool = pool;
        this.answer = answer;
        limit = loop.schedule(within, () -> end(null));
        connection = pool.acquire(this);
    }

    /** Tells the whole answer, or null where none came in time. */
    static void begin(
            EventLoop loop,
            ConnectionPool pool,
            Duration within,
            byte[] head,
            byte[] body,
            Consumer<HttpParser> answer) {
        OutgoingCall asked = new OutgoingCall(loop, pool, within, answer);
        if (asked.connection == null) {
            loop.defer(() -> asked.end(null));
            return;
        }
        asked.connection.beginMessage();
        asked.connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isComplete()) {
            end(parser);
        } else if (parser.isMalformed()) {
            end(null);
        }
    }

    @Override
    public void disconnected(String cause) {
        parser.endOfInput();
        end(parser.isComplete() ? parser : null);
    }

    private void end(HttpParser whole) {
        if (over) {
            return;
        }
        over = true;
        limit.cancel();
        if (connection != null) {
            if (whole != null && whole.isBodyDelimited() && whole.head().keepsAlive()) {
                pool.release(connection);
            } else {
                connection.close();
            }
        }
        answer.accept(whole);
    }
}
