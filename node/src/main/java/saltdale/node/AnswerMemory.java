package saltdale.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/**
 * Bounds the memory that answers take together: those that arrive from instances and those that clients have yet to
 * read. An answer for which there is no room is not read on until there is, or until its request ends. Clients that
 * read nothing meanwhile lose their connections.
 */
final class AnswerMemory {
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(10);
    /** A client that reads nothing for this long may lose its connection if there is no room for other answers. */
    private static final Duration MAX_TIME_WITHOUT_READING = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final long limitBytes;
    private final Map<UpstreamExchange, Long> heldByExchange = new HashMap<>();
    private final Set<UpstreamExchange> paused = new LinkedHashSet<>();
    private long heldBytes;

    /** {@code sockets} are those of the clients that the answers are sent to. */
    AnswerMemory(EventLoop loop, SocketBudget sockets, long limitBytes) {
        this.loop = loop;
        this.sockets = sockets;
        this.limitBytes = limitBytes;
    }

    /** Returns how many bytes are held of answers that arrive or have arrived, and were not passed on yet. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns the bound of these bytes, together with those that clients have yet to read. */
    long limitBytes() {
        return limitBytes;
    }

    /** Returns whether there is room for what is known of the answer; if not, the exchange is resumed later. */
    boolean mayReadOn(UpstreamExchange exchange) {
        if (tryHold(exchange)) {
            return true;
        }
        if (paused.isEmpty()) {
            loop.schedule(RETRY_INTERVAL, this::resume);
        }
        paused.add(exchange);
        return false;
    }

    /** Returns whether there was room. The only answer is let through however large, unless many are left unread. */
    private boolean tryHold(UpstreamExchange exchange) {
        long known = exchange.answerBytesKnown();
        long missing = known - heldByExchange.getOrDefault(exchange, 0L);
        boolean isOnlyAnswer = heldByExchange.isEmpty() && sockets.unsentBytes() <= limitBytes / 2;
        if (missing > 0 && !isOnlyAnswer && heldBytes + missing + sockets.unsentBytes() > limitBytes) {
            return false;
        }
        heldBytes += missing;
        heldByExchange.put(exchange, known);
        return true;
    }

    private void resume() {
        for (Iterator<UpstreamExchange> each = paused.iterator(); each.hasNext(); ) {
            UpstreamExchange exchange = each.next();
            if (!tryHold(exchange)) {
                sockets.closeLongestNotReading(MAX_TIME_WITHOUT_READING);
                break;
            }
            each.remove();
            exchange.resumeReading();
        }
        if (!paused.isEmpty()) {
            loop.schedule(RETRY_INTERVAL, this::resume);
        }
    }

    /** The exchange has ended: its answer was passed on, or is not needed any more. */
    void release(UpstreamExchange exchange) {
        Long held = heldByExchange.remove(exchange);
        heldBytes -= held == null ? 0 : held;
        paused.remove(exchange);
    }
}
