package saltdale.node;

import saltdale.serving.ByteBudget;
import saltdale.serving.ServerConnection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Base class of the HTTP request handlers of a process. The connections run on the event loop of the environment, and a
 * request is processed to its end even if its client disconnects.
 */
abstract class RequestHandler implements ServerConnection.Handler {
    /** The header of plain-text responses such as those of {@code /metrics}. */
    static final String PLAIN_TEXT_HEADER = "Content-Type: text/plain\r\n";

    private final ByteBudget requestBytes;
    private final String retryAfterHeader;
    private long rejectedRequests;
    private long timedOutRequests;

    /** Set before the first connection is accepted. */
    EventLoopEnvironment environment;

    /**
     * Creates a handler whose requests take memory from this budget until they are answered. Those for which too little
     * is left are answered with 503 and {@code retryAfterHeader}.
     */
    RequestHandler(ByteBudget requestBytes, String retryAfterHeader) {
        this.requestBytes = requestBytes;
        this.retryAfterHeader = retryAfterHeader;
    }

    /**
     * Returns a budget of this part of the heap. Large requests leave room for a small one of each connection, of which
     * there are {@code maxConnections} at most.
     */
    static ByteBudget budgetFromHeap(int heapDivisor, int maxConnections) {
        long limit = Runtime.getRuntime().maxMemory() / heapDivisor;
        long reserve = Math.min(limit / 2, (long) maxConnections * ByteBudget.SMALL_REQUEST_BYTES);
        return new ByteBudget(limit, reserve);
    }

    @Override
    public void requestRejected(boolean timedOut) {
        if (timedOut) {
            timedOutRequests++;
        } else {
            rejectedRequests++;
        }
    }

    /** Returns what the connections of this process hold and what was refused, as metrics, one a line. */
    String connectionMetrics() {
        SocketBudget sockets = environment.sockets;
        return "connections_open " + sockets.openCount() + '\n'
                + "connections_idle " + sockets.idleCount() + '\n'
                + "connections_closing " + sockets.closingCount() + '\n'
                + "connections_closed_for_not_reading " + sockets.closedForNotReading() + '\n'
                + "requests_held_bytes " + requestBytes.used() + '\n'
                + "requests_held_bytes_limit " + requestBytes.limit() + '\n'
                + "requests_refused_for_memory " + requestBytes.refusals() + '\n'
                + "requests_rejected " + rejectedRequests + '\n'
                + "requests_timed_out " + timedOutRequests + '\n'
                + "responses_unread_bytes " + sockets.unsentBytes() + '\n';
    }

    @Override
    public ByteBudget requestBytes() {
        return requestBytes;
    }

    @Override
    public String retryAfterHeader() {
        return retryAfterHeader;
    }

    @Override
    public EventLoop loop() {
        return environment.loop;
    }

    @Override
    public SocketBudget socketBudget() {
        return environment.sockets;
    }

    @Override
    public void connectionClosed(ServerConnection connection) {
        // No state is kept per connection.
    }

    @Override
    public void requestAborted(ServerConnection connection) {
        // The request is processed to its end without its client.
    }

    @Override
    public boolean closesAfter(int status) {
        return false;
    }
}
