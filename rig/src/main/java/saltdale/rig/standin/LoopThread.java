package saltdale.rig.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** An event loop on its own daemon thread. */
public final class LoopThread implements AutoCloseable {
    private static final Duration MEASUREMENT_INTERVAL = Duration.ofMillis(10);
    private static final int MAX_SOCKETS = 200_000;
    private static final long STOP_TIMEOUT_MS = 5000;

    public final EventLoop loop;
    public final SocketBudget sockets;
    private final Thread thread;
    private volatile long maxDelayNanos;

    public LoopThread(String name) throws IOException {
        loop = new EventLoop();
        sockets = new SocketBudget(loop, MAX_SOCKETS);
        thread = new Thread(
                () -> {
                    try {
                        loop.run(() -> {});
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                },
                name);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Starts to measure how late timers fire. Called on the loop. */
    public void monitorDelay() {
        measureDelay(loop.elapsed());
    }

    /** Records how late this timer fired: bytes that arrived in time may have been read equally late. */
    private void measureDelay(Duration due) {
        Duration now = loop.elapsed();
        maxDelayNanos = Math.max(maxDelayNanos, now.minus(due).toNanos());
        loop.schedule(MEASUREMENT_INTERVAL, () -> measureDelay(now.plus(MEASUREMENT_INTERVAL)));
    }

    /** The longest timer delay measured so far. */
    public Duration maxDelay() {
        return Duration.ofNanos(maxDelayNanos);
    }

    /** Runs an action on the loop's thread and waits until it has finished. */
    public void runAndWait(Runnable action) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                action.run();
            } finally {
                done.countDown();
            }
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        loop.execute(loop::stop);
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
