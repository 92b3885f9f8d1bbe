package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.Pool;
import saltdale.transport.Timer;

/** One call of a runner to a dispatcher. */
final class NewsCall implements Connection.Owner {
    /** A call that has no answer by then has none. */
    static final Duration LIMIT = Duration.ofSeconds(2);

    private final LoopThread loopThread;
    private final Pool pool;
    private final byte[] call;
    private final Consumer<Boolean> after;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private Timer limit;

    NewsCall(LoopThread loopThread, Pool pool, byte[] call, Consumer<Boolean> after) {
        this.loopThread = loopThread;
        this.pool = pool;
        this.call = call;
        this.after = after;
    }

    void begin() {
        connection = pool.take(this);
        if (connection == null) {
            loopThread.loop.soon(() -> after.accept(false));
            return;
        }
        connection.send(ByteBuffer.wrap(call));
        limit = loopThread.loop.after(LIMIT, () -> {
            connection.close();
            after.accept(false);
        });
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.take(bytes);
        if (parser.bad()) {
            connection.close();
            end(false);
        } else if (parser.whole()) {
            if (parser.head().keepsAlive()) {
                pool.rest(connection);
            } else {
                connection.close();
            }
            int status = parser.head().status();
            end(status == 200 || status == 204 || status == 400);
        }
    }

    @Override
    public void ended(String cause) {
        end(false);
    }

    private void end(boolean heard) {
        limit.cancel();
        after.accept(heard);
    }
}
