package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.Timer;

/** One HTTP request that delivers a runner's job report to a dispatcher. */
final class JobReportCall implements Connection.Handler {
    /** A request without a response within this time counts as unanswered. */
    static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final LoopThread loopThread;
    private final ConnectionPool pool;
    private final byte[] request;
    private final Consumer<Boolean> onEnd;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private Timer timeout;

    JobReportCall(LoopThread loopThread, ConnectionPool pool, byte[] request, Consumer<Boolean> onEnd) {
        this.loopThread = loopThread;
        this.pool = pool;
        this.request = request;
        this.onEnd = onEnd;
    }

    void start() {
        connection = pool.acquire(this);
        if (connection == null) {
            loopThread.loop.defer(() -> onEnd.accept(false));
            return;
        }
        connection.send(ByteBuffer.wrap(request));
        timeout = loopThread.loop.schedule(TIMEOUT, () -> {
            connection.close();
            onEnd.accept(false);
        });
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isMalformed()) {
            connection.close();
            finish(false);
        } else if (parser.isComplete()) {
            if (parser.head().keepsAlive()) {
                pool.release(connection);
            } else {
                connection.close();
            }
            int status = parser.head().status();
            finish(status == 200 || status == 204 || status == 400);
        }
    }

    @Override
    public void disconnected(String cause) {
        finish(false);
    }

    private void finish(boolean answered) {
        timeout.cancel();
        onEnd.accept(answered);
    }
}
