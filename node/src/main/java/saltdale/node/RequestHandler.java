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

    /** Set before the first connection is accepted. */
    EventLoopEnvironment environment;

    /**
     * Creates a handler whose requests may take this part of the heap until they are answered; those beyond it are
     * answered with 503 and {@code retryAfterHeader}. Large requests leave room for a small one of each connection, of
     * which there are {@code maxConnections} at most.
     */
    RequestHandler(int heapDivisor, int maxConnections, String retryAfterHeader) {
        long limit = Runtime.getRuntime().maxMemory() / heapDivisor;
        long reserve = Math.min(limit / 2, (long) maxConnections * ByteBudget.SMALL_REQUEST_BYTES);
        requestBytes = new ByteBudget(limit, reserve);
        this.retryAfterHeader = retryAfterHeader;
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
