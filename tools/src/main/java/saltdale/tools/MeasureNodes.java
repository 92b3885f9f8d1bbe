package saltdale.tools;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltdale.nodes.client.NodeClient;
import saltdale.nodes.list.NodeList;
import saltdale.nodes.membership.Membership.Health;
import saltdale.nodes.membership.RunnerInfo;
import saltdale.nodes.standin.NodeServer;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

@Command(
        name = "measure-nodes",
        mixinStandardHelpOptions = true,
        description = "Measures the list from ephemeral nodes: removals, reads after a reconnect, time and memory.")
final class MeasureNodes implements Callable<Integer> {
    private static final String PATH = "/boxes";
    private static final Duration SESSION = Duration.ofSeconds(4);

    @Option(names = "--nodes", defaultValue = "2000")
    private int nodes;

    @Option(
            names = "--lists",
            defaultValue = "20",
            description = "Number of lists that follow the nodes, one per dispatcher.")
    private int lists;

    @Option(names = "--goings", defaultValue = "10000")
    private int removals;

    @Option(names = "--port", defaultValue = "7420")
    private int port;

    private EventLoop loop;
    private SocketBudget sockets;
    private final Map<String, Long> removedAt = new HashMap<>();
    private final Histogram removalDelayMicros = new Histogram(60_000_000L, 3);
    private final List<Integer> up = new ArrayList<>();
    private long unexpected;

    @Override
    public Integer call() throws IOException {
        loop = new EventLoop();
        sockets = new SocketBudget(loop, 100_000);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        NodeServer server = new NodeServer(loop, sockets, Duration.ofMillis(200), null, System::currentTimeMillis, 1);
        server.listen(address);
        NodeClient client = client(address);
        createNode(client, PATH, new byte[0], false);
        for (int i = 0; i < nodes; i++) {
            createNode(client, PATH + "/b" + i, nodeData(i), true);
        }
        awaitCondition(() -> pending == 0);
        long startedAt = System.nanoTime();
        long heapBytes = heapBytes();
        List<NodeList> nodeLists = new ArrayList<>();
        for (int i = 0; i < lists; i++) {
            int list = i;
            up.add(0);
            NodeList each = new NodeList(
                    loop,
                    sockets,
                    List.of(address),
                    SESSION,
                    Duration.ofSeconds(1),
                    PATH,
                    new SplittableRandom(i),
                    changes -> changes.forEach(c -> recordChange(list, c.name(), c.health())));
            nodeLists.add(each);
            each.start();
        }
        awaitCondition(() -> up.stream().allMatch(n -> n == nodes));
        System.out.printf(
                Locale.ROOT,
                "%d nodes known to %d lists after %.2f s; %.0f bytes of heap a node and list%n",
                nodes,
                lists,
                (System.nanoTime() - startedAt) / 1e9,
                (heapBytes() - heapBytes) / (double) nodes / lists);

        long readsBefore = server.reads();
        server.disconnect(address);
        awaitCondition(() -> nodeLists.stream().noneMatch(l -> l.membership().trust(loop.now()) == 1));
        runLoopOnce();
        runLoopOnce();
        server.listen(address);
        long returned = System.nanoTime();
        awaitCondition(() -> nodeLists.stream().allMatch(l -> l.membership().trust(loop.now()) == 1));
        Histogram rate = new Histogram(10_000_000L, 3);
        long[] last = {server.reads(), System.nanoTime()};
        awaitCondition(() -> {
            if (System.nanoTime() - last[1] > 100_000_000L) {
                rate.recordValue(Math.max(0, (server.reads() - last[0]) * 10));
                last[0] = server.reads();
                last[1] = System.nanoTime();
            }
            return server.reads() - readsBefore >= (long) nodes * lists;
        });
        System.out.printf(
                Locale.ROOT,
                "after a return: %.3f reads a node and list, %.1f s, at most %d reads/s, %d told " + "gone%n",
                (server.reads() - readsBefore) / (double) nodes / lists,
                (System.nanoTime() - returned) / 1e9,
                rate.getMaxValue(),
                unexpected);

        awaitCondition(() -> client.state() == NodeClient.State.CONNECTED);
        for (int i = 0; i < removals; i++) {
            String name = "b" + i % nodes;
            long begin = System.nanoTime();
            removedAt.put(name, begin);
            pending++;
            client.delete(PATH + "/" + name, -1, (fault, nothing) -> pending--);
            awaitCondition(() -> pending == 0
                    && up.get(lists - 1) == nodes - 1
                    && up.stream().allMatch(n -> n == nodes - 1));
            removedAt.remove(name);
            createNode(client, PATH + "/" + name, nodeData(i % nodes), true);
            awaitCondition(() -> up.stream().allMatch(n -> n == nodes));
        }
        System.out.printf(
                Locale.ROOT,
                "%d goings to %d lists: told after %.2f ms at the median, %.2f ms at p99.9, %.2f ms " + "at the most%n",
                removals,
                lists,
                removalDelayMicros.getValueAtPercentile(50) / 1e3,
                removalDelayMicros.getValueAtPercentile(99.9) / 1e3,
                removalDelayMicros.getMaxValue() / 1e3);
        server.close();
        return removalDelayMicros.getMaxValue() <= 550_000 ? 0 : 1;
    }

    private int pending;

    private void recordChange(int list, String name, Health health) {
        if (health == Health.UP) {
            up.set(list, up.get(list) + 1);
            return;
        }
        up.set(list, up.get(list) - 1);
        Long startedAt = removedAt.get(name);
        if (startedAt == null) {
            unexpected++;
        } else {
            removalDelayMicros.recordValue(Math.min(60_000_000L, (System.nanoTime() - startedAt) / 1000));
        }
    }

    private NodeClient client(InetSocketAddress address) throws IOException {
        NodeClient client = new NodeClient(
                loop, sockets, List.of(address), SESSION, new SplittableRandom(5), new NodeClient.Listener() {
                    @Override
                    public void stateChanged(NodeClient.State state) {
                        // polled instead
                    }

                    @Override
                    public void event(Event event) {
                        // this client watches nothing
                    }
                });
        client.start();
        awaitCondition(() -> client.state() == NodeClient.State.CONNECTED);
        return client;
    }

    private void createNode(NodeClient client, String path, byte[] nodeData, boolean ephemeral) {
        pending++;
        client.create(path, nodeData, ephemeral, false, (fault, name) -> {
            if (fault != ErrorCode.OK) {
                throw new IllegalStateException(path + ": " + fault);
            }
            pending--;
        });
    }

    private static byte[] nodeData(int number) {
        return new RunnerInfo("127.0.0.1:" + (1024 + number % 60_000), "a", "m", number % 8, 1, 1000, false).data();
    }

    private void runLoopOnce() throws IOException {
        loop.schedule(Duration.ofMillis(5), () -> {});
        loop.runOnce(() -> {});
    }

    private void awaitCondition(BooleanSupplier condition) throws IOException {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IOException("condition not met within 60 s; nodes up by list: " + up);
            }
            runLoopOnce();
        }
    }

    private static long heapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
