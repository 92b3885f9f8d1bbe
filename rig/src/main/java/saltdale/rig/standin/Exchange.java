package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;

/** Server side of an HTTP connection to a stand-in. Requests are handled one at a time; pipelining is refused. */
public abstract class Exchange implements Connection.Handler {
    protected final Connection connection;
    private final Origin clock;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    /** Arrival time of the first byte of the current request; null between requests. */
    private Duration firstByteAt;

    private boolean answering;

    protected Exchange(Connection connection, Origin clock) {
        this.connection = connection;
        this.clock = clock;
        connection.setHandler(this);
    }

    /**
     * Handles a complete request. The subclass calls {@link #responseSent} after it has sent the response.
     *
     * @param firstByteAt when the first byte of the request arrived
     */
    protected abstract void onRequest(Head head, byte[] body, Duration firstByteAt);

    /** Handles a malformed or pipelined request; closes the connection by default. */
    protected void onMalformedRequest() {
        connection.close();
    }

    @Override
    public void received(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            firstByteAt = firstByteAt == null ? clock.now() : firstByteAt;
            parser.parse(bytes);
            if (parser.isMalformed() || answering) {
                onMalformedRequest(); // also for pipelining: dispatchers send one request at a time
                return;
            }
            if (!parser.isComplete()) {
                return;
            }
            Head head = parser.head();
            byte[] body = parser.body();
            Duration requestStart = firstByteAt;
            firstByteAt = null;
            parser.startNextMessage();
            answering = true;
            onRequest(head, body, requestStart);
        }
    }

    /** Allows the next request on this connection. */
    protected void responseSent() {
        answering = false;
    }

    /** Whether a request is still waiting for its response. */
    protected boolean isAnswering() {
        return answering;
    }

    /** Encodes an HTTP response; {@code extraHeaders} is empty or holds whole header lines. */
    public static byte[] answer(int status, String extraHeaders, String body) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        byte[] head = HttpWriter.response(status, extraHeaders, text.length, false);
        byte[] all = new byte[head.length + text.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(text, 0, all, head.length, text.length);
        return all;
    }
}
