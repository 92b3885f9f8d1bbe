package saltdale.rig.standin;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.rig.ways.SwitchableListener;

/** The address at which one dispatcher reaches one runner, with its open connections. */
final class RunnerEndpoint {
    final StandInRunner runner;
    final int dispatcher;
    private final SwitchableListener listener;
    final Set<DispatcherConnection> open = new HashSet<>();

    RunnerEndpoint(StandInRunner runner, int dispatcher) throws IOException {
        this.runner = runner;
        this.dispatcher = dispatcher;
        listener = new SwitchableListener(
                runner.fleet.loopThread,
                runner.fleet.endpointAt(runner.number, dispatcher),
                (connection, full) -> open.add(new DispatcherConnection(this, connection)));
    }

    boolean isSilent() {
        return listener.isSilent();
    }

    /** Stops or resumes responding, according to the current state of the machine and of the links. */
    void updateSilence() {
        boolean silent = runner.silent || runner.fleet.isCut(runner.number, dispatcher);
        if (silent != listener.isSilent() && !listener.isClosed()) {
            listener.setSilent(silent);
            open.forEach(each -> each.setReadEnabled(!silent));
        }
    }

    /** Closes all connections and refuses new ones, as after the death of the process. */
    void close() {
        listener.close();
        closeConnections();
    }

    /** Closes connections left open while the runner was silent, and listens again if the endpoint was closed. */
    void restart() {
        closeConnections();
        listener.open();
        updateSilence();
    }

    private void closeConnections() {
        List.copyOf(open).forEach(DispatcherConnection::close);
        open.clear();
    }
}
