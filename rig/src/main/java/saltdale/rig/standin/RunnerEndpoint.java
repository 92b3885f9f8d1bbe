package saltdale.rig.standin;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.rig.ways.SwitchableListener;

/** Where one dispatcher reaches one runner. */
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

    boolean isMuted() {
        return listener.isSilent();
    }

    /** Falls silent or speaks again, as the machine and the links are by now. */
    void set() {
        boolean mute = runner.silent || runner.fleet.isCut(runner.number, dispatcher);
        if (mute != listener.isSilent() && !listener.isShut()) {
            listener.setSilent(mute);
            open.forEach(each -> each.reading(!mute));
        }
    }

    /** The process has died: its connections end, and new ones are refused. */
    void shut() {
        listener.shut();
        dropAll();
    }

    /** It is back: what was open through its silence is reset, and it listens again if it had ceased to. */
    void renew() {
        dropAll();
        listener.open();
        set();
    }

    private void dropAll() {
        List.copyOf(open).forEach(DispatcherConnection::drop);
        open.clear();
    }
}
