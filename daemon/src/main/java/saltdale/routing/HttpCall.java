package saltdale.routing;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.ConnectionPool;
import saltdale.transport.EventLoop;
import saltdale.transport.SendProgress;
import saltdale.transport.Timer;

/** One outgoing HTTP request on a pooled connection, until its response has arrived or the call has failed. */
final class HttpCall implements Connection.Handler {
    /** Receives the result of a call: exactly one of {@link #onResponse} and {@link #onFailure} is called, once. */
    interface Callback {
        /** The response has arrived. */
        void onResponse(Head head, byte[] body);

        /**
         * Takes over the connection of a complete response, which would otherwise return to the pool. Returns false to
         * leave it to the pool.
         */
        default boolean retainConnection(Head head, Connection connection) {
            return false;
        }

        /**
         * The call ended without a response; {@code progress} tells how far the request had been sent, and
         * {@code malformed} is true if the peer sent something that is not an HTTP response.
         */
        void onFailure(SendProgress progress, boolean malformed);
    }

    private final ConnectionPool pool;
    private final Callback callback;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private Timer timeout;
    private boolean finished;

    private HttpCall(ConnectionPool pool, Callback callback) {
        this.pool = pool;
        this.callback = callback;
    }

    /** Starts a call on a connection of the pool; returns null if no socket is available. */
    static HttpCall start(ConnectionPool pool, Callback callback, byte[]... request) {
        HttpCall call = new HttpCall(pool, callback);
        Connection connection = pool.acquire(call);
        return connection == null ? null : call.send(connection, request);
    }

    /** Starts a call on a connection that is open and idle. */
    static HttpCall start(ConnectionPool pool, Connection connection, Callback callback, byte[]... request) {
        HttpCall call = new HttpCall(pool, callback);
        connection.setHandler(call);
        return call.send(connection, request);
    }

    private HttpCall send(Connection openConnection, byte[]... request) {
        connection = openConnection;
        connection.beginMessage();
        connection.send(Arrays.stream(request).map(ByteBuffer::wrap).toArray(ByteBuffer[]::new));
        return this;
    }

    /** Sets a timeout: if no response has arrived by then, the call is abandoned and reported as failed. */
    void setTimeout(EventLoop loop, Duration duration) {
        timeout = loop.schedule(duration, () -> {
            abandon();
            callback.onFailure(connection.sendProgress(), false);
        });
    }

    /** Returns whether the call uses a connection that earlier calls have used. */
    boolean isReused() {
        return connection.isReused();
    }

    /** Returns how far the request has been sent. */
    SendProgress progress() {
        return connection.sendProgress();
    }

    /**
     * Abandons the call by closing its connection, without a callback. Returns false if the call had already finished.
     */
    boolean abandon() {
        boolean inProgress = !finished;
        if (inProgress) {
            finish();
            connection.close();
        }
        return inProgress;
    }

    private void finish() {
        finished = true;
        if (timeout != null) {
            timeout.cancel();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isMalformed()) {
            finish();
            connection.close();
            callback.onFailure(connection.sendProgress(), true);
        } else if (parser.isComplete()) {
            finish();
            // Bytes after the response belong to no request of this dispatcher, so the connection is not reused.
            if (!parser.head().keepsAlive()
                    || bytes.hasRemaining()
                    || connection.sendProgress() != SendProgress.WRITTEN) {
                connection.close();
            } else if (!callback.retainConnection(parser.head(), connection)) {
                pool.release(connection);
            }
            callback.onResponse(parser.head(), parser.body());
        }
    }

    @Override
    public void disconnected(String cause) {
        finish();
        parser.endOfInput();
        if (parser.isComplete()) {
            callback.onResponse(parser.head(), parser.body());
        } else {
            callback.onFailure(connection.sendProgress(), false);
        }
    }
}
