package saltdale.routing;

import java.nio.ByteBuffer;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.transport.Connection;
import saltdale.transport.Pool;
import saltdale.transport.Reach;

/** One request of ours on a pooled connection, until its answer or its end. */
final class Call implements Connection.Owner {
    /** Who waits for it; one of these is called, once. */
    interface Back {
        void answered(Head head, byte[] body);

        /** It ended without an answer, having come so far; {@code malformed} where what came was no answer. */
        void broke(Reach reach, boolean malformed);
    }

    private final Pool pool;
    private final Back back;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private Connection connection;
    private boolean over;

    private Call(Pool pool, Back back) {
        this.pool = pool;
        this.back = back;
    }

    /** Begins it; null where no socket is to be had. */
    static Call begin(Pool pool, Back back, byte[]... request) {
        Call call = new Call(pool, back);
        call.connection = pool.take(call);
        if (call.connection == null) {
            return null;
        }
        call.connection.beginMessage();
        ByteBuffer[] parts = new ByteBuffer[request.length];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = ByteBuffer.wrap(request[i]);
        }
        call.connection.send(parts);
        return call;
    }

    Reach reach() {
        return connection.reach();
    }

    /** Gives it up by closing its connection, if it is still out; nobody is called. */
    void abandon() {
        if (!over) {
            over = true;
            connection.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.take(bytes);
        if (parser.bad()) {
            over = true;
            connection.close();
            back.broke(connection.reach(), true);
        } else if (parser.whole()) {
            over = true;
            // Whatever else has come belongs to no request of ours.
            if (parser.head().keepsAlive() && !bytes.hasRemaining() && connection.reach() == Reach.WRITTEN) {
                pool.rest(connection);
            } else {
                connection.close();
            }
            back.answered(parser.head(), parser.body());
        }
    }

    @Override
    public void ended(String cause) {
        over = true;
        parser.end();
        if (parser.whole()) {
            back.answered(parser.head(), parser.body());
        } else {
            back.broke(connection.reach(), false);
        }
    }
}
