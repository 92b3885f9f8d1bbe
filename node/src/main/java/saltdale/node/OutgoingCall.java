package saltdale.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.Timer;

/** An HTTP request that this process sends on its own behalf, together with the complete response to it. */
final class OutgoingCall implements Connection.Handler {
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private final ConnectionPool pool;
    private final Consumer<HttpParser> onResponse;
    private final Timer timeoutTimer;
    private final Connection connection;
    private boolean finished;

    private OutgoingCall(EventLoop loop, ConnectionPool pool, Duration timeout, Consumer<HttpParser> onResponse) {
        this.pool = pool;
        this.onResponse = onResponse;
        timeoutTimer = loop.schedule(timeout, () -> finish(null));
        connection = pool.acquire(this);
    }

    /** Sends a request; passes the complete response to {@code onResponse}, or null if none arrives in time. */
    static void start(
            EventLoop loop,
            ConnectionPool pool,
            Duration timeout,
            byte[] head,
            byte[] body,
            Consumer<HttpParser> onResponse) {
        OutgoingCall call = new OutgoingCall(loop, pool, timeout, onResponse);
        if (call.connection == null) {
            loop.defer(() -> call.finish(null));
            return;
        }
        call.connection.beginMessage();
        call.connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isComplete()) {
            finish(parser);
        } else if (parser.isMalformed()) {
            finish(null);
        }
    }

    @Override
    public void disconnected(String cause) {
        parser.endOfInput();
        finish(parser.isComplete() ? parser : null);
    }

    private void finish(HttpParser response) {
        if (finished) {
            return;
        }
        finished = true;
        timeoutTimer.cancel();
        try {
            endConnection(response);
        } finally {
            onResponse.accept(response); // whoever waits for it makes no other call meanwhile
        }
    }

    private void endConnection(HttpParser response) {
        if (connection == null) {
            return;
        }
        if (response != null && response.isBodyDelimited() && response.head().keepsAlive()) {
            pool.release(connection);
        } else {
            connection.close();
        }
    }
}
