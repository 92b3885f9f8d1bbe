package saltdale.node;

import saltdale.serving.Visit;
import saltdale.transport.Loop;
import saltdale.transport.Sockets;

/** Whose connections are of a harbor's loop; what is asked is answered whether its caller stays or not. */
abstract class Callers implements Visit.Host {
    /** Set before anybody can connect. */
    Harbor harbor;

    @Override
    public Loop loop() {
        return harbor.loop;
    }

    @Override
    public Sockets sockets() {
        return harbor.sockets;
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
