package saltdale.transport;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The descriptors that connections may hold. Those that stand idle are closed, the longest idle first, when
 * there is none left; a part is kept for dialling, so that clients alone cannot use up all.
 */
public final class Sockets {
    private static final int DIALLING_PART = 8;  // one in so many is not for clients

    private final int most;
    private int open;
    private int finishing;
    private final Set<Runnable> idle = new LinkedHashSet<>();
    private Runnable onGiveBack = () -> { };

    public Sockets(int most) {
        this.most = most;
    }

    public int open() {
        return open;
    }

    /** An idle connection, by what closes it. */
    public void idle(Runnable close) {
        idle.add(close);
    }

    public void busy(Runnable close) {
        idle.remove(close);
    }

    /** How many connections wait only for their peers to read the last bytes. */
    public int finishing() {
        return finishing;
    }

    void finishing(int more) {
        finishing += more;
    }

    void onGiveBack(Runnable what) {
        onGiveBack = what;
    }

    boolean takeForClient() {
        return take(most - most / DIALLING_PART);
    }

    boolean takeForDialing() {
        return take(most);
    }

    private boolean take(int bound) {
        while (open >= bound && !idle.isEmpty()) {
            Runnable eldest = idle.iterator().next();
            idle.remove(eldest);
            eldest.run();
        }
        if (open >= bound) {
            return false;
        }
        open++;
        return true;
    }

    void gaveBack() {
        open--;
        onGiveBack.run();
    }
}
