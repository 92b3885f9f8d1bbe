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

/** The server side of an HTTP connection; it serves the requests on the connection one after the other. */
public final class ServerConnection implements Connection.Handler {
    /** Handles the requests of server connections and provides their settings. */
    public interface Handler {
        /** Returns the event loop on which the connections run. */
        EventLoop loop();

        /** Returns the budget that the connections are accepted from. */
        SocketBudget socketBudget();

        /**
         * Handles a complete request. It is answered immediately or later, by {@link ServerConnection#respond} or
         * {@link ServerConnection#forwardResponse}.
         */
        void handleRequest(ServerConnection connection, Head head, byte[] body);

        /** The connection is closed; if a request was being served, {@link #requestAborted} follows. */
        void connectionClosed(ServerConnection connection);

        /** The client closed the connection while its request was being served. */
        void requestAborted(ServerConnection connection);

        /** Returns whether the connection is to be closed after a response with this status. */
        boolean closesAfter(int status);

        /** Returns the limits for a request; called when its first byte has arrived. */
        HttpParser.Limits requestLimits();

        /**
         * Returns how long a request may take to arrive, measured from its first byte, or for the first request from
         * the start of the connection.
         */
        Duration requestTimeout();

        /**
         * Returns how long a connection may be idle between two requests, or null if idle connections are closed only
         * when sockets run out.
         */
        default Duration idleTimeout() {
            return null;
        }

        /**
         * Returns the budget of which the body of a request takes its bytes until it is answered. A request for which
         * too few are left is answered with 503, and its connection is closed.
         */
        default ByteBudget requestBytes() {
            return ByteBudget.UNLIMITED;
        }

        /** Returns the header line of a 503 that says when to retry, or an empty string. */
        default String retryAfterHeader() {
            return "";
        }

        /** A request was malformed or took too long to arrive. */
        default void requestRejected(boolean timedOut) {}
    }

