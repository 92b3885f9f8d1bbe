package saltdale.routing;

import java.time.Duration;
import java.util.Collection;
import saltdale.model.DispatcherSettings;
import saltdale.model.Durations;
import saltdale.serving.ServerConnection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * The graceful shutdown of a dispatcher: it continues to serve, answers all pending requests in time, and then stops
 * the event loop.
 */
final class GracefulShutdown {
    /** How long new connections may still arrive after the shutdown has begun. */
    private static final Duration NEW_CONNECTIONS_PERIOD = Duration.ofMillis(500);
    /**
     * The platform may kill the process 0.7 s after the longest client timeout, or 0.7 s after this time if that is
     * shorter.
     */
    private static final Duration MAX_CLIENT_TIMEOUT = Duration.ofSeconds(3);
    /** The part of those 0.7 s in which requests are still served. */
    private static final Duration EXTRA_SERVING_TIME = Duration.ofMillis(300);

    /** The part of those 0.7 s that is left for clients to read the last responses. */
    private static final Duration FINAL_READ_TIME = Duration.ofMillis(250);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final DispatcherSettings settings;
    private boolean begun;
    private boolean arrivalsEnded; // no new connections arrive any more
    private boolean finalResponses; // the time to serve is over and all requests must be answered
    private Runnable listenerCloser = () -> {}; // closes the listener; runs once

    GracefulShutdown(EventLoop loop, SocketBudget sockets, DispatcherSettings settings) {
        this.loop = loop;
        this.sockets = sockets;
        this.settings = settings;
    }

    /** Begins the shutdown and sets {@code shutdownAt} of the settings, by which all requests must be answered. */
    void begin() {
        begun = true;
        Duration left =
                Durations.min(settings.maxClientTimeout(), MAX_CLIENT_TIMEOUT).plus(EXTRA_SERVING_TIME);
        settings.shutdownAt = loop.now().plus(left);
        loop.schedule(NEW_CONNECTIONS_PERIOD, () -> arrivalsEnded = true);
        loop.schedule(left, () -> {
            finalResponses = true;
            loop.schedule(FINAL_READ_TIME.dividedBy(2), this::closeListener);
            loop.schedule(FINAL_READ_TIME, loop::stop);
        });
    }

    /** Returns whether the shutdown has begun. */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns whether a connection closes after a response with this status. Until the final responses, only rejected
     * clients are disconnected, so that they try another dispatcher. Other clients keep their connection: it may be
     * their only one, since the other dispatchers of the zone may be restarting as well.
     */
    boolean closesAfter(int status) {
        return finalResponses || begun && status == 503;
    }

    /**
     * Closes idle connections once all requests must be answered. Stops the event loop when no request is pending and
     * the clients have read all responses.
     */
    void advance(Collection<ServerConnection> clients, boolean nothingPending) {
        if (finalResponses) {
            clients.stream().filter(ServerConnection::isIdle).toList().forEach(ServerConnection::closeIfNotServing);
        }
        if (arrivalsEnded && nothingPending && clients.isEmpty() && sockets.closingCount() == 0) {
            closeListener();
            if (clients.isEmpty()) {
                loop.stop();
            }
        }
    }

    /**
     * Accepts the connections that have arrived and refuses later ones. Otherwise connections that wait in the kernel
     * when the process exits would be closed without a response, and their clients would not know whether anything has
     * run.
     */
    private void closeListener() {
        Runnable closer = listenerCloser;
        listenerCloser = () -> {};
        closer.run();
    }

    /** Sets the action that accepts the connections that have arrived and closes the listener. */
    void setListenerCloser(Runnable closer) {
        listenerCloser = closer;
    }
}
