package saltdale.node;

import java.io.IOException;

/** A role as a process. */
interface NodeProcess {
    /** Serves until it is told to end. */
    void run() throws IOException;

    /** Told to end, by a signal: it does so in order, on its own loop. */
    void end();

    /** Told to read its settings again, by a signal: of those that may change while it runs. */
    void reload();
}
