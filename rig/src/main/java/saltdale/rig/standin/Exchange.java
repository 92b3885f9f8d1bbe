package saltdale.rig.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;

/** A connection that a stand-in serves: one request after another. */
public abstract class Exchange implements Connection.Handler {
    protected final Connection connection;
    private final Origin clock;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    /** When the first byte of the present request came. */
    private Duration firstByte;

    private boolean answering;

    protected Exchange(Connection connection, Origin clock) {
        this.connection = connection;
        this.clock = clock;
        connection.setHandler(this);
    }

    /** A whole request has come; {@link #responseSent} is to be called once its answer is out. */
    protected abstract void onRequest(Head head, byte[] body, Duration first);

    /** It can't be read, and is closed. */
    protected void onMalformedRequest() {
        connection.close();
    }

    @Override
    public void received(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            firstByte = firstByte == null ? clock.now() : firstByte;
            parser.parse(bytes);
            if (parser.isMalformed() || answering) {
                onMalformedRequest(); // dispatchers send one request at a time
                return;
            }
            if (!parser.isComplete()) {
                return;
            }
            Head head = parser.head();
            byte[] body = parser.body();
            Duration first = firstByte;
            firstByte = null;
            parser.startNextMessage();
            answering = true;
            onRequest(head, body, first);
        }
    }

    protected void responseSent() {
        answering = false;
    }

    protected boolean isAnswering() {
        return answering;
    }

    /** An answer as its bytes. */
    public static byte[] answer(int status, String more, String body) {
        byte[] text = body.getBytes(StandardCharsets.UTF_8);
        byte[] head = HttpWriter.response(status, more, text.length, false);
        byte[] all = new byte[head.length + text.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(text, 0, all, head.length, text.length);
        return all;
    }
}