    private static final byte[] EMPTY_BODY = new byte[0];
    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);
    /**
     * How many bytes of further requests are read while one is served, or its response waits for the client; a head, as
     * a rule. The others wait in the kernel.
     */
    private static final int MAX_PIPELINED_BYTES = HttpParser.MAX_HEAD_BYTES;
    /** How many requests of a connection are handled at once, before other connections have their turn. */
    private static final int MAX_REQUESTS_PER_TURN = 8;
    /** The most bytes that are read at once. What of them follows a request has to wait until that is answered. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    /**
     * What each connection may hold of heads and of further requests without taking it from the budget; the head of an
     * ordinary request, as a rule.
     */
    private static final int UNCOUNTED_BYTES = 4 * 1024;

    private final Handler handler;
    private final Connection connection;
    private final boolean overLimit;
    private final HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST);
    private final Runnable closeAction = this::closeIfNotServing;
    private ByteBuffer unparsed = EMPTY_BUFFER; // received bytes that are not parsed yet
    private boolean parsing;
    private boolean turnEnded; // the rest of the input is parsed in the next iteration of the event loop
    private boolean serving;
    private String requestMethod = ""; // of the request being served; empty if its method is not known
    private boolean keepsAlive;
    private boolean continueDecided; // whether the client waits for an interim response, for the current request
    private boolean newClient = true; // no request has been accepted on this connection yet
    private int consecutiveRejections;
    private Timer timer; // for the request that is arriving, or for the idle time between two requests
    private Duration timerStartedAt; // on the clock of the loop
    private boolean idleTimerRunning;
    private long headBytes; // that the request takes; see hold
    private long bodyBytes; // that the request takes
    private long heldBytes; // of the request budget
    private boolean throttled; // nothing is read for a moment after a rejected request
    /** The handler's object for the request being served, or null if none is. */
    public Object currentRequest;

    /** Starts serving an accepted connection; with {@code overLimit}, it is closed after its first response. */
    public ServerConnection(Handler handler, Connection connection, boolean overLimit) {
        this.handler = handler;
        this.connection = connection;
        this.overLimit = overLimit;
        connection.setHandler(this);
        connection.setClient();
        parser.setMemoryGrant((head, body) -> hold(head, body, 0));
        startTimer(handler.requestTimeout(), this::onRequestTimeout);
        handler.socketBudget().markIdle(SocketBudget.IdleRank.NEW_CLIENT, closeAction);
        updateReading();
    }

    /** Returns the numeric IP address of the client, or null if it is no longer known. */
    public String peerAddress() {
        return connection.peerAddress();
    }

    /** Returns whether the connection exceeds the client limit, so that it may only be rejected. */
    public boolean isOverLimit() {
        return overLimit;
    }

    /** Returns whether no request is being served or has begun to arrive. */
    public boolean isIdle() {
        return !serving && parser.isAtStart();
    }

    /** Returns whether the last response has been written; otherwise closing the connection would truncate it. */
    public boolean isFlushed() {
        return connection.isFlushed();
    }

    /** Closes the connection unless a request is being served. A request that has partly arrived is discarded. */
    public void closeIfNotServing() {
        if (!serving) {
            discardInput();
            releaseAndNotify();
            connection.close();
        }
    }

    /** Closes the connection at once if its last response has not been written yet; the rest of that is lost. */
    public void closeUnlessFlushed() {
        if (!isFlushed()) {
            discardInput();
            releaseAndNotify();
            connection.close();
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        ByteBuffer joined = ByteBuffer.allocate(unparsed.remaining() + bytes.remaining());
        unparsed = joined.put(unparsed).put(bytes).flip();
        processInput();
    }

    @Override
    public void flushed() {
        processInput();
    }

    /** Returns how many bytes were received and are not parsed yet. */
    int unparsedBytes() {
        return unparsed.remaining();
    }

    /** Returns how many bytes are allocated for what was received. */
    long allocatedBytes() {
        return unparsed.capacity() + parser.allocatedBytes();
    }

    /** Reads on unless the client is ahead by enough: its bytes are better kept by the kernel, which limits them. */
    private void updateReading() {
        boolean canServe = !serving && !turnEnded && !isBehindInReading();
        connection.setReading(
                !throttled && (canServe || unparsed.remaining() < MAX_PIPELINED_BYTES),
                canServe ? MAX_READ_BYTES : MAX_PIPELINED_BYTES);
    }

    /** Returns whether the client has yet to read its last response; only one at a time takes memory. */
    private boolean isBehindInReading() {
        return !connection.isFlushed();
    }

    /**
     * Parses received bytes, one request at a time. This is a loop so that pipelined requests do not recurse; it ends
     * after some requests, and goes on in the next iteration of the event loop.
     */
    private void processInput() {
        if (parsing || turnEnded || !connection.isOpen()) {
            return;
        }
        parsing = true;
        for (int requests = 0; canParse(); requests++) {
            if (requests == MAX_REQUESTS_PER_TURN) {
                turnEnded = true;
                handler.loop().defer(this::startTurn);
                break;
            }
            parse();
        }
        keepUnparsed();
        parsing = false;
        updateReading();
        if (isIdle()) {
            handler.socketBudget()
                    .markIdle(
                            newClient ? SocketBudget.IdleRank.NEW_CLIENT : SocketBudget.IdleRank.IDLE_CLIENT,
                            closeAction);
            if (timer == null && handler.idleTimeout() != null) {
                idleTimerRunning = true;
                startTimer(handler.idleTimeout(), this::onIdleTimeout);
            }
        }
    }

    private boolean canParse() {
        return !serving && unparsed.hasRemaining() && !isBehindInReading();
    }

    private void startTurn() {
        turnEnded = false;
        processInput();
    }

    private void startTimer(Duration timeout, Runnable onTimeout) {
        timerStartedAt = handler.loop().now();
        timer = handler.loop().schedule(timeout, onTimeout);
    }

    /** Continues the running timer if its timeout has been raised since it was started. Returns whether it has. */
    private boolean extendTimer(Duration timeout, Runnable onTimeout) {
        Duration remaining = timeout.minus(handler.loop().now().minus(timerStartedAt));
        boolean raised = !remaining.isNegative() && !remaining.isZero();
        timer = raised ? handler.loop().schedule(remaining, onTimeout) : null;
        return raised;
    }

    private void onIdleTimeout() {
        if (!extendTimer(handler.idleTimeout(), this::onIdleTimeout)) {
            idleTimerRunning = false;
            closeIfNotServing();
        }
    }

    /** Prevents clients from occupying a connection without a request, or with one that never ends. */
    private void onRequestTimeout() {
        if (extendTimer(handler.requestTimeout(), this::onRequestTimeout)) {
            return;
        }
        handler.requestRejected(true);
        if (parser.isAtStart()) {
            closeIfNotServing();
        } else {
            reject(408, "request took too long to arrive");
        }
    }

    private void reject(int status, String message) {
        handler.requestRejected(false);
        refuse(status, "", message);
    }

    /** Answers a request that has not arrived completely, and closes the connection. */
    private void refuse(int status, String more, String message) {
        keepsAlive = false;
        startServing();
        requestMethod = parser.receivedMethod();
        respond(status, more, requestMethod.isEmpty() ? "" : message); // it may be HEAD
    }

    /**
     * Takes from the budget, or gives back to it, what the request and the bytes that follow it take from now on.
     * Returns false, and changes nothing, if too little is left.
     */
    private boolean hold(long head, long body, long following) {
        long needed = Math.max(0, head + following - UNCOUNTED_BYTES) + body;
        long missing = needed - heldBytes;
        if (missing > 0 && !handler.requestBytes().tryAcquire(missing, needed)) {
            return false;
        } else if (missing < 0) {
            handler.requestBytes().release(-missing);
        }
        heldBytes = needed;
        headBytes = head;
        bodyBytes = body;
        return true;
    }

    /** Keeps the bytes that follow the request being served, if there is memory for them. */
    private void keepUnparsed() {
        int following = unparsed.remaining();
        if (following == 0) {
            unparsed = EMPTY_BUFFER;
        } else if (following < unparsed.capacity()) {
            unparsed = ByteBuffer.allocate(following).put(unparsed).flip();
        }
        if (hold(headBytes, bodyBytes, following)) {
            return;
        }
        // None of these requests was begun: the client can send them again once the connection is closed.
        unparsed = EMPTY_BUFFER;
        keepsAlive = false;
        if (!serving) {
            startServing(); // nothing more is parsed
            releaseAndNotify();
            connection.closeGracefully();
        }
    }

    private void releaseMemory() {
        handler.requestBytes().release(heldBytes);
        heldBytes = 0;
        headBytes = 0;
        bodyBytes = 0;
    }

    /** Called when a request is complete, or is about to be rejected before it is. */
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
        if (parser.isAtStart()) {
            parser.setLimits(handler.requestLimits());
        }
        if (timer == null) {
            startTimer(handler.requestTimeout(), this::onRequestTimeout);
            if (!newClient) {
                handler.socketBudget().markBusy(closeAction);
            }
        }
        parser.parse(unparsed);
        if (parser.isMalformed() && parser.errorStatus() == 503) {
            refuse(503, handler.retryAfterHeader(), parser.errorMessage());
        } else if (parser.isMalformed()) {
            reject(parser.errorStatus(), parser.errorMessage());
        } else if (parser.isComplete()) {
            startServing();
            Head head = parser.head();
            requestMethod = head.method();
            keepsAlive = head.keepsAlive() && head.isHttp11();
            byte[] body = parser.body();
            bodyBytes = body.length;
            parser.startNextMessage();
            continueDecided = false;
            handler.handleRequest(this, head, body);
        } else if (parser.head() != null && !continueDecided) {
            continueDecided = true;
            if (parser.head().expectsContinue()) {
                connection.send(HttpWriter.continueResponse());
            }
        }
    }

    /**
     * Sends a response with a text body to the request being served.
     * {@code more} holds complete header lines or is empty.
     */
    public void respond(int status, String more, String text) {
        respond(status, more, text.isEmpty() ? EMPTY_BODY : (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a response to the request being served and continues with the next request. The body is left out where the
     * method or the status allows none.
     */
    public void respond(int status, String more, byte[] body) {
        boolean rejected = status >= 400 && status < 500;
        // Limits a client to one bad request per iteration of the event loop instead of hundreds: an ordinary client
        // sends one request at a time.
        boolean close = !keepsAlive || overLimit || handler.closesAfter(status) || rejected && unparsed.hasRemaining();
        sendResponse(HttpWriter.response(status, more, body.length, close), allowedBody(status, body), status, close);
    }

    /** Forwards the response of a runner to the request being served, whatever its status is. */
    public void forwardResponse(Head head, byte[] body) {
        boolean close = !keepsAlive || overLimit || handler.closesAfter(200);
        byte[] forwarded = HttpWriter.forwardedResponse(head, requestMethod, body.length, close);
        sendResponse(forwarded, allowedBody(head.status(), body), 200, close);
    }

    private byte[] allowedBody(int status, byte[] body) {
        return HttpWriter.mayHaveBody(requestMethod, status) ? body : EMPTY_BODY;
    }

    private void sendResponse(byte[] head, byte[] body, int status, boolean close) {
        currentRequest = null;
        releaseMemory();
        boolean rejected = status >= 400 && status < 500;
        connection.send(ByteBuffer.wrap(head), ByteBuffer.wrap(body));
        if (close) {
            releaseAndNotify();
            discardInput();
            connection.closeGracefully();
            return;
        }
        serving = false;
        newClient &= status >= 400;
        consecutiveRejections = rejected ? Math.min(consecutiveRejections + 1, 7) : 0;
        throttled = rejected;
        if (rejected) { // slows down a client that repeats a rejected request as fast as it can send it
            handler.loop().schedule(Duration.ofMillis(5L << consecutiveRejections), () -> {
                throttled = false;
                updateReading();
            });
        }
        processInput();
    }

    /** Lets go of what has been received: nothing of it is parsed while the connection closes. */
    private void discardInput() {
        parser.startNextMessage();
        unparsed = EMPTY_BUFFER;
    }

    private void releaseAndNotify() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        handler.socketBudget().markBusy(closeAction);
        releaseMemory();
        handler.connectionClosed(this);
    }

    @Override
    public void disconnected(String cause) {
        discardInput();
        releaseAndNotify();
        if (currentRequest != null) {
            handler.requestAborted(this);
            currentRequest = null;
        }
    }
}
