package saltdale.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The one thread: waits for sockets and timers, lets each one's owner take what is ready, and calls the turn's
 * end once when all has been gathered.
 */
public final class Loop {
    /** What a registered channel wants to be told. */
    interface Ready {
        void ready(SelectionKey key) throws IOException;

        /** Its code has thrown: only this one is to end. */
        void failed(Exception cause);
    }

    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final long BEAT = 100_000_000; // ns: it comes round so often at least while there is traffic
    private static final long TRAFFIC = 1_000_000_000; // ns: so long after something last came
    private static final long LATE = 50_000_000; // ns: later than this it stood still, which no wait explains
    private static final int MOST_ROUNDS = 32;
    private final Selector selector;
    private final long origin = System.nanoTime();
    private final Timers timers = new Timers();
    private final Queue<Runnable> soon = new ArrayDeque<>();
    private final Queue<Runnable> fromOutside = new ConcurrentLinkedQueue<>();
    /** Shared by all connections: what is read is taken out of it before the next read. */
    final ByteBuffer incoming = ByteBuffer.allocateDirect(1 << 16);

    private long now;
    private long cameAt; // when something was last ready
    private long stood;
    private boolean running = true;
    private long exceptions;

    public Loop() throws IOException {
        selector = Selector.open();
    }

    /** The time of this turn, since the start. */
    public Duration now() {
        return Duration.ofNanos(now);
    }

    /**
     * For how long the process stood still before this turn: stopped, or kept from its processor. Zero in an ordinary
     * turn. What is taken in such a turn may have come at any time of it.
     */
    public Duration stood() {
        return Duration.ofNanos(stood);
    }

    /** The time by now, which may be within a turn. */
    public Duration clock() {
        return Duration.ofNanos(System.nanoTime() - origin);
    }

    /** How many times a part's code threw; each time only that part ended. */
    public long exceptions() {
        return exceptions;
    }

    public Timer after(Duration span, Runnable what) {
        return timers.add(now + Math.max(0, span.toNanos()), what);
    }

    /** Does this in the next turn, for this part. */
    void soon(Ready part, Runnable what) {
        soon.add(() -> run(part, what::run));
    }

    /** Does this in the next turn. */
    public void soon(Runnable what) {
        soon.add(what);
    }

    /** Does this in the next turn; the one call for other threads. */
    public void fromOutside(Runnable what) {
        fromOutside.add(what);
        selector.wakeup();
    }

    public boolean isRunning() {
        return running;
    }

    public void stop() {
        running = false;
    }

    SelectionKey register(SelectableChannel channel, int interest, Ready ready) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, ready);
    }

    /** Turns until stopped. */
    public void run(Runnable turnEnd) throws IOException {
        while (running) {
            turn(turnEnd);
        }
    }

    /** Waits until something is ready, and serves all that is. */
    public void turn(Runnable turnEnd) throws IOException {
        long due = await();
        long before = now;
        now = System.nanoTime() - origin;
        stood = now - due > LATE ? now - before : 0;
        gather();
        // Guards against reading our own standstill as the others' silence, and against serving clients that have left
        // meanwhile: all that came is taken before any timer and any decision.
        for (int i = 0; stood > 0 && i < MOST_ROUNDS && selector.selectNow() > 0; i++) {
            gather();
        }
        for (int i = soon.size(); i > 0; i--) {
            guarded(soon.poll());
        }
        for (Runnable what = fromOutside.poll(); what != null; what = fromOutside.poll()) {
            guarded(what);
        }
        for (Timer next = timers.due(now); next != null; next = timers.due(now)) {
            guarded(next.what);
        }
        guarded(turnEnd);
    }

    /** Lets each part take what is ready for it. */
    private void gather() {
        cameAt = selector.selectedKeys().isEmpty() ? cameAt : now;
        for (SelectionKey key : selector.selectedKeys()) {
            Ready part = (Ready) key.attachment();
            run(part, () -> {
                if (key.isValid()) {
                    part.ready(key);
                }
            });
        }
        selector.selectedKeys().clear();
    }

    /** Waits, and returns by when at the latest it was to be awake again; Long.MAX_VALUE where for no time. */
    private long await() throws IOException {
        long from = System.nanoTime() - origin;
        long left = timers.nextAt() == Long.MAX_VALUE ? Long.MAX_VALUE : timers.nextAt() - from;
        if (from - cameAt < TRAFFIC) {
            left = Math.min(left, BEAT);
        }
        if (!soon.isEmpty() || left <= 0) {
            left = 0;
            selector.selectNow();
        } else {
            selector.select(left == Long.MAX_VALUE ? 0 : (left + 999_999) / 1_000_000);
        }
        return left == Long.MAX_VALUE ? left : Math.min(from, now + BEAT) + left;
    }

    /** What a part does when it is its turn; sockets may fail in it. */
    private interface Task {
        void run() throws IOException;
    }

    private void run(Ready part, Task what) {
        try {
            what.run();
        } catch (IOException | RuntimeException e) {
            count(e);
            guarded(() -> part.failed(e));
        }
    }

    /** Does this; what it throws is logged and counted, and ends nothing else. */
    public void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            count(e);
        }
    }

    private void count(Exception e) {
        exceptions++;
        LOG.log(Level.SEVERE, "an exception ended what was being done", e);
    }
}
