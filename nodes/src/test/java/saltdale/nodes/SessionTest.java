package saltdale.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltdale.nodes.client.NodeClient;
import saltdale.nodes.client.NodeClient.State;
import saltdale.nodes.list.NodeList;
import saltdale.nodes.list.Registration;
import saltdale.nodes.membership.RunnerInfo;
import saltdale.nodes.standin.NodeServer;
import saltdale.nodes.tree.Tree.Operation;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** Tests client and stand-in on one event loop, which the test runs until the awaited condition holds. */
@Timeout(30)
class SessionTest {
    @TempDir
    Path folder;

    private final EventLoop loop = new EventLoop();
    private final SocketBudget sockets = new SocketBudget(loop, 1000);
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private NodeServer server;

    SessionTest() throws IOException {
        for (int i = 0; i < 2; i++) {
            try (ServerSocket free = new ServerSocket(0)) {
                addresses.add(new InetSocketAddress("127.0.0.1", free.getLocalPort()));
            }
        }
    }

    private void startServer() throws IOException {
        server = new NodeServer(loop, sockets, Duration.ofMillis(100), folder.resolve("log"), () -> 0, 1);
        for (InetSocketAddress each : addresses) {
            server.listen(each);
        }
    }

    private NodeClient client(String name, List<InetSocketAddress> to) {
        NodeClient client = new NodeClient(
                loop, sockets, to, Duration.ofMillis(600), new SplittableRandom(3), new NodeClient.Listener() {
                    @Override
                    public void stateChanged(State state) {
                        events.add(name + " " + state);
                    }

                    @Override
                    public void event(Event event) {
                        events.add(name + " " + event.kind() + " " + event.path());
                    }
                });
        client.start();
        await(() -> client.state() == State.CONNECTED);
        return client;
    }

    /** Closes the server and runs one turn of the loop, after which its addresses are free. */
    private void closeServer() throws IOException {
        server.close();
        boolean[] turnDone = new boolean[1];
        loop.defer(() -> turnDone[0] = true);
        await(() -> turnDone[0]);
    }

