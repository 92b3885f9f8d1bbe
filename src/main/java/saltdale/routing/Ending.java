package saltdale.routing;

import java.time.Duration;
import java.util.Collection;
import saltdale.model.Spans;
import saltdale.model.StandingOrders;
import saltdale.transport.Loop;
import saltdale.transport.Sockets;

/** The end of a dispatcher that was told to: it serves on, answers all that is held in time, then stops the loop. */
final class Ending {
    /** How long new connections may come after the word to end. */
    private static final Duration NEW_ONES_COME = Duration.ofMillis(500);
    /** When the process may be killed outright, less the time for the last answers. */
    private static final Duration LONGEST = Duration.ofSeconds(3);
    private static final Duration LAST_ANSWERS = Duration.ofMillis(400);

    private final Loop loop;
    private final Sockets sockets;
    private final StandingOrders orders;
    private boolean begun;
    private boolean closingIdle;
    private boolean answering;

    Ending(Loop loop, Sockets sockets, StandingOrders orders) {
        this.loop = loop;
        this.sockets = sockets;
        this.orders = orders;
    }

    /** Begins it; {@code answerAll} answers at once whatever is held. */
    void begin(Runnable answerAll) {
        begun = true;
        loop.after(NEW_ONES_COME, () -> closingIdle = true);
        loop.after(Spans.least(orders.longestPatience(), LONGEST), () -> {
            answering = true;
            answerAll.run();
            loop.after(LAST_ANSWERS, loop::stop);
        });
    }

    boolean hasBegun() {
        return begun;
    }

    /** True once whatever is taken must be answered at once. */
    boolean isAnswering() {
        return answering;
    }

    /** Once no new connections come: closes idle ones, and stops when nothing is held and all has been read. */
    void look(Collection<Client> clients, boolean nothingHeld) {
        if (closingIdle) {
            clients.stream().filter(Client::isIdle).toList().forEach(Client::drop);
            if (nothingHeld && clients.isEmpty() && sockets.finishing() == 0) {
                loop.stop();
            }
        }
    }
}
