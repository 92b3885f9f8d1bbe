package saltdale.routing;

import java.time.Duration;
import java.util.Collection;
import saltdale.model.DispatcherSettings;
import saltdale.model.Durations;
import saltdale.serving.ServerConnection;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** The end of a dispatcher that was told to: it serves on, answers all that is held in time, then stops the loop. */
final class Ending {
    /** How long new connections may come after the word to end. */
    private static final Duration NEW_ONES_COME = Duration.ofMillis(500);
    /** The process may be killed outright once the longest patience, or this, has passed, and 0.7 s more. */
    private static final Duration LONGEST = Duration.ofSeconds(3);
    /** What of those 0.7 s is served in, and what is left for the last answers to be read. */
    private static final Duration SERVED = Duration.ofMillis(300);

    private static final Duration READ = Duration.ofMillis(250);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final DispatcherSettings orders;
    private boolean begun;
    private boolean quiet; // no new connections come
    private boolean answering;
    private Runnable listening = () -> {}; // ends it; done once

    Ending(EventLoop loop, SocketBudget sockets, DispatcherSettings orders) {
        this.loop = loop;
        this.sockets = sockets;
        this.orders = orders;
    }

    /** Begins it: by the time that the orders now name, all must have been answered. */
    void begin() {
        begun = true;
        Duration left = Durations.min(orders.maxClientTimeout(), LONGEST).plus(SERVED);
        orders.shutdownAt = loop.now().plus(left);
        loop.schedule(NEW_ONES_COME, () -> quiet = true);
        loop.schedule(left, () -> {
            answering = true;
            loop.schedule(READ.dividedBy(2), this::listenNoMore);
            loop.schedule(READ, loop::stop);
        });
    }

    boolean hasBegun() {
        return begun;
    }

    /**
     * Whether a connection closes with this answer. Until the last moment only those that were turned away, to go
     * elsewhere. Guards against clients that lose their only way in: the rest of a zone may be restarting as well.
     */
    boolean closes(int status) {
        return answering || begun && status == 503;
    }

    /** Once all must be answered: closes idle connections; stops when nothing is held and all has been read. */
    void look(Collection<ServerConnection> clients, boolean nothingHeld) {
        if (answering) {
            clients.stream().filter(ServerConnection::isIdle).toList().forEach(ServerConnection::closeIfNotServing);
        }
        if (quiet && nothingHeld && clients.isEmpty() && sockets.closingCount() == 0) {
            listenNoMore();
            if (clients.isEmpty()) {
                loop.stop();
            }
        }
    }

    /**
     * Takes in what has come and then refuses. Guards against clients whose new connections wait in the kernel when the
     * process ends: those would be closed with no answer, and their clients not know whether anything has run.
     */
    private void listenNoMore() {
        Runnable ends = listening;
        listening = () -> {};
        ends.run();
    }

    /** What ends the listening, all that has come by then taken in. */
    void listening(Runnable end) {
        listening = end;
    }
}
