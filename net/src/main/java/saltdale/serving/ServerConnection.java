package saltdale.serving;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltdale.protocol.Head;
import saltdale.protocol.HttpParser;
import saltdale.protocol.HttpWriter;
import saltdale.transport.Connection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;
import saltdale.transport.Timer;

/** A connection that was accepted: requests come on it one after the other. */
public final class ServerConnection implements Connection.Handler {
    /** Whom the requests are for. */
    public interface Handler {
        EventLoop loop();

        SocketBudget socketBudget();

        /** A whole request; it is answered now or later, by {@link ServerConnection#respond} or {@link ServerConnection#forwardResponse}. */
        void handleRequest(ServerConnection visit, Head head, byte[] body);

        /** The connection is over; what was being served, if anything, is told before by {@link #requestAborted}. */
        void connectionClosed(ServerConnection visit);

        /** The client ended the connection while its request was being served. */
        void requestAborted(ServerConnection visit);

        /** Whether the connection is to be closed with this answer. */
        boolean closesAfter(int status);

        /** What a client may send; asked before each request. */
        HttpParser.Limits requestLimits();

        /** How long a request may take to come, from its first byte, the first one from the connection's beginning. */
        Duration requestTimeout();

        /** How long a connection may rest between two requests; null where only want of room ends it. */
        default Duration idleTimeout() {
            return null;
        }

