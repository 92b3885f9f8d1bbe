import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** One life of a runner: it works on as many requests at once as it has slots and turns away any beyond. */
final class Runner {
    /** What the runner does with a request that it works on. */
    interface Work {
        /** Reads the body of the request, works, and returns the body of the answer. */
        byte[] run(Runner runner, Http.Head request, InputStream body) throws IOException, InterruptedException;
    }

    private static final int IDLE_MILLIS = 1000; // as Keep-Alive says

    final String id;
    final String service;
    final String zone;
    final String worker;
    final String host;
    final int slots;
    volatile boolean listening;
    volatile boolean ended;
    volatile long listedAt = Long.MAX_VALUE; // when the platform's list shows it, as System.nanoTime
    volatile long unlistedAt = Long.MAX_VALUE;
    private final Semaphore freeSlots;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocketChannel channel;

    Runner(String id, String service, String zone, String worker, String host, int slots) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.worker = worker;
        this.host = host;
        this.slots = slots;
        freeSlots = new Semaphore(slots);
    }

    String address() {
        return host + ":8080";
    }

    /**
     * Starts to listen.
     *
     * @param segmentBytes the largest TCP segment, as 1460 on an Ethernet; 0 for that of the loopback
     * @param windowBytes the receive buffer; 0 for the system's
     */
    void listen(Work work, Record record, int segmentBytes, int windowBytes) throws IOException {
        channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (windowBytes > 0) {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, windowBytes);
        }
        if (segmentBytes > 0) {
            setSegmentSize(channel, segmentBytes);
        }
        channel.bind(new InetSocketAddress(host, 8080), 128);
        listening = true;
        ServerSocket server = channel.socket();
        Threads.start(() -> {
            while (!ended && listening) {
                try {
                    Socket socket = server.accept();
                    connections.add(socket);
                    Threads.start(() -> serve(socket, work, record));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Sets TCP_MAXSEG, for which Java has no public option. */
    private static void setSegmentSize(ServerSocketChannel channel, int bytes) throws IOException {
        try {
            Method getFd = channel.getClass().getDeclaredMethod("getFD");
            getFd.setAccessible(true);
            Method set = Class.forName("sun.nio.ch.Net")
                    .getDeclaredMethod(
                            "setIntOption0",
                            FileDescriptor.class,
                            boolean.class,
                            int.class,
                            int.class,
                            int.class,
                            boolean.class);
            set.setAccessible(true);
            set.invoke(null, getFd.invoke(channel), false, 6, 2, bytes, false);
        } catch (ReflectiveOperationException e) {
            throw new IOException("TCP_MAXSEG cannot be set", e);
        }
    }

    private void serve(Socket socket, Work work, Record record) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_MILLIS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
            while (!ended) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                String attempt = head.header("X-Saltdale-Attempt-Id");
                String expected = head.header("X-Saltdale-Expected-Runner");
                int length = head.contentLength();
                if (expected != null && !expected.equals(id)) {
                    Http.readBody(in, length);
                    answer(socket, 421, attempt, "X-Saltdale-Not-Executed: 1\r\n", new byte[0]);
                } else if (!freeSlots.tryAcquire()) {
                    Http.readBody(in, length);
                    record.add("runner %s turns %s away: full", id, attempt);
                    answer(socket, 503, attempt, "X-Saltdale-Not-Executed: 1\r\n", new byte[0]);
                } else {
                    try {
                        byte[] body = work.run(this, head, in);
                        if (!ended) {
                            answer(socket, 200, attempt, "X-Saltdale-Runner-Seal: " + id + "." + attempt + "\r\n", body);
                        }
                    } finally {
                        freeSlots.release();
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            // the connection or the runner has ended
        } finally {
            connections.remove(socket);
        }
    }

    private static void answer(Socket socket, int status, String attempt, String more, byte[] body) throws IOException {
        byte[] head = ("HTTP/1.1 " + status + " x\r\nX-Saltdale-Attempt-Id: " + attempt + "\r\n" + more
                        + "Keep-Alive: timeout=1\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Ends at once: connections are reset, the port is closed. */
    void crash() throws IOException {
        ended = true;
        listening = false;
        if (channel != null) {
            channel.close();
        }
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Stops listening; requests under way are finished. */
    void stop() throws IOException {
        listening = false;
        if (channel != null) {
            channel.close();
        }
    }
}
