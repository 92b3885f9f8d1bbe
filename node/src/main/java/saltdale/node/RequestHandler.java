package saltdale.node;

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

    /** Set before the first connection is accepted. */
    EventLoopEnvironment environment;

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