        /** A request was malformed or too slow. */
        default void requestRejected(boolean tooSlow) {}
    }

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);

    private final Handler handler;
    private final Connection connection;
    private final boolean overLimit;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    private final Runnable closeAction = this::closeIfNotServing;
    private ByteBuffer unparsed = EMPTY_BUFFER; // what has come and is not yet parsed
    private boolean parsing;
    private boolean serving;
    private boolean keepsAlive;
    private boolean continueSent; // that the body may come
    private boolean newClient = true; // none of its requests has been taken so far
    private int consecutiveRejections; // in a row
    private Timer timer; // of the request that is coming, or of the rest between two
    private boolean idleTimerRunning;
    /** What is being served; null where nothing is. */
    public Object currentRequest;

    public ServerConnection(Handler host, Connection connection, boolean oneTooMany) {
        this.handler = host;
        this.connection = connection;
        this.overLimit = oneTooMany;
        connection.setHandler(this);
        parser.setLimits(host.requestLimits());
        timer = host.loop().schedule(host.requestTimeout(), this::onRequestTimeout);
        host.socketBudget().markIdle(SocketBudget.IdleRank.NEW_CLIENT, closeAction);
    }

    /** Who is at the other end: an address in numbers, or null. */
    public String peerAddress() {
        return connection.peerAddress();
    }

    /** True where there was no room for it but to turn it away. */
    public boolean isOverLimit() {
        return overLimit;
    }

    /** True where no request has begun to come. */
    public boolean isIdle() {
        return !serving && parser.isAtStart();
    }

    /** Whether the last answer has wholly left us: else to drop the connection would cut it short. */
    public boolean isFlushed() {
        return connection.isFlushed();
    }

    /** Closes the connection unless a request is being served. One that has not wholly come was not taken. */
    public void closeIfNotServing() {
        if (!serving) {
            releaseAndNotify();
            connection.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        ByteBuffer both = ByteBuffer.allocate(unparsed.remaining() + bytes.remaining());
        unparsed = both.put(unparsed).put(bytes).flip();
        if (serving && unparsed.remaining() > HttpParser.MAX_REQUEST_BODY_BYTES) {
            connection.setReadEnabled(false);
        }
        processInput();
    }

    /** Takes what has come, a request at a time. A loop: many requests behind one another must not nest. */
    private void processInput() {
        if (parsing) {
            return;
        }
        parsing = true;
        while (!serving && unparsed.hasRemaining()) {
            parse();
        }
        unparsed = unparsed.hasRemaining() ? unparsed : EMPTY_BUFFER;
        parsing = false;
        if (isIdle()) {
            handler.socketBudget()
                    .markIdle(
                            newClient ? SocketBudget.IdleRank.NEW_CLIENT : SocketBudget.IdleRank.IDLE_CLIENT,
                            closeAction);
            if (timer == null && handler.idleTimeout() != null) {
                idleTimerRunning = true;
                timer = handler.loop().schedule(handler.idleTimeout(), this::onIdleTimeout);
            }
        }
    }

    private void onIdleTimeout() {
        idleTimerRunning = false;
        timer = null;
        closeIfNotServing();
    }

    /** Guards against clients that hold a connection with a request that never ends, or with none. */
    private void onRequestTimeout() {
        timer = null;
        handler.requestRejected(true);
        if (parser.isAtStart()) {
            closeIfNotServing();
        } else {
            reject(408, "the request took too long to come");
        }
    }

    private void reject(int status, String why) {
        handler.requestRejected(false);
        keepsAlive = false;
        startServing();
        respond(status, "", why);
    }

    /** A request has come, or what there was of one is answered. */
    private void startServing() {
        serving = true;
        handler.socketBudget().markBusy(closeAction);
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void parse() {
        if (idleTimerRunning) {
            idleTimerRunning = false;
            timer.cancel();
            timer = null;
        }
        if (timer == null) {
            timer = handler.loop().schedule(handler.requestTimeout(), this::onRequestTimeout);
            if (!newClient) {
                handler.socketBudget().markBusy(closeAction);
            }
        }
        parser.parse(unparsed);
        if (parser.isMalformed()) {
            reject(parser.errorStatus(), parser.errorMessage());
        } else if (parser.isComplete()) {
            startServing();
            Head head = parser.head();
            keepsAlive = head.keepsAlive() && head.isHttp11();
            byte[] body = parser.body();
            parser.startNextMessage();
            parser.setLimits(handler.requestLimits());
            continueSent = false;
            handler.handleRequest(this, head, body);
        } else if (parser.head() != null && parser.head().expectsContinue() && !continueSent) {
            continueSent = true;
            connection.send(HttpWriter.continueResponse());
        }
    }

    public void respond(int status, String more, String text) {
        respond(status, more, text.isEmpty() ? EMPTY_BODY : (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Answers the request being served and goes on to the next one. */
    public void respond(int status, String more, byte[] body) {
        boolean refused = status >= 400 && status < 500;
        // Guards against hundreds of bad requests in one turn: a usual client sends one at a time.
        boolean close = !keepsAlive || overLimit || handler.closesAfter(status) || refused && unparsed.hasRemaining();
        sendResponse(HttpWriter.response(status, more, body.length, close), body, status, close);
    }

    /** Answers it with a runner's answer, whatever its status. */
    public void forwardResponse(Head head, byte[] body) {
        boolean close = !keepsAlive || overLimit || handler.closesAfter(200);
        sendResponse(HttpWriter.forwardedResponse(head, body.length, close), body, 200, close);
    }

    private void sendResponse(byte[] head, byte[] body, int status, boolean close) {
        currentRequest = null;
        boolean refused = status >= 400 && status < 500;
        connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
        if (close) {
            releaseAndNotify();
            connection.closeGracefully();
            return;
        }
        serving = false;
        newClient &= status >= 400;
        consecutiveRejections = refused ? Math.min(consecutiveRejections + 1, 7) : 0;
        connection.setReadEnabled(!refused);
        if (refused) { // guards against the same again as soon as it is turned away, as fast as it can be sent
            handler.loop()
                    .schedule(Duration.ofMillis(5L << consecutiveRejections), () -> connection.setReadEnabled(true));
        }
        processInput();
    }

    private void releaseAndNotify() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        handler.socketBudget().markBusy(closeAction);
        handler.connectionClosed(this);
    }

    @Override
    public void disconnected(String cause) {
        releaseAndNotify();
        if (currentRequest != null) {
            handler.requestAborted(this);
            currentRequest = null;
        }
    }
}
