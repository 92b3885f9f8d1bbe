package saltdale.node;

import java.io.IOException;

/** A process of the system in one role, proxy or control node. */
interface NodeProcess {
    /** Runs the event loop of the process; returns when the process has shut down. */
    void run() throws IOException;

    /** Starts a graceful shutdown on the event loop; called by a signal handler. */
    void shutDown();

    /** Reloads the settings that may change at run time; called by a signal handler. */
    void reloadSettings();
}
