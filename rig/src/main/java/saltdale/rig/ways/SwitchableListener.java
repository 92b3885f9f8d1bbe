package saltdale.rig.ways;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltdale.rig.standin.LoopThread;
import saltdale.transport.Listener;

/** An address that can take connections in, refuse them, or say nothing at all. Used on the loop. */
public final class SwitchableListener {
    private static final Logger LOG = LoggerFactory.getLogger(SwitchableListener.class);
    // small, so that a machine that is cut off can be told by a full one
    private static final int BACKLOG = 8;

    private final LoopThread loopThread;
    private final InetSocketAddress at;
    private final Listener.AcceptHandler taker;
    private final List<SocketChannel> plugs = new ArrayList<>();
    private Listener listener;
    private boolean silent;

    public SwitchableListener(LoopThread loopThread, InetSocketAddress at, Listener.AcceptHandler taker)
            throws IOException {
        this.loopThread = loopThread;
        this.at = at;
        this.taker = taker;
        listen();
    }

    private void listen() throws IOException {
        listener = new Listener(loopThread.loop, loopThread.sockets, at, BACKLOG, taker);
    }

    public boolean isShut() {
        return listener == null;
    }

    public boolean isSilent() {
        return silent;
    }

    /** From now on what connects gets no answer at all; or it does again. No effect while it is shut. */
    public void setSilent(boolean wanted) {
        if (wanted == silent || listener == null) {
            return;
        }
        silent = wanted;
        listener.setPaused(wanted);
        if (wanted) {
            plug();
        } else {
            unplug();
        }
    }

    /** Fills the kernel's queue. */
    private void plug() {
        for (int i = 0; i < BACKLOG + 2; i++) {
            try {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(at);
                plugs.add(channel);
            } catch (IOException e) {
                return; // it is full already
            }
        }
    }

    private void unplug() {
        for (SocketChannel plug : plugs) {
            try {
                plug.close();
            } catch (IOException e) {
                LOG.debug("a plug of {} can't be closed: {}", at, e.getMessage());
            }
        }
        plugs.clear();
    }

    /** New connections are refused from now on. */
    public void shut() {
        unplug();
        try {
            if (listener != null) {
                listener.close();
            }
        } catch (IOException e) {
            LOG.warn("{} can't be closed: {}", at, e.getMessage());
        }
        listener = null;
        silent = false;
    }

    /** It takes connections in again, if it had been shut. */
    public void open() {
        try {
            if (listener == null) {
                listen();
            }
        } catch (IOException e) {
            LOG.error("{} can't be listened at again: {}", at, e.getMessage());
        }
    }
}
