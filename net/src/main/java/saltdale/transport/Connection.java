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
public final class Connection implements Loop.Ready {
    /** Who a connection belongs to at present. None of these is called after {@link #close}. */
    public interface Owner {
        default void opened() {}

        /** Bytes have come; those left in the buffer are lost. */
        void received(ByteBuffer bytes);

        /** It has ended, and not by us; it is closed already. */
        void ended(String cause);
    }

    private static final Duration LINGER = Duration.ofSeconds(1); // for a peer that is still sending

    private final Loop loop;
    private final Sockets sockets;
    private final SocketChannel channel;
    private SelectionKey key;
    private Timer limit; // of connecting, later of closing
    private final Runnable drop = this::close;
    private final Deque<ByteBuffer> outgoing = new ArrayDeque<>();
    private Owner owner;
    private boolean connecting;
    private boolean reading = true;
    private boolean finishing;
    private boolean closed;
    private long handed;
    private long written;
    private long messageStart;

    private Connection(Loop loop, Sockets sockets, SocketChannel channel) {
        this.loop = loop;
        this.sockets = sockets;
        this.channel = channel;
    }

    /** A connection that was accepted; its owner must be set before the turn is over. */
    static Connection accepted(Loop loop, Sockets sockets, SocketChannel channel) throws IOException {
        Connection connection = new Connection(loop, sockets, channel);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        connection.key = loop.register(channel, SelectionKey.OP_READ, connection);
        return connection;
    }

    /** Begins to connect; null where no socket is to be had. That it can't be connected comes in a later turn. */
    public static Connection dial(Loop loop, Sockets sockets, InetSocketAddress to, Duration limit, Owner owner) {
        if (!sockets.takeForDialing()) {
            return null;
        }
        SocketChannel channel = null;
        Connection connection;
        try {
            channel = SocketChannel.open();
            connection = new Connection(loop, sockets, channel);
            connection.owner = owner;
            connection.connecting = true;
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            connection.key = loop.register(channel, SelectionKey.OP_CONNECT, connection);
        } catch (IOException e) {
            sockets.gaveBack();
            quietly(channel);
            return null;
        }
        try {
            if (channel.connect(to)) {
                loop.soon(connection, connection::connected);
            }
        } catch (IOException e) { // there is no way to it: that is not for want of a socket
            loop.soon(connection, () -> connection.end("not connected: " + e.getMessage()));
        }
        connection.limit = loop.after(limit, () -> {
            if (connection.connecting) {
                connection.end("not connected in time");
            }
        });
        return connection;
    }

    public void owner(Owner next) {
        owner = next;
    }

    /** The other side's address in numbers; null where it cannot be told any more. */
    public String peer() {
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

    /** The next bytes belong to a new message, whose reach is then told by {@link #reach}. */
    public void beginMessage() {
        messageStart = handed;
    }

    /** How far the present message has come. */
    public Reach reach() {
        return written <= messageStart ? Reach.UNSENT : written < handed ? Reach.PARTLY_WRITTEN : Reach.WRITTEN;
    }

    /** Whether the kernel has taken all that was handed over. */
    public boolean isFlushed() {
        return outgoing.isEmpty();
    }

    /** Whether it had carried another message before the present one. */
    public boolean isReused() {
        return messageStart > 0;
    }

    public void send(ByteBuffer... parts) {
        if (closed || finishing) {
            return;
        }
        for (ByteBuffer part : parts) {
            handed += part.remaining();
            outgoing.add(part);
        }
        if (!connecting) {
            write();
        }
    }

    /** Whether more is to be read; without it the peer's bytes wait in the kernel. */
    public void reading(boolean wanted) {
        reading = wanted;
        interest();
    }

    /**
     * Looks whether the peer has closed it or sent something unasked; it is then closed. Guards against writing
     * a request to a connection that the peer has ended while it stood idle.
     */
    public boolean stillQuiet() {
        if (closed) {
            return false;
        }
        try {
            loop.incoming.clear();
            if (channel.read(loop.incoming) == 0) {
                return true;
            }
        } catch (IOException e) {
            // closed below
        }
        close();
        return false;
    }

    /** Closes after all that was handed over is written, and after the peer has had time to read it. */
    public void finish() {
        if (closed || finishing) {
            return;
        }
        finishing = true;
        sockets.idle(Sockets.Rank.ANSWERED, drop);
        limit = loop.after(LINGER.multipliedBy(10), this::close); // for a peer that never reads
        reading = true;
        interest();
        shutIfWritten();
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
            if (limit != null) {
                limit.cancel(); // guards against closed connections that timers keep in memory
            }
            sockets.busy(drop);
            quietly(channel);
            sockets.gaveBack();
        }
    }

    @Override
    public void ready(SelectionKey ready) {
        if (closed) {
            return;
        }
        if (ready.isConnectable()) {
            connected();
        }
        if (!closed && ready.isWritable()) {
            write();
        }
        if (!closed && ready.isReadable()) {
            read();
        }
    }

    @Override
    public void failed(Exception cause) {
        end("failed: " + cause);
    }

    private void connected() {
        try {
            if (closed || !connecting || !channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            end("not connected: " + e.getMessage());
            return;
        }
        connecting = false;
        interest();
        owner.opened();
        write();
    }

    private void read() {
        int count;
        ByteBuffer bytes = loop.incoming;
        try {
            bytes.clear();
            count = channel.read(bytes);
        } catch (IOException e) {
            end(String.valueOf(e.getMessage()));
            return;
        }
        if (count < 0) {
            end("closed by the peer");
        } else if (count > 0 && !finishing) {
            owner.received(bytes.flip());
        }
    }

    private void write() {
        if (closed || outgoing.isEmpty()) {
            return;
        }
        try {
            written += channel.write(outgoing.toArray(new ByteBuffer[0]));
            while (!outgoing.isEmpty() && !outgoing.peek().hasRemaining()) {
                outgoing.poll();
            }
        } catch (IOException e) {
            // What had come may still be read; the end is told in a turn of its own, not within send.
            String cause = String.valueOf(e.getMessage());
            outgoing.clear();
            loop.soon(this, () -> end(cause));
            return;
        }
        interest();
        shutIfWritten();
    }

    private void shutIfWritten() {
        if (!finishing || !outgoing.isEmpty()) {
            return;
        }
        try {
            channel.shutdownOutput();
            limit.cancel();
            limit = loop.after(LINGER, this::close);
        } catch (IOException e) {
            close();
        }
    }

    private void interest() {
        if (!closed && !connecting) {
            key.interestOps((reading ? SelectionKey.OP_READ : 0) | (outgoing.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    private void end(String cause) {
        if (closed) {
            return;
        }
        close();
        if (owner != null && !finishing) {
            owner.ended(cause);
        }
    }

    private static void quietly(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // nothing is left to be done with it
        }
    }
}
