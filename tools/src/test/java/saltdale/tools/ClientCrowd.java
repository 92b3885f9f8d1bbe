package saltdale.tools;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Many clients of one address that send the same bytes at the same time, each on a connection of its own, and keep
 * their connections open afterwards. Those that are refused or disconnected do not come back.
 */
final class ClientCrowd implements AutoCloseable {
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4096;
    private static final Duration PAUSE = Duration.ofMillis(5);

    /** What each client sends, and how. */
    record Script(List<ByteBuffer> parts, int maxBytesPerWrite, boolean readsResponses) {
        /** Sends the parts as fast as the connection takes them, and reads the responses. */
        static Script of(ByteBuffer... parts) {
            return new Script(List.of(parts), Integer.MAX_VALUE, true);
        }

        /** Sends the parts in pieces of at most this size, one for each client in turn. */
        Script inPieces(int bytes) {
            return new Script(parts, bytes, readsResponses);
        }

        /** Reads nothing of the responses. */
        Script withoutReading() {
            return new Script(parts, maxBytesPerWrite, false);
        }
    }

    private static final class Client {
        final SocketChannel channel;
        final List<ByteBuffer> unsent = new ArrayList<>();
        boolean closedByServer;

        Client(SocketChannel channel, Script script) {
            this.channel = channel;
            script.parts.forEach(part -> unsent.add(part.duplicate()));
        }

        boolean isDone() {
            return closedByServer || unsent.isEmpty();
        }
    }

    private final Script script;
    private final Selector selector = Selector.open();
    private final List<Client> clients = new ArrayList<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(1 << 16);

    /** Begins to connect all clients. */
    ClientCrowd(InetSocketAddress address, int count, Script script) throws IOException {
        this.script = script;
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            if (!script.readsResponses) {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES);
            }
            Client client = new Client(channel, script);
            clients.add(client);
            channel.connect(address);
            channel.register(selector, SelectionKey.OP_CONNECT, client);
        }
    }

    /**
     * Sends until every client has sent its bytes or lost its connection, nothing more is taken for the time
     * {@code stalled}, or the time {@code limit} is over. All connections that are left stay open.
     */
    void send(Duration stalled, Duration limit) throws IOException {
        long end = System.nanoTime() + limit.toNanos();
        long lastProgress = System.nanoTime();
        while (clients.stream().anyMatch(client -> !client.isDone())
                && System.nanoTime() < end
                && System.nanoTime() - lastProgress < stalled.toNanos()) {
            selector.select(PAUSE.toMillis());
            for (SelectionKey key : selector.selectedKeys()) {
                if (key.isValid() && progress(key)) {
                    lastProgress = System.nanoTime();
                }
            }
            selector.selectedKeys().clear();
        }
    }

    private boolean progress(SelectionKey key) {
        Client client = (Client) key.attachment();
        try {
            if (key.isConnectable() && client.channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE | (script.readsResponses ? SelectionKey.OP_READ : 0));
                return true;
            }
            if (key.isReadable() && client.channel.read(readBuffer.clear()) < 0) {
                end(client, key);
                return true;
            }
            return key.isWritable() && write(client, key);
        } catch (IOException e) {
            end(client, key);
            return true;
        }
    }

    private boolean write(Client client, SelectionKey key) throws IOException {
        if (client.unsent.isEmpty()) {
            key.interestOps(script.readsResponses ? SelectionKey.OP_READ : 0);
            return false;
        }
        ByteBuffer part = client.unsent.get(0);
        int count = Math.min(part.remaining(), script.maxBytesPerWrite);
        int written = client.channel.write(part.slice(part.position(), count));
        part.position(part.position() + written);
        if (!part.hasRemaining()) {
            client.unsent.remove(0);
        }
        return written > 0;
    }

    private static void end(Client client, SelectionKey key) {
        client.closedByServer = true;
        key.cancel();
    }

    /** How many connections the server has neither closed nor reset, as far as that was noticed. */
    long openCount() {
        return clients.stream().filter(client -> !client.closedByServer).count();
    }

    @Override
    public void close() throws IOException {
        for (Client client : clients) {
            client.channel.close();
        }
        selector.close();
    }
}
