package saltdale.rig.platform.live;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.transport.Connection;
import saltdale.transport.Timer;

/** One HTTP request on a connection of its own; used on the loop thread. */
final class HttpCall implements Connection.Handler {
    record Answer(Head head, byte[] body) {
        int status() {
            return head.status();
        }
    }

    private final HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER);
    private final Consumer<Answer> callback;
    private Connection connection;
    private Timer limit;

    private HttpCall(Consumer<Answer> callback) {
        this.callback = callback;
    }

    /**
     * Sends a request. {@code headers} are complete header lines; {@code callback} gets null if no complete answer
     * comes within the limit.
     */
    static void send(
            LoopThread loopThread,
            InetSocketAddress address,
            String method,
            String target,
            String headers,
            byte[] body,
            Duration limit,
            Consumer<Answer> callback) {
        HttpCall call = new HttpCall(callback);
        call.connection = Connection.connect(loopThread.loop, loopThread.sockets, address, limit, call);
        if (call.connection == null) {
            loopThread.loop.defer(() -> callback.accept(null));
            return;
        }
        call.limit = loopThread.loop.schedule(limit, () -> call.finish(null));
        call.connection.send(
                ByteBuffer.wrap((method + " " + target + " HTTP/1.1\r\nHost: " + LoopbackAddresses.text(address)
                                + "\r\n" + headers + "Content-Length: " + body.length + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII)),
                ByteBuffer.wrap(body));
    }

    @Override
    public void received(ByteBuffer bytes) {
        parser.parse(bytes);
        if (parser.isMalformed() || parser.isComplete()) {
            finish(parser.isComplete() ? new Answer(parser.head(), parser.body()) : null);
        }
    }

    @Override
    public void disconnected(String cause) {
        parser.endOfInput();
        finish(parser.isComplete() ? new Answer(parser.head(), parser.body()) : null);
    }

    private void finish(Answer answer) {
        limit.cancel();
        connection.close();
        callback.accept(answer);
    }
}
