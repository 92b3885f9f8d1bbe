package saltdale.node;

import sun.misc.Signal;

/**
 * Handles SIGHUP from the start of the program on. The signal would end a program that does not handle it yet; one that
 * arrives while the process is being set up is passed on to it afterwards.
 */
final class ReloadSignal {
    private NodeProcess process; // null while it is being set up
    private boolean pending;

    private ReloadSignal() {}

    /** Installs the handler. */
    static ReloadSignal install() {
        ReloadSignal reload = new ReloadSignal();
        Signal.handle(new Signal("HUP"), signal -> reload.received());
        return reload;
    }

    private synchronized void received() {
        if (process == null) {
            pending = true;
        } else {
            process.reloadSettings();
        }
    }

    /** Passes the signals on to this process from now on, and the one that has arrived before, if any. */
    synchronized void forwardTo(NodeProcess started) {
        process = started;
        if (pending) {
            process.reloadSettings();
        }
    }
}
