package saltdale.transport;

import java.time.Duration;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The descriptors that connections may hold. When there is none left, those that can be spared are closed, by their
 * rank and the longest spared first; a part is kept for dialling, so that clients alone cannot use up all.
 */
public final class Sockets {
    /** What can be spared, the least missed first. */
    public enum Rank {
        /** Answered for the last time: the peer has yet to read it and close. */
        ANSWERED,
        /** A client of which no request has been taken so far. */
        STRANGER,
        /** A client between two requests. */
        CLIENT,
        /** To a runner, between two requests. */
        RUNNER
    }

    // Of so many parts, clients are served on all but three, and turned away on all but two.
    private static final int PARTS = 16;
    private static final int SERVED_ON = 13;
    private static final int TURNED_AWAY_ON = 14;
    /** Guards against closing a connection that has only just come, whose request has not been read yet. */
    static final Duration YOUNG = Duration.ofMillis(100);

    private final Loop loop;
    private int most;
    private int open;
    private final Map<Rank, Map<Runnable, Duration>> idle = new EnumMap<>(Rank.class);
    private Runnable onGiveBack = () -> {};

    public Sockets(Loop loop, int most) {
        this.loop = loop;
        this.most = most;
        for (Rank rank : Rank.values()) {
            idle.put(rank, new LinkedHashMap<>());
        }
    }

    /** The limit is another one from now on; what can be spared over it closes when the next one wants room. */
    public void most(int limit) {
        most = limit;
    }

    public int open() {
        return open;
    }

    /** A connection that can be spared from now on, by what closes it. */
    public void idle(Rank rank, Runnable close) {
        busy(close);
        idle.get(rank).put(close, loop.now());
    }

    public void busy(Runnable close) {
        idle.values().forEach(each -> each.remove(close));
    }

    /** How many connections wait only for their peers to read the last bytes. */
    public int finishing() {
        return idle.get(Rank.ANSWERED).size();
    }

    void onGiveBack(Runnable what) {
        onGiveBack = what;
    }

    boolean takeForClient() {
        return take(most * SERVED_ON / PARTS);
    }

    /** Whether there is room for another client, if only to turn it away. */
    boolean couldTurnAway() {
        return open < most * TURNED_AWAY_ON / PARTS || eldest() != null;
    }

    /** For a client that is only to be turned away. */
    boolean takeToTurnAway() {
        return take(most * TURNED_AWAY_ON / PARTS);
    }

    boolean takeForDialing() {
        return take(most);
    }

    private boolean take(int bound) {
        for (Runnable eldest = eldest(); open >= bound && eldest != null; eldest = eldest()) {
            busy(eldest);
            eldest.run();
        }
        if (open >= bound) {
            return false;
        }
        open++;
        return true;
    }

    /** What closes the connection that is missed least; null where none has been idle for a while. */
    private Runnable eldest() {
        for (Map<Runnable, Duration> each : idle.values()) {
            if (!each.isEmpty()) {
                Map.Entry<Runnable, Duration> first = each.entrySet().iterator().next();
                if (loop.now().minus(first.getValue()).compareTo(YOUNG) >= 0) {
                    return first.getKey();
                }
            }
        }
        return null;
    }

    void gaveBack() {
        open--;
        onGiveBack.run();
    }
}
