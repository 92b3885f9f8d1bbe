package saltdale.node;

import saltdale.serving.ServerConnection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** Whose connections are of an environment's loop; what is asked is answered whether its caller stays or not. */
abstract class RequestHandler implements ServerConnection.Handler {
    /** Header of a plain text, the figures of {@code /metrics} for instance. */
    static final String TEXT = "Content-Type: text/plain\r\n";

    /** Set before anybody can connect. */
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
    public void connectionClosed(ServerConnection visit) {
        // Nothing is kept of it.
    }

    @Override
    public void requestAborted(ServerConnection visit) {
        // What was asked for goes on without its caller.
    }

    @Override
    public boolean closesAfter(int status) {
        return false;
    }
}
