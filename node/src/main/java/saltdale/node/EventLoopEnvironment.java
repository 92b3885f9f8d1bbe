package saltdale.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import saltdale.control.Counters;
import saltdale.control.Environment;
import saltdale.control.Invariant;
import saltdale.control.message.Message;
import saltdale.transport.Address;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;
import saltdale.transport.Timer;

/**
 * The environment of a real process: its event loop, its sockets, its connections to the other processes of the system
 * and, if it stores records, its disk.
 */
final class EventLoopEnvironment implements Environment {
    /** The stable storage of the process. */
    interface Disk {
        /** Writes records to disk, all or none; a null value removes the record. Throws if that fails. */
        void write(Map<String, byte[]> records) throws Exception;
    }

    private static final int UNSENT_HEAP_DIVISOR = 8; // the share of the heap that may wait for other processes
    private static final int RESERVED_FILE_DESCRIPTORS = 260; // 200 kept by the platform; jars, logs, disk

    final EventLoop loop;
    final SocketBudget sockets;
    final PeerConnections peerConnections;
    final LogRing logRing;
    private final SplittableRandom random =
            new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 40);
    private final Disk disk;
    private final ExecutorService diskWriter;
    private final Counters counters = new Counters();

    EventLoopEnvironment(Settings settings, Disk disk, PeerConnections.MessageHandler messageHandler)
            throws IOException {
        loop = new EventLoop();
        loop.setFailureListener(cause -> check(Invariant.TASK_COMPLETED, false, () -> Environment.describe(cause)));
        logRing = new LogRing(() -> loop.elapsed().toMillis());
        sockets = new SocketBudget(loop, Math.max(64, settings.maxFileDescriptors - RESERVED_FILE_DESCRIPTORS));
        peerConnections = new PeerConnections(
                loop,
                sockets,
                settings.host,
                settings.internalPort,
                Duration.ofNanos(settings.heartbeatNanos * 2 / 3),
                Runtime.getRuntime().maxMemory() / UNSENT_HEAP_DIVISOR,
                messageHandler);
        this.disk = disk;
        diskWriter = disk == null
                ? null
                : Executors.newSingleThreadExecutor(task -> {
                    Thread thread = new Thread(task, "disk");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Logs periodically what was sent to the other processes since the start, by kind: messages/bytes. */
    void logTraffic(Duration interval) {
        loop.schedule(interval, () -> {
            StringBuilder line = new StringBuilder("sent:");
            peerConnections.sentByKind.forEach((kind, count) -> line.append(' ')
                    .append(kind)
                    .append(' ')
                    .append(count[0])
                    .append('/')
                    .append(count[1]));
            log(line.toString());
            logTraffic(interval);
        });
    }

    @Override
    public long now() {
        return loop.elapsed().toNanos();
    }

    @Override
    public SplittableRandom random() {
        return random;
    }

    @Override
    public Runnable schedule(long delayNanos, Runnable task) {
        Timer timer = loop.schedule(loop.elapsed().minus(loop.now()).plusNanos(Math.max(0, delayNanos)), task);
        return timer::cancel;
    }

    @Override
    public void send(String host, Message message) {
        peerConnections.send(host, message);
    }

    /** A separate thread writes, in the order of the calls, so that the event loop never waits for the disk. */
    @Override
    public void persist(Map<String, byte[]> records, Consumer<Boolean> onComplete) {
        diskWriter.execute(() -> {
            boolean written = tryWrite(records);
            loop.execute(() -> onComplete.accept(written));
        });
    }

    private boolean tryWrite(Map<String, byte[]> records) {
        try {
            disk.write(records);
            return true;
        } catch (Exception e) {
            logRing.add("write to disk failed: " + e.getMessage() + (e.getCause() == null ? "" : ", " + e.getCause()));
        } catch (Error e) {
            // The event loop decides whether the process can go on; here the error would only end this thread.
            loop.execute(() -> {
                throw e;
            });
        }
        return false;
    }

    @Override
    public void runGuarded(Runnable task) {
        loop.runGuarded(task);
    }

    @Override
    public void log(String message) {
        logRing.add(message);
    }

    @Override
    public Counters counters() {
        return counters;
    }

    @Override
    public void reportViolation(Invariant invariant, String detail) {
        logRing.reportError("invariant " + invariant + " does not hold: " + detail);
    }

    /** Parses a numeric address with a port; {@code key} is the setting that holds it. */
    static InetSocketAddress parseAddress(String text, String key) throws Settings.InvalidSettingsException {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new Settings.InvalidSettingsException(key + ": " + text + " is not a numeric address with a port");
        }
        return address;
    }
}
