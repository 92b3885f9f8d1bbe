package saltdale.rig.standin;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import saltdale.rig.ways.SwitchableListener;

/** Where one dispatcher reaches one runner. */
final class Gate {
    final Box box;
    final int dispatcher;
    private final SwitchableListener mouth;
    final Set<Served> open = new HashSet<>();

    Gate(Box box, int dispatcher) throws IOException {
        this.box = box;
        this.dispatcher = dispatcher;
        mouth = new SwitchableListener(
                box.fleet.loopThread,
                box.fleet.gateAt(box.number, dispatcher),
                (connection, full) -> open.add(new Served(this, connection)));
    }

    boolean isMuted() {
        return mouth.isSilent();
    }

    /** Falls silent or speaks again, as the machine and the links are by now. */
    void set() {
        boolean mute = box.silent || box.fleet.isCut(box.number, dispatcher);
        if (mute != mouth.isSilent() && !mouth.isShut()) {
            mouth.silent(mute);
            open.forEach(each -> each.reading(!mute));
        }
    }

    /** The process has died: its connections end, and new ones are refused. */
    void shut() {
        mouth.shut();
        dropAll();
    }

    /** It is back: what was open through its silence is reset, and it listens again if it had ceased to. */
    void renew() {
        dropAll();
        mouth.open();
        set();
    }

    private void dropAll() {
        List.copyOf(open).forEach(Served::drop);
        open.clear();
    }
}
