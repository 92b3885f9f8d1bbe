package saltdale.program;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.logging.Logger;
import saltdale.routing.Router;
import saltdale.settings.MalformedInputException;
import saltdale.transport.EventLoop;
import saltdale.transport.Listener;
import saltdale.transport.SocketBudget;
import sun.misc.Signal;

/** One real dispatcher, from its start to its end. */
public final class Serve {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    private static final int OTHER_DESCRIPTORS = 24; // of the process itself: jars, selector, log; 10 were seen

    private Serve() {}

    /** Serves until told to end; the process's exit status. */
    public static int run(Map<String, String> environment, PrintStream errors) {
        Log.begin(environment.get("EDGE_LOG"));
        Posting posting;
        try {
            posting = Posting.read(environment);
        } catch (MalformedInputException e) {
            errors.println("saltdale: " + e.getMessage());
            return 2;
        }
        try {
            EventLoop loop = new EventLoop();
            SocketBudget sockets = new SocketBudget(loop, forConnections(posting));
            Router router = new Router(
                    loop,
                    sockets,
                    posting.orders,
                    posting.idleClose,
                    posting.discovery,
                    System.currentTimeMillis() - loop.elapsed().toMillis(),
                    new SplittableRandom(posting.seed));
            if (posting.preview != null) {
                router.preview(posting.preview);
            }
            Listener listener = new Listener(loop, sockets, posting.listen, router::accepted);
            router.listening(listener::acceptPendingAndClose);
            for (String signal : new String[] {"TERM", "INT"}) {
                Signal.handle(new Signal(signal), which -> loop.execute(router::end));
            }
            // Guards against the platform's own way with it, which is to end the process and lose all that is held.
            Signal.handle(new Signal("HUP"), which -> reload(environment, loop, sockets, router));
            router.begin(posting.known);
            LOG.info(() -> posting.name + " serves at " + environment.get("EDGE_LISTEN"));
            loop.run(router::turnEnd);
            LOG.info(() -> posting.name + " ends; " + router.counted().strip().replace('\n', ','));
            return 0;
        } catch (IOException e) {
            errors.println(
                    "saltdale: EDGE_LISTEN " + environment.get("EDGE_LISTEN") + " can't be served: " + e.getMessage());
            return 1;
        }
    }

    private static int forConnections(Posting posting) {
        return Math.max(16, posting.sockets - OTHER_DESCRIPTORS);
    }

    /**
     * The configuration was replaced: takes over the address of discovery and the limit on descriptors; the rest
     * holds from the next start. On a thread of its own, since it reads a file; one at a time, so that the last wins.
     */
    private static synchronized void reload(
            Map<String, String> environment, EventLoop loop, SocketBudget sockets, Router router) {
        try {
            Posting next = Posting.read(environment);
            loop.execute(() -> {
                LOG.info(() -> "told of a new configuration; discovery at " + next.discovery);
                sockets.setLimit(forConnections(next));
                router.discoveryAt(next.discovery);
            });
        } catch (MalformedInputException e) {
            LOG.warning(() -> "the configuration stays as it was: " + e.getMessage());
        }
    }
}
