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
 * The world of one process: its loop, its sockets, its connections to the other processes and, where there is
 * one, its disk.
 */
final class EventLoopEnvironment implements Environment {
    /** Writes records to disk, all or none; throws where that cannot be done. */
    interface Disk {
        void write(Map<String, byte[]> records) throws Exception;
    }

    private static final int OTHER_DESCRIPTORS = 260; // 200 are kept by the platform, the rest are jars, logs, the disk

    final EventLoop loop;
    final SocketBudget sockets;
    final PeerConnections peerConnections;
    final LogRing ring;
    private final SplittableRandom chance =
            new SplittableRandom(System.nanoTime() ^ ProcessHandle.current().pid() << 40);
    private final Disk disk;
    private final ExecutorService writer;
    private final Counters counters = new Counters();

    EventLoopEnvironment(Settings settings, Disk disk, PeerConnections.Reader reader) throws IOException {
        loop = new EventLoop();
        ring = new LogRing(() -> loop.elapsed().toMillis());
        sockets = new SocketBudget(loop, Math.max(64, settings.descriptors - OTHER_DESCRIPTORS));
        peerConnections = new PeerConnections(
                loop, sockets, settings.host, settings.port, Duration.ofNanos(settings.heartbeat * 2 / 3), reader);
        this.disk = disk;
        writer = disk == null
                ? null
                : Executors.newSingleThreadExecutor(task -> {
                    Thread thread = new Thread(task, "disk");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Notes from time to time what was sent to the other processes, by kind: messages/bytes. */
    void noteTraffic(Duration every) {
        loop.schedule(every, () -> {
            StringBuilder all = new StringBuilder("sent:");
            peerConnections.sent.forEach((kind, count) -> all.append(' ')
                    .append(kind)
                    .append(' ')
                    .append(count[0])
                    .append('/')
                    .append(count[1]));
            log(all.toString());
            noteTraffic(every);
        });
    }

    @Override
    public long now() {
        return loop.elapsed().toNanos();
    }

    @Override
    public SplittableRandom random() {
        return chance;
    }

    @Override
    public Runnable schedule(long nanos, Runnable what) {
        Timer timer = loop.schedule(loop.elapsed().minus(loop.now()).plusNanos(Math.max(0, nanos)), what);
        return timer::cancel;
    }

    @Override
    public void send(String host, Message message) {
        peerConnections.send(host, message);
    }

    /** The loop never waits for the disk: a thread of its own writes, in order. */
    @Override
    public void persist(Map<String, byte[]> records, Consumer<Boolean> done) {
        writer.execute(() -> {
            boolean written;
            try {
                disk.write(records);
                written = true;
            } catch (Exception e) {
                written = false;
                ring.note("the disk refused a write: " + e.getMessage()
                        + (e.getCause() == null ? "" : ", " + e.getCause()));
            }
            boolean whole = written;
            loop.execute(() -> done.accept(whole));
        });
    }

    @Override
    public void log(String what) {
        ring.note(what);
    }

    @Override
    public Counters counters() {
        return counters;
    }

    @Override
    public void reportViolation(Invariant invariant, String detail) {
        ring.wrong("invariant " + invariant + " does not hold: " + detail);
    }

    static InetSocketAddress address(String text, String key) throws Settings.Wrong {
        InetSocketAddress at = Address.parse(text);
        if (at == null) {
            throw new Settings.Wrong(key + ": " + text + " is no numeric address with a port");
        }
        return at;
    }
}
