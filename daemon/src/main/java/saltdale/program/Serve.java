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

/** The subcommand {@code serve}: runs one dispatcher on sockets until it is shut down. */
public final class Serve {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());
    /**
     * The file descriptors that are not available for connections: those that the process uses for jars, the selector
     * and the log. 10 of them are typically in use.
     */
    private static final int OTHER_DESCRIPTORS = 24;

    private Serve() {}

    /** Serves until the process receives TERM or INT; returns the exit status of the process. */
    public static int run(Map<String, String> environment, PrintStream errors) {
        LogFormatter.install(environment.get("EDGE_LOG"));
        ServeConfig config;
        try {
            config = ServeConfig.read(environment);
        } catch (MalformedInputException e) {
            errors.println("saltdale: " + e.getMessage());
            return 2;
        }
        try {
            EventLoop loop = new EventLoop();
            SocketBudget sockets = new SocketBudget(loop, connectionLimit(config));
            Router router = new Router(
                    loop,
                    sockets,
                    config.settings,
                    config.runnerIdleTimeout,
                    config.discoveryAddress,
                    System.currentTimeMillis() - loop.elapsed().toMillis(),
                    new SplittableRandom(config.seed));
            if (config.preview != null) {
                router.enablePreview(config.preview);
            }
            Listener listener = new Listener(loop, sockets, config.listenAddress, router::connectionAccepted);
            router.setListenerCloser(listener::acceptPendingAndClose);
            for (String signal : new String[] {"TERM", "INT"}) {
                Signal.handle(new Signal(signal), received -> loop.execute(router::beginShutdown));
            }
            // The default action for HUP would terminate the process and lose all pending requests.
            Signal.handle(new Signal("HUP"), received -> reload(environment, loop, sockets, router));
            router.start(config.initialRunnerList);
            LOG.info(() -> config.name + " listens on " + environment.get("EDGE_LISTEN"));
            loop.run(router::endRound);
            LOG.info(() ->
                    config.name + " has shut down; " + router.metrics().strip().replace('\n', ','));
            return 0;
        } catch (IOException e) {
            errors.println("saltdale: EDGE_LISTEN " + environment.get("EDGE_LISTEN")
                    + ": cannot listen on this address: " + e.getMessage());
            return 1;
        }
    }

    private static int connectionLimit(ServeConfig config) {
        return Math.max(16, config.descriptorLimit - OTHER_DESCRIPTORS);
    }

    /**
     * Reloads the configuration: applies the address of the discovery service and the limit on file descriptors; other
     * changes take effect at the next start. Runs on the thread of the signal handler because it reads a file; it is
     * synchronized so that the last change wins.
     */
    private static synchronized void reload(
            Map<String, String> environment, EventLoop loop, SocketBudget sockets, Router router) {
        try {
            ServeConfig newConfig = ServeConfig.read(environment);
            loop.execute(() -> {
                LOG.info(() -> "configuration reloaded; discovery service at " + newConfig.discoveryAddress);
                sockets.setLimit(connectionLimit(newConfig));
                router.setDiscoveryAddress(newConfig.discoveryAddress);
            });
        } catch (MalformedInputException e) {
            LOG.warning(() -> "configuration not reloaded; the previous one stays in use: " + e.getMessage());
        }
    }
}
