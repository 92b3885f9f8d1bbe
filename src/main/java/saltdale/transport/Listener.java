package saltdale.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.function.Consumer;

/** Takes in connections at one address. */
public final class Listener implements Loop.Ready {
    private static final int BACKLOG = 1024;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final Loop loop;
    private final Sockets sockets;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Consumer<Connection> taker;

    public Listener(Loop loop, Sockets sockets, InetSocketAddress at, Consumer<Connection> taker)
            throws IOException {
        this.loop = loop;
        this.sockets = sockets;
        this.taker = taker;
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
        key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
        sockets.onGiveBack(this::resume);
    }

    @Override
    public void ready(SelectionKey ready) {
        while (true) {
            if (!sockets.takeForClient()) {
                key.interestOps(0);  // until one is given back; guards against a spinning accept
                return;
            }
            SocketChannel accepted = null;
            try {
                accepted = channel.accept();
                if (accepted != null) {
                    taker.accept(Connection.accepted(loop, sockets, accepted));
                    continue;
                }
                sockets.gaveBack();
                return;
            } catch (IOException e) {
                sockets.gaveBack();
                failed(e);
                if (accepted == null) {
                    return;
                }
            }
        }
    }

    /** Guards against an accept that fails again and again, as without descriptors: it rests a little. */
    @Override
    public void failed(Exception cause) {
        key.interestOps(0);
        loop.after(PAUSE, this::resume);
    }

    private void resume() {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }
}
