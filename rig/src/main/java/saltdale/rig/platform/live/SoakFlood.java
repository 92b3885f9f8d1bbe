package saltdale.rig.platform.live;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import saltdale.rig.platform.Machine;

/**
 * Many reads of the configuration that wait at one control node at the same time, each on a connection of its own. Each
 * has to be answered in time, and with no older revision than was acknowledged before, if the machine is in contact all
 * the time. Whether it is or not, its process must not end.
 */
final class SoakFlood implements Runnable {
    private static final byte[] REQUEST =
            "GET /Configuration.Read HTTP/1.1\r\nHost: core\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);

    /** One read: what was received of its answer. */
    private static final class Read {
        final long minRevision;
        final StringBuilder received = new StringBuilder();

        Read(long minRevision) {
            this.minRevision = minRevision;
        }

        boolean isComplete() {
            int end = received.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            int length = received.indexOf("Content-Length: ") + "Content-Length: ".length();
            return received.length() - end - 4
                    >= Integer.parseInt(received.substring(length, received.indexOf("\r\n", length)));
        }

        int status() {
            return Integer.parseInt(received.substring(9, 12));
        }

        String body() {
            return received.substring(received.indexOf("\r\n\r\n") + 4);
        }
    }

    private final Machine at;
    private final int count;
    private final Duration limit;
    private final SoakContact contact;
    private final SoakChanges changes;
    private final List<String> failures;
    private int answered;

    /** {@code limit}: how long each answer may take. */
    SoakFlood(Machine at, int count, Duration limit, SoakContact contact, SoakChanges changes, List<String> failures) {
        this.at = at;
        this.count = count;
        this.limit = limit;
        this.contact = contact;
        this.changes = changes;
        this.failures = failures;
    }

    @Override
    public void run() {
        List<SocketChannel> channels = new ArrayList<>();
        long start = System.nanoTime();
        String result;
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < count; i++) {
                SocketChannel channel = SocketChannel.open();
                channels.add(channel);
                channel.socket()
                        .connect(new InetSocketAddress(at.ip(), Machine.CONTROL_PORT), (int) CONNECT_LIMIT.toMillis());
                channel.configureBlocking(false);
            }
            for (SocketChannel channel : channels) {
                channel.register(selector, SelectionKey.OP_READ, new Read(changes.newestAcknowledged()));
                channel.write(ByteBuffer.wrap(REQUEST));
            }
            result = awaitAnswers(selector);
        } catch (IOException e) {
            result = e.toString();
        } finally {
            channels.forEach(SoakFlood::close);
        }
        if (result != null && contact.wasInContactSince(at.name(), start)) {
            failures.add(at.name() + ", sent " + count + " reads at once: " + result + " after " + answered
                    + " complete answers");
        }
    }

    /** Reads all answers; returns what was wrong, or null. */
    private String awaitAnswers(Selector selector) throws IOException {
        long end = System.nanoTime() + limit.toNanos();
        ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
        while (answered < count) {
            long remainingMillis = (end - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return "no answer within " + limit.toMillis() + " ms";
            }
            selector.select(remainingMillis);
            for (SelectionKey key : selector.selectedKeys()) {
                if (((SocketChannel) key.channel()).read(buffer.clear()) < 0) {
                    return "a connection was closed without an answer";
                }
                String problem = receive(key, buffer.flip());
                if (problem != null) {
                    return problem;
                }
            }
            selector.selectedKeys().clear();
        }
        return null;
    }

    private String receive(SelectionKey key, ByteBuffer bytes) {
        Read read = (Read) key.attachment();
        read.received.append(StandardCharsets.UTF_8.decode(bytes));
        if (!read.isComplete()) {
            return null;
        }
        answered++;
        key.cancel();
        if (read.status() == 200) {
            changes.recordRead(SoakOperator.revision(read.body()), read.body(), read.minRevision, at.name());
        }
        return read.status() == 200 || read.status() == 503 ? null : "status " + read.status();
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // nothing is read from it any more
        }
    }
}
