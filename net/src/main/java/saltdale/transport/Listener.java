package saltdale.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;

/** Takes in connections at one address. */
public final class Listener implements Loop.Ready {
    /** Who a new connection is handed to; {@code full} where there is only room to turn it away. */
    public interface Taker {
        void take(Connection connection, boolean full);
    }

    private static final int BACKLOG = 1024;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final Loop loop;
    private final Sockets sockets;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Taker taker;
    private boolean held;

    public Listener(Loop loop, Sockets sockets, InetSocketAddress at, Taker taker) throws IOException {
        this(loop, sockets, at, BACKLOG, taker);
    }

    /** {@code backlog}: connections that the kernel may hold ready before they are taken in. */
    public Listener(Loop loop, Sockets sockets, InetSocketAddress at, int backlog, Taker taker) throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.taker = taker;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, backlog);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
        sockets.onGiveBack(this::resume);
    }

    @Override
    public void ready(SelectionKey ready) throws IOException {
        while (sockets.couldTurnAway()) {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return;
            }
            boolean full = !sockets.takeForClient();
            if (full) {
                sockets.takeToTurnAway();
            }
            try {
                taker.take(Connection.accepted(loop, sockets, accepted), full);
            } catch (IOException e) {
                sockets.gaveBack(); // it ended before it was ours
                accepted.close();
            }
        }
        rest();
    }

    /** Guards against an accept that fails again and again, as without descriptors: it rests a little. */
    @Override
    public void failed(Exception cause) {
        rest();
    }

    /** Until a descriptor is given back, or others have become idle; guards against a spinning accept. */
    private void rest() {
        key.interestOps(0);
        loop.after(PAUSE, this::resume);
    }

    private void resume() {
        if (key.isValid() && !held) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Takes in nobody until told to go on: what comes waits in the kernel. */
    public void hold(boolean wanted) {
        held = wanted;
        if (held && key.isValid()) {
            key.interestOps(0);
        } else {
            resume();
        }
    }

    /** Takes in all that has come, then listens no more. */
    public void finish() {
        try {
            ready(key);
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
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }
}
