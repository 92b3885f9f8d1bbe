package saltdale.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A single-threaded event loop. Each iteration waits for ready channels and due timers, dispatches ready channels, runs
 * deferred tasks and due timers, and finally runs the end-of-iteration task once. Channels of clients are dispatched
 * after all others and for a limited time; those that are left have their turn in the next iterations, before any of
 * them has another one. So clients delay neither timers nor the messages of other processes for long.
 *
 * <p>What a task throws ends that task alone: it is logged and counted, its channel is closed if it has one, and the
 * loop goes on. This holds for every exception and for every error but those of a virtual machine that can no longer be
 * relied on, such as {@link OutOfMemoryError}; these leave {@link #run}, which ends the process at once, so that it is
 * replaced instead of going on with parts of its work undone. {@link StackOverflowError} is contained: the stack is
 * free again once the task has ended.
 */
public final class EventLoop {
    /** Handles the events of a registered channel. */
    interface ChannelHandler {
        /** The channel is ready for at least one of the operations of its key. */
        void onReady(SelectionKey key) throws IOException;

        /** A task of this handler failed; only this handler's channel is to be closed. */
        void onFailure(Throwable cause);

        /** Returns whether this is the channel of a client, which may be dispatched in a later iteration. */
        default boolean isClient() {
            return false;
        }
    }

    /** Is told of each failure that was contained, other than an I/O error of a channel. */
    public interface FailureListener {
        /** A task ended with this exception or error; {@code cause} has been logged. */
        void taskFailed(Throwable cause);
    }

    private static final Logger LOG = Logger.getLogger(EventLoop.class.getName());
    // The longest wait of one iteration while there is traffic.
    private static final long MAX_ACTIVE_WAIT_NANOS = 100_000_000;
    // There is traffic until this long after a channel was last ready.
    private static final long ACTIVE_PERIOD_NANOS = 1_000_000_000;
    // If an iteration starts later than this after the end of its wait, the process was stalled.
    private static final long STALL_THRESHOLD_NANOS = 50_000_000;
    private static final int MAX_CATCH_UP_SELECTS = 32;
    /** For how long the channels of clients are dispatched in one iteration, and in one after a stall. */
    private static final long MAX_CLIENT_NANOS = 20_000_000;

    private static final long MAX_CLIENT_CATCH_UP_NANOS = 200_000_000;
    private static final int CLIENTS_PER_CLOCK_READ = 8;
    private final Selector selector;
    private final long originNanos = System.nanoTime();
    private final TimerQueue timers = new TimerQueue();
    private final Queue<Runnable> deferredTasks = new ArrayDeque<>();
    private final Queue<Runnable> externalTasks = new ConcurrentLinkedQueue<>();
    private final Set<SelectionKey> readyClients = new LinkedHashSet<>(); // in the order of their turns
    /** Shared by all connections: the bytes of one read must be consumed before the next read. */
    final ByteBuffer readBuffer = ByteBuffer.allocateDirect(1 << 16);
    /** Shared by all connections: holds the bytes of one write. */
    final ByteBuffer writeBuffer = ByteBuffer.allocateDirect(1 << 16);

    private long nowNanos;
    private long lastReadyNanos; // when a channel was last ready
    private long stallNanos;
    private boolean running = true;
    private long failureCount;
    private FailureListener failureListener = cause -> {};

    /** Creates an event loop with its own selector; it does nothing until {@link #run} or {@link #runOnce}. */
    public EventLoop() throws IOException {
        selector = Selector.open();
    }

    /** Returns the start time of the current iteration, as the time since the loop was created. */
    public Duration now() {
        return Duration.ofNanos(nowNanos);
    }

    /**
     * Returns for how long the process was stalled before this iteration (stopped, or without CPU time), or zero after
     * an ordinary wait. Input that is read after a stall may have arrived at any time during it.
     */
    public Duration stallDuration() {
        return Duration.ofNanos(stallNanos);
    }

    /** Returns the exact current time since the loop was created; it advances within an iteration. */
    public Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - originNanos);
    }

    /** Returns how many tasks have failed; each failure affected only its own channel or task. */
    public long failureCount() {
        return failureCount;
    }

    /** Sets the listener that is told of contained failures. */
    public void setFailureListener(FailureListener listener) {
        failureListener = listener;
    }

    /** Schedules a task to run once the delay has passed since the start of the current iteration. */
    public Timer schedule(Duration delay, Runnable task) {
        return timers.add(nowNanos + Math.max(0, delay.toNanos()), task);
    }

    /** Runs the task in the next iteration; a failure is reported to the handler. */
    void defer(ChannelHandler handler, Runnable task) {
        deferredTasks.add(() -> runGuarded(handler, task::run));
    }

    /** Runs the task in the next iteration. */
    public void defer(Runnable task) {
        deferredTasks.add(task);
    }

    /** Runs the task in the next iteration. This is the only method that other threads may call. */
    public void execute(Runnable task) {
        externalTasks.add(task);
        selector.wakeup();
    }

    /** Returns whether {@link #stop} has not been called yet. */
    public boolean isRunning() {
        return running;
    }

    /** Makes {@link #run} return after the current iteration. */
    public void stop() {
        running = false;
    }

    SelectionKey register(SelectableChannel channel, int interestOps, ChannelHandler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interestOps, handler);
    }

    /** Runs iterations until the loop is stopped; {@code iterationEnd} runs at the end of each one. */
    public void run(Runnable iterationEnd) throws IOException {
        while (running) {
            runOnce(iterationEnd);
        }
    }

    /** Runs one iteration: waits until something is ready or due, and handles all of it. */
    public void runOnce(Runnable iterationEnd) throws IOException {
        long latestWakeupNanos = select();
        long previousNanos = nowNanos;
        nowNanos = System.nanoTime() - originNanos;
        stallNanos = nowNanos - latestWakeupNanos > STALL_THRESHOLD_NANOS ? nowNanos - previousNanos : 0;
        dispatchReadyChannels();
        long clientsEndNanos = System.nanoTime() + (stallNanos > 0 ? MAX_CLIENT_CATCH_UP_NANOS : MAX_CLIENT_NANOS);
        dispatchReadyClients(clientsEndNanos);
        // After a stall, reads all pending input before any timer or decision. Otherwise the loop would take its own
        // stall for silence of its peers, and would serve clients that have disconnected in the meantime.
        for (int i = 0; stallNanos > 0 && i < MAX_CATCH_UP_SELECTS && selector.selectNow() > 0; i++) {
            dispatchReadyChannels();
            dispatchReadyClients(clientsEndNanos);
        }
        for (int i = deferredTasks.size(); i > 0; i--) {
            runGuarded(deferredTasks.poll());
        }
        for (Runnable task = externalTasks.poll(); task != null; task = externalTasks.poll()) {
            runGuarded(task);
        }
        for (Timer next = timers.pollDue(nowNanos); next != null; next = timers.pollDue(nowNanos)) {
            runGuarded(next.task);
        }
        runGuarded(iterationEnd);
    }

    /** Dispatches all ready channels but those of clients, which are given a turn. */
    private void dispatchReadyChannels() {
        lastReadyNanos = selector.selectedKeys().isEmpty() ? lastReadyNanos : nowNanos;
        for (SelectionKey key : selector.selectedKeys()) {
            if (((ChannelHandler) key.attachment()).isClient()) {
                readyClients.add(key);
            } else {
                dispatch(key);
            }
        }
        selector.selectedKeys().clear();
    }

    private void dispatchReadyClients(long endNanos) {
        while (!readyClients.isEmpty() && System.nanoTime() - endNanos < 0) {
            for (int i = 0; i < CLIENTS_PER_CLOCK_READ && !readyClients.isEmpty(); i++) {
                SelectionKey key = readyClients.iterator().next();
                readyClients.remove(key);
                dispatch(key);
            }
        }
    }

    private void dispatch(SelectionKey key) {
        ChannelHandler handler = (ChannelHandler) key.attachment();
        runGuarded(handler, () -> {
            if (key.isValid()) {
                handler.onReady(key);
            }
        });
    }

    /**
     * Waits for ready channels until the next timer is due. Returns the latest time at which the wait should have
     * ended, or Long.MAX_VALUE if it was unlimited.
     */
    private long select() throws IOException {
        long startNanos = System.nanoTime() - originNanos;
        long waitNanos = timers.nextDueNanos() == Long.MAX_VALUE ? Long.MAX_VALUE : timers.nextDueNanos() - startNanos;
        if (startNanos - lastReadyNanos < ACTIVE_PERIOD_NANOS) {
            waitNanos = Math.min(waitNanos, MAX_ACTIVE_WAIT_NANOS);
        }
        if (!deferredTasks.isEmpty() || !readyClients.isEmpty() || waitNanos <= 0) {
            waitNanos = 0;
            selector.selectNow();
        } else {
            selector.select(waitNanos == Long.MAX_VALUE ? 0 : (waitNanos + 999_999) / 1_000_000);
        }
        return waitNanos == Long.MAX_VALUE
                ? waitNanos
                : Math.min(startNanos, nowNanos + MAX_ACTIVE_WAIT_NANOS) + waitNanos;
    }

    /** A task of a channel handler, which may fail with an I/O error. */
    private interface Task {
        void run() throws IOException;
    }

    private void runGuarded(ChannelHandler handler, Task task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | Error e) {
            recordFailure(e);
            runGuarded(() -> handler.onFailure(e));
        }
    }

    /** Runs the task; what it throws is contained, as described at this class. */
    public void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            recordFailure(e);
        }
    }

    private void recordFailure(Throwable cause) {
        if (cause instanceof VirtualMachineError fatal && !(cause instanceof StackOverflowError)) {
            throw fatal;
        }
        failureCount++;
        LOG.log(Level.SEVERE, "uncaught exception in a task of the event loop", cause);
        if (!(cause instanceof IOException)) {
            failureListener.taskFailed(cause);
        }
    }
}