    private void await(BooleanSupplier condition) {
        try {
            while (!condition.getAsBoolean()) {
                loop.schedule(Duration.ofMillis(5), () -> {}); // so that each turn of the loop ends
                loop.runOnce(() -> {});
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void awaitEvent(String event) {
        await(() -> events.contains(event));
    }

    private ErrorCode create(NodeClient client, String path, boolean ephemeral) {
        ErrorCode[] result = new ErrorCode[1];
        client.create(path, new byte[] {1}, ephemeral, false, (error, createdPath) -> result[0] = error);
        await(() -> result[0] != null);
        return result[0];
    }

    @Test
    void watcherSeesAnEphemeralNodeAndItsDeletionWithTheSession() throws IOException {
        startServer();
        NodeClient runner = client("box", addresses);
        NodeClient watcher = client("watcher", addresses);
        assertEquals(ErrorCode.OK, create(runner, "/boxes", false));
        watcher.watch("/boxes", true, (error, nothing) -> events.add("watching " + error));
        awaitEvent("watching OK");
        assertEquals(ErrorCode.OK, create(runner, "/boxes/b1", true));
        assertEquals(ErrorCode.NODE_EXISTS, create(runner, "/boxes/b1", true));
        awaitEvent("watcher CREATED /boxes/b1");
        runner.close(() -> events.add("closed"));
        awaitEvent("watcher DELETED /boxes/b1");
        awaitEvent("closed");
        assertEquals(1, server.sessions());
    }

    @Test
    void repliesArriveInRequestOrder() throws IOException {
        startServer();
        NodeClient client = client("c", addresses);
        create(client, "/a", false);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            client.set(
                    "/a",
                    new byte[] {(byte) i},
                    i,
                    (error, stat) -> order.add(stat.version() - 1 == number ? number : -1));
        }
        await(() -> order.size() == 200);
        for (int i = 0; i < 200; i++) {
            assertEquals(i, order.get(i));
        }
    }

    @Test
    void movesToAnotherServerWithTheSameSessionAndWatches() throws IOException {
        startServer();
        NodeClient client = client("c", addresses);
        create(client, "/a", true);
        client.data("/a", true, (error, data) -> events.add("read " + error));
        awaitEvent("read OK");
        long session = client.session();
        server.disconnect(addresses.get(0));
        server.disconnect(addresses.get(1));
        awaitEvent("c SUSPENDED");
        server.tree().apply(List.of(Operation.set("/a", new byte[] {9}, -1)), 99, 0);
        server.listen(addresses.get(1));
        awaitEvent("c DATA_CHANGED /a"); // the change happened while the client was disconnected
        assertEquals(session, client.session());
        assertTrue(!events.contains("c EXPIRED"));
    }

    @Test
    void reportsAnExpiredSessionWhoseNodesAreDeleted() throws IOException {
        startServer();
        NodeClient client = client("c", addresses);
        create(client, "/a", true);
        server.expire(client.session());
        awaitEvent("c EXPIRED");
        assertEquals(null, server.tree().stat("/a"));
        long before = client.session();
        client.start();
        await(() -> client.state() == State.CONNECTED);
        assertTrue(client.session() != before);
        assertEquals(ErrorCode.OK, create(client, "/a", true));
    }

    @Test
    void silentServiceSuspendsTheSessionUntilItResponds() throws IOException {
        startServer();
        NodeClient client = client("c", addresses.subList(0, 1));
        server.pause(true);
        awaitEvent("c SUSPENDED");
        server.pause(false);
        await(() -> client.state() == State.CONNECTED || client.state() == State.EXPIRED);
        assertEquals(List.of("c CONNECTED", "c SUSPENDED"), events.subList(0, 2));
    }

    @Test
    void restartedServerKeepsAllAcknowledgedChanges() throws IOException {
        startServer();
        NodeClient client = client("c", addresses);
        create(client, "/a", false);
        create(client, "/a/b", true);
        String before = server.tree().toString();
        closeServer();
        startServer();
        assertEquals(before, server.tree().toString());
        await(() -> client.state() == State.CONNECTED);
        assertEquals(ErrorCode.NODE_EXISTS, create(client, "/a/b", true));
        assertTrue(!events.contains("c EXPIRED"));
    }

    @Test
    void clientDoesNotConnectToAServerWithAnOlderZxid() throws IOException {
        startServer();
        NodeClient client = client("c", addresses.subList(0, 1));
        create(client, "/a", false);
        closeServer();
        NodeServer old = new NodeServer(loop, sockets, Duration.ofMillis(100), null, () -> 0, 1);
        old.listen(addresses.get(0));
        awaitEvent("c SUSPENDED");
        loop.schedule(Duration.ofMillis(300), () -> events.add("later"));
        awaitEvent("later");
        assertEquals(State.SUSPENDED, client.state());
    }

    private Registration runner(int number) {
        Registration runner = new Registration(
                loop,
                sockets,
                addresses,
                Duration.ofMillis(600),
                new SplittableRandom(number),
                "/live/boxes/b" + number,
                new RunnerInfo("127.0.0.1:" + (7000 + number), "a", "m", 0, 1, 1000, false));
        runner.start();
        return runner;
    }

    @Test
    void registrationRecreatesItsNodeAfterSessionExpiry() throws IOException {
        startServer();
        Registration runner = runner(1);
        await(runner::isHeld);
        long first = runner.session();
        server.expire(first);
        await(() -> runner.isHeld() && runner.session() != first);
        assertEquals(List.of("b1"), server.tree().children("/live/boxes"));
        assertEquals(runner.session(), server.tree().stat("/live/boxes/b1").ephemeralOwner());
        assertEquals(2, runner.creations());
    }

    @Test
    void secondRegistrationWaitsForTheFirstSessionToEnd() throws IOException {
        startServer();
        Registration old = runner(1);
        await(old::isHeld);
        Registration next = runner(1);
        await(() -> next.failureReason() != null);
        assertEquals(old.session(), server.tree().stat("/live/boxes/b1").ephemeralOwner());
        server.expire(old.session());
        old.close(() -> {});
        await(next::isHeld);
        assertEquals(next.session(), server.tree().stat("/live/boxes/b1").ephemeralOwner());
    }

    @Test
    void listFollowsRunnersAndSurvivesARestart() throws IOException {
        startServer();
        Registration one = runner(1);
        Registration two = runner(2);
        await(() -> one.isHeld() && two.isHeld());
        NodeList list = new NodeList(
                loop,
                sockets,
                addresses,
                Duration.ofMillis(600),
                Duration.ofMillis(50),
                "/live/boxes",
                new SplittableRandom(9),
                changes -> changes.forEach(c -> events.add(c.name() + " " + c.health())));
        list.start();
        awaitEvent("b1 UP");
        awaitEvent("b2 UP");
        Registration three = runner(3);
        awaitEvent("b3 UP");
        three.update(new RunnerInfo("127.0.0.1:7003", "a", "m", 0, 1, 1000, true));
        awaitEvent("b3 DRAINING");
        two.close(() -> {});
        awaitEvent("b2 GONE");
        closeServer();
        int eventsBeforeRestart = events.size();
        startServer();
        await(() -> one.state() == State.CONNECTED && list.membership().trust(loop.now()) == 1);
        Registration four = runner(4);
        awaitEvent("b4 UP");
        await(four::isHeld);
        // The restart reported no runner as gone.
        assertEquals(List.of("b4 UP"), events.subList(eventsBeforeRestart, events.size()));
    }
}
