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
public final class EventLoop {
    /** What a registered channel wants to be told. */
    interface ChannelHandler {
        void onReady(SelectionKey key) throws IOException;

        /** Its code has thrown: only this one is to end. */
        void onFailure(Exception cause);
    }

    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    private static final long MAX_ACTIVE_WAIT_NANOS =
            100_000_000; // ns: it comes round so often at least while there is traffic
    private static final long ACTIVE_PERIOD_NANOS = 1_000_000_000; // ns: so long after something last came
    private static final long STALL_THRESHOLD_NANOS =
            50_000_000; // ns: later than this it stood still, which no wait explains
    private static final int MAX_CATCH_UP_SELECTS = 32;
    private final Selector selector;
    private final long originNanos = System.nanoTime();
    private final TimerQueue timers = new TimerQueue();
    private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
    private final Queue<Runnable> externalTasks = new ConcurrentLinkedQueue<>();
    /** Shared by all connections: what is read is taken out of it before the next read. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(1 << 16);

    private long nowNanos;
    private long lastReadyNanos; // when something was last ready
    private long stallNanos;
    private boolean running = true;
    private long exceptionCount;

    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** The time of this turn, since the start. */
    public Duration now() {
        return Duration.ofNanos(nowNanos);
    }

    /**
     * For how long the process stood still before this turn: stopped, or kept from its processor. Zero in an ordinary
     * turn. What is taken in such a turn may have come at any time of it.
     */
    public Duration stallDuration() {
        return Duration.ofNanos(stallNanos);
    }

    /** The time by now, which may be within a turn. */
    public Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - originNanos);
    }

    /** How many times a part's code threw; each time only that part ended. */
    public long exceptionCount() {
        return exceptionCount;
    }

    public Timer schedule(Duration span, Runnable what) {
        return timers.add(nowNanos + Math.max(0, span.toNanos()), what);
    }

    /** Does this in the next turn, for this part. */
    void defer(ChannelHandler part, Runnable what) {
        deferredTasks.add(() -> runGuarded(part, what::run));
    }

    /** Does this in the next turn. */
    public void defer(Runnable what) {
        deferredTasks.add(what);
    }

    /** Does this in the next turn; the one call for other threads. */
    public void execute(Runnable what) {
        externalTasks.add(what);
        selector.wakeup();
    }

    public boolean isRunning() {
        return running;
    }

    public void stop() {
        running = false;
    }

    SelectionKey register(SelectableChannel channel, int interest, ChannelHandler ready) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, ready);
    }

    /** Turns until stopped. */
    public void run(Runnable turnEnd) throws IOException {
        while (running) {
            runOnce(turnEnd);
        }
    }

    /** Waits until something is ready, and serves all that is. */
    public void runOnce(Runnable turnEnd) throws IOException {
        long due = select();
        long before = nowNanos;
        nowNanos = System.nanoTime() - originNanos;
        stallNanos = nowNanos - due > STALL_THRESHOLD_NANOS ? nowNanos - before : 0;
        dispatchReadyChannels();
        // Guards against reading our own standstill as the others' silence, and against serving clients that have left
        // meanwhile: all that came is taken before any timer and any decision.
        for (int i = 0; stallNanos > 0 && i < MAX_CATCH_UP_SELECTS && selector.selectNow() > 0; i++) {
            dispatchReadyChannels();
        }
        for (int i = deferredTasks.size(); i > 0; i--) {
            runGuarded(deferredTasks.poll());
        }
        for (Runnable what = externalTasks.poll(); what != null; what = externalTasks.poll()) {
            runGuarded(what);
        }
        for (Timer next = timers.pollDue(nowNanos); next != null; next = timers.pollDue(nowNanos)) {
            runGuarded(next.task);
        }
        runGuarded(turnEnd);
    }

    /** Lets each part take what is ready for it. */
    private void dispatchReadyChannels() {
        lastReadyNanos = selector.selectedKeys().isEmpty() ? lastReadyNanos : nowNanos;
        for (SelectionKey key : selector.selectedKeys()) {
            ChannelHandler part = (ChannelHandler) key.attachment();
            runGuarded(part, () -> {
                if (key.isValid()) {
                    part.onReady(key);
                }
            });
        }
        selector.selectedKeys().clear();
    }

    /** Waits, and returns by when at the latest it was to be awake again; Long.MAX_VALUE where for no time. */
    private long select() throws IOException {
        long from = System.nanoTime() - originNanos;
        long left = timers.nextDueNanos() == Long.MAX_VALUE ? Long.MAX_VALUE : timers.nextDueNanos() - from;
        if (from - lastReadyNanos < ACTIVE_PERIOD_NANOS) {
            left = Math.min(left, MAX_ACTIVE_WAIT_NANOS);
        }
        if (!deferredTasks.isEmpty() || left <= 0) {
            left = 0;
            selector.selectNow();
        } else {
            selector.select(left == Long.MAX_VALUE ? 0 : (left + 999_999) / 1_000_000);
        }
        return left == Long.MAX_VALUE ? left : Math.min(from, nowNanos + MAX_ACTIVE_WAIT_NANOS) + left;
    }

    /** What a part does when it is its turn; sockets may fail in it. */
    private interface Task {
        void run() throws IOException;
    }

    private void runGuarded(ChannelHandler part, Task what) {
        try {
            what.run();
        } catch (IOException | RuntimeException e) {
            recordException(e);
            runGuarded(() -> part.onFailure(e));
        }
    }

    /** Does this; what it throws is logged and counted, and ends nothing else. */
    public void runGuarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            recordException(e);
        }
    }

    private void recordException(Exception e) {
        exceptionCount++;
        LOG.log(Level.SEVERE, "an exception ended what was being done", e);
    }
}
