package saltdale.node;

import saltdale.serving.Visit;
import saltdale.transport.Loop;
import saltdale.transport.Sockets;

/** Whose connections are of an environment's loop; what is asked is answered whether its caller stays or not. */
abstract class RequestHandler implements Visit.Host {
    /** Header of a plain text, the figures of {@code /metrics} for instance. */
    static final String TEXT = "Content-Type: text/plain\r\n";

    /** Set before anybody can connect. */
    EventLoopEnvironment environment;

    @Override
    public Loop loop() {
        return environment.loop;
    }

    @Override
    public Sockets sockets() {
        return environment.sockets;
    }

    @Override
    public void left(Visit visit) {
        // Nothing is kept of it.
    }

    @Override
    public void abandoned(Visit visit) {
        // What was asked for goes on without its caller.
    }

    @Override
    public boolean closes(int status) {
        return false;
    }
}
