package saltdale.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A non-blocking TCP connection with its queue of unsent bytes; tracks how much of each message was written. */
public final class Connection implements EventLoop.ChannelHandler {
    /** Receives the events of a connection. None of these methods is called after {@link #close}. */
    public interface Handler {
        /** An outgoing connection has been established. */
        default void opened() {}

        /** Bytes have arrived. Those that the handler leaves in the buffer are discarded. */
        void received(ByteBuffer bytes);

        /** Bytes that had to wait for the peer to read have all been written. */
        default void flushed() {}

        /** The connection failed or the peer closed it; it is already closed on this side. */
        void disconnected(String cause);
    }

    // Time after the last byte for a peer that is still sending.
    private static final Duration LINGER_TIME = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final SocketChannel channel;
    private SelectionKey key;
    private Timer timeout; // of connecting, later of closing
    private final Runnable closeAction = this::close;
    private final Runnable closeNotReading = () -> closeAndNotify("the peer does not read");
    private boolean client;
    private final Deque<ByteBuffer> outgoing = new ArrayDeque<>();
    private Handler handler;
    private boolean connecting;
    private boolean readEnabled = true;
    private int maxReadBytes = Integer.MAX_VALUE;
    private boolean closing;
    private boolean closed;
    private long queuedBytes;
    private long writtenBytes;
    private long messageStartOffset;

    private Connection(EventLoop loop, SocketBudget sockets, SocketChannel channel) {
        this.loop = loop;
        this.sockets = sockets;
        this.channel = channel;
    }

    /** Wraps an accepted channel. The handler must be set within the same iteration of the event loop. */
    static Connection accepted(EventLoop loop, SocketBudget sockets, SocketChannel channel) throws IOException {
        Connection connection = new Connection(loop, sockets, channel);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
        return connection;
    }

    /**
     * Starts connecting to {@code address}. Returns null if no socket is available; any other failure to connect is
     * reported to the handler in a later iteration of the event loop.
     */
    public static Connection connect(
            EventLoop loop, SocketBudget sockets, InetSocketAddress address, Duration connectTimeout, Handler handler) {
        if (!sockets.acquireForConnect()) {
            return null;
        }
        SocketChannel channel = null;
        Connection connection;
        try {
            channel = SocketChannel.open();
            connection = new Connection(loop, sockets, channel);
            connection.handler = handler;
            connection.connecting = true;
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.key = loop.register(channel, SelectionKey.OP_CONNECT, connection);
        } catch (IOException e) {
            sockets.release();
            closeQuietly(channel);
            return null;
        }
        try {
            if (channel.connect(address)) {
                loop.defer(connection, connection::finishConnect);
            }
        } catch (IOException e) { // the address is unreachable; this is no lack of sockets
            loop.defer(connection, () -> connection.closeAndNotify("not connected: " + e.getMessage()));
        }
        connection.timeout = loop.schedule(connectTimeout, () -> {
            if (connection.connecting) {
                connection.closeAndNotify("not connected in time");
            }
        });
        return connection;
    }

    /** Sets the handler that receives all further events. */
    public void setHandler(Handler next) {
        handler = next;
    }

    /**
     * Marks the peer as a client: its input may wait for that of others (see {@link EventLoop}), and the budget of the
     * sockets knows for how long it has not read what it was sent.
     */
    public void setClient() {
        client = true;
    }

    @Override
    public boolean isClient() {
        return client;
    }

    /** Returns the numeric IP address of the peer, or null if it is no longer known. */
    public String peerAddress() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress remote
                    ? remote.getAddress().getHostAddress()
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Returns whether the connection is connecting or connected, including while it closes gracefully. */
    public boolean isOpen() {
        return !closed;
    }

    /** Marks the start of a new message; {@link #sendProgress} refers to this message from now on. */
    public void beginMessage() {
        messageStartOffset = queuedBytes;
    }

    /** Returns how much of the current message the kernel has accepted. */
    public SendProgress sendProgress() {
        return writtenBytes <= messageStartOffset
                ? SendProgress.UNSENT
                : writtenBytes < queuedBytes ? SendProgress.PARTLY_WRITTEN : SendProgress.WRITTEN;
    }

    /** Returns whether the kernel has accepted all queued bytes. */
    public boolean isFlushed() {
        return outgoing.isEmpty();
    }

    /** Returns how many queued bytes the kernel has not accepted yet. */
    public long unsentBytes() {
        return queuedBytes - writtenBytes;
    }

    /** Returns whether the connection has carried another message before the current one. */
    public boolean isReused() {
        return messageStartOffset > 0;
    }

    /** Queues the buffers and writes as much as the kernel accepts; ignored once the connection is closing. */
    public void send(ByteBuffer... parts) {
        if (closed || closing) {
            return;
        }
        for (ByteBuffer part : parts) {
            queuedBytes += part.remaining();
            sockets.addUnsentBytes(part.remaining());
            outgoing.add(part);
        }
        if (!connecting) {
            write();
        }
    }

    /**
     * Enables or disables reading, of at most {@code maxBytes} at once; what is not read stays in the kernel. Ignored
     * once the connection is closing: with bytes left unread the close would be a reset, and the peer could lose the
     * last response.
     */
    public void setReading(boolean enabled, int maxBytes) {
        if (!closing) {
            readEnabled = enabled;
            maxReadBytes = maxBytes;
            updateInterestOps();
        }
    }

    /** Enables or disables reading of any number of bytes; see {@link #setReading}. */
    public void setReadEnabled(boolean enabled) {
        setReading(enabled, Integer.MAX_VALUE);
    }

