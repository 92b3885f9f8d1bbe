package saltdale.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;

/** Accepts TCP connections on one address, within the limits of a {@link SocketBudget}. */
public final class Listener implements EventLoop.ChannelHandler {
    /** Receives accepted connections. */
    public interface AcceptHandler {
        /**
         * Takes over an accepted connection and sets its handler. With {@code overLimit}, the client limit is reached
         * and the connection may only be rejected.
         */
        void accepted(Connection connection, boolean overLimit);
    }

    private static final int BACKLOG = 1024;
    private static final Duration ACCEPT_PAUSE = Duration.ofMillis(100);
    // The kernel takes up to twice as many bytes.
    private static final int LIMITED_RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final int LIMITED_SEND_BUFFER_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final AcceptHandler acceptHandler;
    private boolean paused;
    private boolean limitsKernelBuffers;

    /** Listens on {@code address} with the default backlog. */
    public Listener(EventLoop loop, SocketBudget sockets, InetSocketAddress address, AcceptHandler acceptHandler)
            throws IOException {
        this(loop, sockets, address, BACKLOG, acceptHandler);
    }

    /** Listens on {@code address}; the kernel queues up to {@code backlog} connections that are not yet accepted. */
    public Listener(
            EventLoop loop, SocketBudget sockets, InetSocketAddress address, int backlog, AcceptHandler acceptHandler)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.acceptHandler = acceptHandler;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, backlog);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
        sockets.setReleaseListener(this::resume);
    }

    @Override
    public void onReady(SelectionKey ready) throws IOException {
        while (sockets.canAcquireForRejection()) {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return;
            }
            boolean overLimit = !sockets.acquireForClient();
            if (overLimit) {
                sockets.acquireForRejection();
            }
            try {
                if (limitsKernelBuffers) { // that for input is inherited
                    trySetOption(accepted, StandardSocketOptions.SO_SNDBUF, LIMITED_SEND_BUFFER_BYTES);
                }
                acceptHandler.accepted(Connection.accepted(loop, sockets, accepted), overLimit);
            } catch (IOException e) {
                sockets.release(); // the connection ended before it could be registered
                accepted.close();
            }
        }
        pauseBriefly();
    }

    /** Pauses accepting after a failure (such as a lack of descriptors), so that it is not retried in a tight loop. */
    @Override
    public void onFailure(Throwable cause) {
        pauseBriefly();
    }

    /**
     * Stops accepting until a descriptor is released, or for {@link #ACCEPT_PAUSE}, after which other connections may
     * have become idle. This prevents a tight loop around accept.
     */
    private void pauseBriefly() {
        key.interestOps(0);
        loop.schedule(ACCEPT_PAUSE, this::resume);
    }

    private void resume() {
        if (key.isValid() && !paused) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Pauses or resumes accepting; while it is paused, new connections wait in the kernel. */
    public void setPaused(boolean pause) {
        paused = pause;
        if (paused && key.isValid()) {
            key.interestOps(0);
        } else {
            resume();
        }
    }

    /** Accepts all connections that wait in the kernel, then stops listening. */
    public void acceptPendingAndClose() {
        try {
            onReady(key);
            close();
        } catch (IOException e) {
            key.cancel(); // the process is about to exit, and the kernel closes the remaining descriptors
        }
    }

    /**
     * Bounds what the kernel keeps of each connection that is accepted from now on, while this process or its peer does
     * not read: thousands of clients could otherwise take more memory than the machine has.
     */
    public void limitKernelBuffers() {
        limitsKernelBuffers = true;
        trySetOption(channel, StandardSocketOptions.SO_RCVBUF, LIMITED_RECEIVE_BUFFER_BYTES);
    }

    /** Sets an option without which the channel works as well. */
    private static <T> void trySetOption(NetworkChannel channel, SocketOption<T> option, T value) {
        try {
            channel.setOption(option, value);
        } catch (IOException e) {
            // the kernel decides about its buffers
        }
    }

    /** Stops listening; accepted connections stay open. */
    public void close() throws IOException {
        key.cancel();
        channel.close();
    }

    /** Returns the address that the socket is bound to. */
    public InetSocketAddress localAddress() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }
}
