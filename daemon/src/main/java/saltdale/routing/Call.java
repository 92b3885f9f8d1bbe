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

/** One request of ours on a pooled connection, until its answer or its end. */
final class Call implements Connection.Handler {
    /** Who waits for it; one of these is called, once. */
    interface Back {
        void answered(Head head, byte[] body);

        /** Takes over the connection of an answer, which would else rest in the pool; false to leave it there. */
        default boolean keeps(Head head, Connection connection) {
            return false;
        }

        /** It ended without an answer, having come so far; {@code malformed} where what came was no answer. */
        void broke(SendProgress reach, boolean malformed);
    }

    private final ConnectionPool pool;
    private final Back back;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private Timer limit;
    private boolean over;

    private Call(ConnectionPool pool, Back back) {
        this.pool = pool;
        this.back = back;
    }

    /** Begins it; null where no socket is to be had. */
    static Call begin(ConnectionPool pool, Back back, byte[]... request) {
        Call call = new Call(pool, back);
        Connection connection = pool.acquire(call);
        return connection == null ? null : call.on(connection, request);
    }

    /** Begins it on a connection that stands open and quiet. */
    static Call begin(ConnectionPool pool, Connection connection, Back back, byte[]... request) {
        Call call = new Call(pool, back);
        connection.setHandler(call);
        return call.on(connection, request);
    }

    private Call on(Connection open, byte[]... request) {
        connection = open;
        connection.beginMessage();
        connection.send(Arrays.stream(request).map(ByteBuffer::wrap).toArray(ByteBuffer[]::new));
        return this;
    }

    /** Where no answer has come by then, it is given up and has broken. */
    void within(EventLoop loop, Duration span) {
        limit = loop.schedule(span, () -> {
            abandon();
            back.broke(connection.sendProgress(), false);
        });
    }

    boolean isReused() {
        return connection.isReused();
    }

    SendProgress reach() {
        return connection.sendProgress();
    }

    /** Gives it up by closing its connection, if it is still out; nobody is called. Whether it was. */
    boolean abandon() {
        boolean out = !over;
        if (out) {
            finish();
            connection.close();
        }
        return out;
    }

    private void finish() {
        over = true;
        if (limit != null) {
            limit.cancel();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isMalformed()) {
            finish();
            connection.close();
            back.broke(connection.sendProgress(), true);
        } else if (parser.isComplete()) {
            finish();
            // Whatever else has come belongs to no request of ours.
            if (!parser.head().keepsAlive()
                    || bytes.hasRemaining()
                    || connection.sendProgress() != SendProgress.WRITTEN) {
                connection.close();
            } else if (!back.keeps(parser.head(), connection)) {
                pool.release(connection);
            }
            back.answered(parser.head(), parser.body());
        }
    }

    @Override
    public void disconnected(String cause) {
        finish();
        parser.endOfInput();
        if (parser.isComplete()) {
            back.answered(parser.head(), parser.body());
        } else {
            back.broke(connection.sendProgress(), false);
        }
    }
}