    /**
     * Returns whether an idle connection can be used again. If the peer has closed it or has sent unsolicited bytes,
     * it is closed and the result is false. This prevents writing a request to a connection that the peer closed while
     * it was idle.
     */
    public boolean validateIdle() {
        if (closed) {
            return false;
        }
        try {
            loop.readBuffer.clear();
            if (channel.read(loop.readBuffer) == 0) {
                return true;
            }
        } catch (IOException e) {
            // closed below
        }
        close();
        return false;
    }

    /** Closes the connection once all queued bytes are written and the peer has had time to read them. */
    public void closeGracefully() {
        if (closed || closing) {
            return;
        }
        closing = true;
        sockets.markIdle(SocketBudget.IdleRank.CLOSING, closeAction);
        timeout = loop.schedule(LINGER_TIME.multipliedBy(10), this::close); // for a peer that never reads
        readEnabled = true;
        maxReadBytes = Integer.MAX_VALUE;
        updateInterestOps();
        shutdownOutputIfFlushed();
    }

    /** Closes the connection with a TCP reset: unsent bytes are discarded and the peer learns of it immediately. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // already closed, or can only be closed without a reset
        }
        close();
    }

    /** Closes the connection immediately and discards unsent bytes; the handler is not called. */
    public void close() {
        if (!closed) {
            closed = true;
            connecting = false;
            dropOutgoing();
            if (timeout != null) {
                timeout.cancel(); // a pending timer would keep the closed connection in memory
            }
            sockets.markBusy(closeAction);
            closeQuietly(channel);
            sockets.release();
        }
    }

    @Override
    public void onReady(SelectionKey ready) {
        if (closed) {
            return;
        }
        if (ready.isConnectable()) {
            finishConnect();
        }
        if (!closed && ready.isWritable()) {
            write();
            notifyIfFlushed();
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    @Override
    public void onFailure(Throwable cause) {
        closeAndNotify("failed: " + cause);
    }

    private void finishConnect() {
        try {
            if (closed || !connecting || !channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            closeAndNotify("not connected: " + e.getMessage());
            return;
        }
        connecting = false;
        updateInterestOps();
        handler.opened();
        write();
    }

    private void notifyIfFlushed() {
        if (!closed && !closing && outgoing.isEmpty()) {
            handler.flushed();
        }
    }

    private void read() {
        int count;
        ByteBuffer bytes = loop.readBuffer;
        try {
            bytes.clear().limit(Math.min(maxReadBytes, bytes.capacity()));
            count = channel.read(bytes);
        } catch (IOException e) {
            closeAndNotify(String.valueOf(e.getMessage()));
            return;
        }
        if (count < 0) {
            closeAndNotify("closed by the peer");
        } else if (count > 0 && !closing) {
            handler.received(bytes.flip());
        }
    }

    private void write() {
        if (closed || outgoing.isEmpty()) {
            return;
        }
        try {
            boolean accepted = true;
            while (accepted && !outgoing.isEmpty()) {
                accepted = writeBlock();
            }
        } catch (IOException e) {
            // Bytes that have already arrived can still be read. The handler is notified in a later iteration of the
            // event loop, not from within send().
            String cause = String.valueOf(e.getMessage());
            dropOutgoing();
            loop.defer(this, () -> closeAndNotify(cause));
            return;
        }
        updateInterestOps();
        shutdownOutputIfFlushed();
    }

    /**
     * Writes queued bytes, as many as fit into the write buffer. The channel itself would copy all that is queued to
     * direct memory at once, however large it is. Returns whether the kernel has accepted the whole block.
     */
    private boolean writeBlock() throws IOException {
        ByteBuffer block = loop.writeBuffer.clear();
        for (ByteBuffer part : outgoing) {
            int count = Math.min(part.remaining(), block.remaining());
            block.put(part.slice(part.position(), count));
            if (!block.hasRemaining()) {
                break;
            }
        }
        int blockBytes = block.flip().remaining();
        int written = blockBytes == 0 ? 0 : channel.write(block);
        writtenBytes += written;
        removeFromQueue(written);
        markUnread(written);
        return written == blockBytes;
    }

    /** Tells the budget whether a client has yet to read what it was sent. */
    private void markUnread(int written) {
        if (client && !outgoing.isEmpty()) {
            sockets.markUnread(closeNotReading, written > 0);
        } else if (client) {
            sockets.markRead(closeNotReading);
        }
    }

    /** Removes this number of bytes from the start of the queue, and the parts that are empty then. */
    private void removeFromQueue(int count) {
        int remaining = count;
        while (!outgoing.isEmpty()) {
            ByteBuffer part = outgoing.peek();
            int taken = Math.min(remaining, part.remaining());
            part.position(part.position() + taken);
            sockets.addUnsentBytes(-taken);
            remaining -= taken;
            if (part.hasRemaining()) {
                return;
            }
            outgoing.poll();
        }
    }

    private void dropOutgoing() {
        outgoing.forEach(part -> sockets.addUnsentBytes(-part.remaining()));
        outgoing.clear();
        sockets.markRead(closeNotReading);
    }

    private void shutdownOutputIfFlushed() {
        if (!closing || !outgoing.isEmpty()) {
            return;
        }
        try {
            channel.shutdownOutput();
            timeout.cancel();
            timeout = loop.schedule(LINGER_TIME, this::close);
        } catch (IOException e) {
            close();
        }
    }

    private void updateInterestOps() {
        if (!closed && !connecting) {
            key.interestOps(
                    (readEnabled ? SelectionKey.OP_READ : 0) | (outgoing.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    private void closeAndNotify(String cause) {
        if (closed) {
            return;
        }
        close();
        if (handler != null && !closing) {
            handler.disconnected(cause);
        }
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // the channel is given up in any case
        }
    }
}
