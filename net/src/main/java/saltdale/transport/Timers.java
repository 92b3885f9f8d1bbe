package saltdale.transport;

import java.util.TreeSet;

/** What is to be done at which time, on the clock of the loop. */
final class Timers {
    private final TreeSet<Timer> waiting = new TreeSet<>();
    private long next;

    Timer add(long at, Runnable what) {
        Timer timer = new Timer(this, at, next++, what);
        waiting.add(timer);
        return timer;
    }

    void remove(Timer timer) {
        waiting.remove(timer);
    }

    /** When the next one is due; Long.MAX_VALUE where none waits. */
    long nextAt() {
        return waiting.isEmpty() ? Long.MAX_VALUE : waiting.first().at;
    }

    /** The next one due by now, taken out; null where none is. */
    Timer due(long now) {
        return nextAt() > now ? null : waiting.pollFirst();
    }
}
