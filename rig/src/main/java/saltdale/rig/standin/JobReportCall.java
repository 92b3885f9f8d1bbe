package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Timer;

/** One call of a runner to a dispatcher. */
final class JobReportCall implements Connection.Handler {
    /** A call that has no answer by then has none. */
    static final Duration LIMIT = Duration.ofSeconds(2);

    private final LoopThread loopThread;
    private final ConnectionPool pool;
    private final byte[] call;
    private final Consumer<Boolean> after;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private Timer limit;

    JobReportCall(LoopThread loopThread, ConnectionPool pool, byte[] call, Consumer<Boolean> after) {
        this.loopThread = loopThread;
        this.pool = pool;
        this.call = call;
        this.after = after;
    }

    void begin() {
        connection = pool.acquire(this);
        if (connection == null) {
            loopThread.loop.defer(() -> after.accept(false));
            return;
        }
        connection.send(ByteBuffer.wrap(call));
        limit = loopThread.loop.schedule(LIMIT, () -> {
            connection.close();
            after.accept(false);
        });
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isMalformed()) {
            connection.close();
            end(false);
        } else if (parser.isComplete()) {
            if (parser.head().keepsAlive()) {
                pool.release(connection);
            } else {
                connection.close();
            }
            int status = parser.head().status();
            end(status == 200 || status == 204 || status == 400);
        }
    }

    @Override
    public void disconnected(String cause) {
        end(false);
    }

    private void end(boolean heard) {
        limit.cancel();
        after.accept(heard);
    }
}
