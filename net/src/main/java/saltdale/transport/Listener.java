package saltdale.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;

/** Takes in connections at one address. */
public final class Listener implements EventLoop.ChannelHandler {
    /** Who a new connection is handed to; {@code full} where there is only room to turn it away. */
    public interface AcceptHandler {
        void accepted(Connection connection, boolean full);
    }

    private static final int BACKLOG = 1024;
    private static final Duration ACCEPT_PAUSE = Duration.ofMillis(100);

    private final EventLoop loop;
    private final SocketBudget sockets;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final AcceptHandler acceptHandler;
    private boolean paused;

    public Listener(EventLoop loop, SocketBudget sockets, InetSocketAddress at, AcceptHandler taker)
            throws IOException {
        this(loop, sockets, at, BACKLOG, taker);
    }

    /** {@code backlog}: connections that the kernel may hold ready before they are taken in. */
    public Listener(EventLoop loop, SocketBudget sockets, InetSocketAddress at, int backlog, AcceptHandler taker)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.acceptHandler = taker;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, backlog);
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
            boolean full = !sockets.acquireForClient();
            if (full) {
                sockets.acquireForRejection();
            }
            try {
                acceptHandler.accepted(Connection.accepted(loop, sockets, accepted), full);
            } catch (IOException e) {
                sockets.release(); // it ended before it was ours
                accepted.close();
            }
        }
        pauseBriefly();
    }

    /** Guards against an accept that fails again and again, as without descriptors: it rests a little. */
    @Override
    public void onFailure(Exception cause) {
        pauseBriefly();
    }

    /** Until a descriptor is given back, or others have become idle; guards against a spinning accept. */
    private void pauseBriefly() {
        key.interestOps(0);
        loop.schedule(ACCEPT_PAUSE, this::resume);
    }

    private void resume() {
        if (key.isValid() && !paused) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Takes in nobody until told to go on: what comes waits in the kernel. */
    public void setPaused(boolean wanted) {
        paused = wanted;
        if (paused && key.isValid()) {
            key.interestOps(0);
        } else {
            resume();
        }
    }

    /** Takes in all that has come, then listens no more. */
    public void acceptPendingAndClose() {
        try {
            onReady(key);
            close();
        } catch (IOException e) {
            key.cancel(); // the process ends, and the kernel closes what it holds
        }
    }

    /** Listens no more; what was taken in stays open. */
    public void close() throws IOException {
        key.cancel();
        channel.close();
    }

    /** Where it listens. */
    public InetSocketAddress localAddress() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }
}
