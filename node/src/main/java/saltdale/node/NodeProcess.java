package saltdale.node;

import java.io.IOException;

/** A role as a process. */
interface NodeProcess {
    /** Serves until it is told to end. */
    void run() throws IOException;

    /** Told to end, by a signal: it does so in order, on its own loop. */
    void end();
}
