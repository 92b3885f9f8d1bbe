package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.Loop;
import saltdale.transport.Pool;
import saltdale.transport.Timer;

/** One call of our own over HTTP, with its whole answer. */
final class OutgoingCall implements Connection.Owner {
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private final Pool pool;
    private final Consumer<HttpParser> answer;
    private final Timer limit;
    private final Connection connection;
    private boolean over;

    private OutgoingCall(Loop loop, Pool pool, Duration within, Consumer<HttpParser> answer) {
        this.pool = pool;
        this.answer = answer;
        limit = loop.after(within, () -> end(null));
        connection = pool.take(this);
    }

    /** Tells the whole answer, or null where none came in time. */
    static void begin(Loop loop, Pool pool, Duration within, byte[] head, byte[] body, Consumer<HttpParser> answer) {
        OutgoingCall asked = new OutgoingCall(loop, pool, within, answer);
        if (asked.connection == null) {
            loop.soon(() -> asked.end(null));
            return;
        }
        asked.connection.beginMessage();
        asked.connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.take(bytes);
        if (parser.whole()) {
            end(parser);
        } else if (parser.bad()) {
            end(null);
        }
    }

    @Override
    public void ended(String cause) {
        parser.end();
        end(parser.whole() ? parser : null);
    }

    private void end(HttpParser whole) {
        if (over) {
            return;
        }
        over = true;
        limit.cancel();
        if (connection != null) {
            if (whole != null && whole.framed() && whole.head().keepsAlive()) {
                pool.rest(connection);
            } else {
                connection.close();
            }
        }
        answer.accept(whole);
    }
}
