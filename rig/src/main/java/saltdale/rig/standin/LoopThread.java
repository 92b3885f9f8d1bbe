package saltdale.rig.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** A loop on a thread of its own. */
public final class LoopThread implements AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final int MOST_SOCKETS = 200_000;

    public final EventLoop loop;
    public final SocketBudget sockets;
    private final Thread thread;
    private volatile long mostLate; // ns

    public LoopThread(String name) throws IOException {
        loop = new EventLoop();
        sockets = new SocketBudget(loop, MOST_SOCKETS);
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

    /** Counts from now on how late it is; called on the loop. */
    public void monitorDelay() {
        tick(loop.elapsed());
    }

    /** Notes how late this thread comes to what is due: so late it may also have read what came in time. */
    private void tick(Duration due) {
        Duration now = loop.elapsed();
        mostLate = Math.max(mostLate, now.minus(due).toNanos());
        loop.schedule(TICK, () -> tick(now.plus(TICK)));
    }

    /** The most that this thread was late. */
    public Duration maxDelay() {
        return Duration.ofNanos(mostLate);
    }

    /** Does this on the loop's thread, and waits until it is done. */
    public void runAndWait(Runnable what) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                what.run();
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
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
