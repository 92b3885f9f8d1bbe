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

/** A listening address that can accept connections, refuse them, or leave them unanswered. Used on the loop only. */
public final class SwitchableListener {
    private static final Logger LOG = LoggerFactory.getLogger(SwitchableListener.class);
    // small, so that a few connections fill the queue and imitate a machine that is cut off
    private static final int BACKLOG = 8;

    private final LoopThread loopThread;
    private final InetSocketAddress address;
    private final Listener.AcceptHandler acceptHandler;
    private final List<SocketChannel> queueFillers = new ArrayList<>();
    private Listener listener;
    private boolean silent;

    public SwitchableListener(LoopThread loopThread, InetSocketAddress address, Listener.AcceptHandler acceptHandler)
            throws IOException {
        this.loopThread = loopThread;
        this.address = address;
        this.acceptHandler = acceptHandler;
        listen();
    }

    private void listen() throws IOException {
        listener = new Listener(loopThread.loop, loopThread.sockets, address, BACKLOG, acceptHandler);
    }

    /** Whether connections are refused. */
    public boolean isClosed() {
        return listener == null;
    }

    /** Whether connection attempts are left unanswered. */
    public boolean isSilent() {
        return silent;
    }

    /** Stops or resumes answering connection attempts. Has no effect while the listener is closed. */
    public void setSilent(boolean silent) {
        if (silent == this.silent || listener == null) {
            return;
        }
        this.silent = silent;
        listener.setPaused(silent);
        if (silent) {
            fillQueue();
        } else {
            releaseQueue();
        }
    }

    /** Fills the accept queue of the kernel, so that further connection attempts get no answer. */
    private void fillQueue() {
        for (int i = 0; i < BACKLOG + 2; i++) {
            try {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                channel.connect(address);
                queueFillers.add(channel);
            } catch (IOException e) {
                return; // the queue is full already
            }
        }
    }

    private void releaseQueue() {
        for (SocketChannel filler : queueFillers) {
            try {
                filler.close();
            } catch (IOException e) {
                LOG.debug("cannot close a queue-filling connection to {}: {}", address, e.getMessage());
            }
        }
        queueFillers.clear();
    }

    /** Refuses new connections from now on. */
    public void close() {
        releaseQueue();
        try {
            if (listener != null) {
                listener.close();
            }
        } catch (IOException e) {
            LOG.warn("cannot close the listener at {}: {}", address, e.getMessage());
        }
        listener = null;
        silent = false;
    }

    /** Accepts connections again if the listener was closed. */
    public void open() {
        try {
            if (listener == null) {
                listen();
            }
        } catch (IOException e) {
            LOG.error("cannot listen at {} again: {}", address, e.getMessage());
        }
    }
}
