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

/** One TCP connection: what is to be written, and how much of it the kernel has taken. */
public final class Connection implements EventLoop.ChannelHandler {
    /** Who a connection belongs to at present. None of these is called after {@link #close}. */
    public interface Handler {
        default void opened() {}

        /** Bytes have come; those left in the buffer are lost. */
        void received(ByteBuffer bytes);

        /** It has ended, and not by us; it is closed already. */
        void disconnected(String cause);
    }

    private static final Duration LINGER_TIME = Duration.ofSeconds(1); // for a peer that is still sending

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final SocketChannel channel;
    private SelectionKey key;
    private Timer timeout; // of connecting, later of closing
    private final Runnable closeAction = this::close;
    private final Deque<ByteBuffer> outgoing = new ArrayDeque<>();
    private Handler handler;
    private boolean connecting;
    private boolean readEnabled = true;
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

    /** A connection that was accepted; its owner must be set before the turn is over. */
    static Connection accepted(EventLoop loop, SocketBudget sockets, SocketChannel channel) throws IOException {
        Connection connection = new Connection(loop, sockets, channel);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Begins to connect; null where no socket is to be had. That it can't be connected comes in a later turn. */
    public static Connection connect(
            EventLoop loop, SocketBudget sockets, InetSocketAddress to, Duration limit, Handler owner) {
        if (!sockets.acquireForConnect()) {
            return null;
        }
        SocketChannel channel = null;
        Connection connection;
        try {
            channel = SocketChannel.open();
            connection = new Connection(loop, sockets, channel);
            connection.handler = owner;
            connection.connecting = true;
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.key = loop.register(channel, SelectionKey.OP_CONNECT, connection);
        } catch (IOException e) {
            sockets.release();
            closeQuietly(channel);
            return null;
        }
        try {
            if (channel.connect(to)) {
                loop.defer(connection, connection::finishConnect);
            }
        } catch (IOException e) { // there is no way to it: that is not for want of a socket
            loop.defer(connection, () -> connection.closeAndNotify("not connected: " + e.getMessage()));
        }
        connection.timeout = loop.schedule(limit, () -> {
            if (connection.connecting) {
                connection.closeAndNotify("not connected in time");
            }
        });
        return connection;
    }

    public void setHandler(Handler next) {
        handler = next;
    }

    /** The other side's address in numbers; null where it cannot be told any more. */
    public String peerAddress() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress at
                    ? at.getAddress().getHostAddress()
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    public boolean isOpen() {
        return !closed;
    }

    /** The next bytes belong to a new message, whose reach is then told by {@link #sendProgress}. */
    public void beginMessage() {
        messageStartOffset = queuedBytes;
    }

    /** How far the present message has come. */
    public SendProgress sendProgress() {
        return writtenBytes <= messageStartOffset
                ? SendProgress.UNSENT
                : writtenBytes < queuedBytes ? SendProgress.PARTLY_WRITTEN : SendProgress.WRITTEN;
    }

    /** Whether the kernel has taken all that was handed over. */
    public boolean isFlushed() {
        return outgoing.isEmpty();
    }

    /** Whether it had carried another message before the present one. */
    public boolean isReused() {
        return messageStartOffset > 0;
    }

    public void send(ByteBuffer... parts) {
        if (closed || closing) {
            return;
        }
        for (ByteBuffer part : parts) {
            queuedBytes += part.remaining();
            outgoing.add(part);
        }
        if (!connecting) {
            write();
        }
    }

    /** Whether more is to be read; without it the peer's bytes wait in the kernel. */
    public void setReadEnabled(boolean wanted) {
        readEnabled = wanted;
        updateInterestOps();
    }

    /**
     * Looks whether the peer has closed it or sent something unasked; it is then closed. Guards against writing
     * a request to a connection that the peer has ended while it stood idle.
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

    /** Closes after all that was handed over is written, and after the peer has had time to read it. */
    public void closeGracefully() {
        if (closed || closing) {
            return;
        }
        closing = true;
        sockets.markIdle(SocketBudget.IdleRank.CLOSING, closeAction);
        timeout = loop.schedule(LINGER_TIME.multipliedBy(10), this::close); // for a peer that never reads
        readEnabled = true;
        updateInterestOps();
        shutdownOutputIfFlushed();
    }

    /** Closes it with a reset: what was not sent is lost, and the peer is told so at once. */
    public void reset() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // it is closed already, or can only be closed in order
        }
        close();
    }

    public void close() {
        if (!closed) {
            closed = true;
            connecting = false;
            outgoing.clear();
            if (timeout != null) {
                timeout.cancel(); // guards against closed connections that timers keep in memory
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
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    @Override
    public void onFailure(Exception cause) {
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

    private void read() {
        int count;
        ByteBuffer bytes = loop.readBuffer;
        try {
            bytes.clear();
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
            writtenBytes += channel.write(outgoing.toArray(new ByteBuffer[0]));
            while (!outgoing.isEmpty() && !outgoing.peek().hasRemaining()) {
                outgoing.poll();
            }
        } catch (IOException e) {
            // What had come may still be read; the end is told in a turn of its own, not within send.
            String cause = String.valueOf(e.getMessage());
            outgoing.clear();
            loop.defer(this, () -> closeAndNotify(cause));
            return;
        }
        updateInterestOps();
        shutdownOutputIfFlushed();
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
            // nothing is left to be done with it
        }
    }
}
