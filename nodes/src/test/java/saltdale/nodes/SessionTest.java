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
import saltdale.nodes.membership.Box;
import saltdale.nodes.standin.NodeServer;
import saltdale.nodes.tree.Tree.Step;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Fault;
import saltdale.transport.EventLoop;
import saltdale.transport.SocketBudget;

/** Client and stand-in on one loop, turned by the test until what it waits for has come. */
@Timeout(30)
class SessionTest {
    @TempDir
    Path folder;

    private final EventLoop loop = new EventLoop();
    private final SocketBudget sockets = new SocketBudget(loop, 1000);
    private final List<InetSocketAddress> at = new ArrayList<>();
    private final List<String> said = new ArrayList<>();
    private NodeServer server;

    SessionTest() throws IOException {
        for (int i = 0; i < 2; i++) {
            try (ServerSocket free = new ServerSocket(0)) {
                at.add(new InetSocketAddress("127.0.0.1", free.getLocalPort()));
            }
        }
    }

    private void serve() throws IOException {
        server = new NodeServer(loop, sockets, Duration.ofMillis(100), folder.resolve("log"), () -> 0, 1);
        for (InetSocketAddress each : at) {
            server.listen(each);
        }
    }

    private NodeClient client(String name, List<InetSocketAddress> to) {
        NodeClient client = new NodeClient(
                loop, sockets, to, Duration.ofMillis(600), new SplittableRandom(3), new NodeClient.Owner() {
                    @Override
                    public void state(State state) {
                        said.add(name + " " + state);
                    }

                    @Override
                    public void event(Event event) {
                        said.add(name + " " + event.kind() + " " + event.path());
                    }
                });
        client.begin();
        until(() -> client.state() == State.CONNECTED);
        return client;
    }

    /** Closed, and its addresses free: that takes the loop a turn. */
    private void closed() throws IOException {
        server.close();
        boolean[] turned = new boolean[1];
        loop.defer(() -> turned[0] = true);
        until(() -> turned[0]);
    }

    private void until(BooleanSupplier come) {
        try {
            while (!come.getAsBoolean()) {
                loop.schedule(Duration.ofMillis(5), () -> {}); // so that each turn ends
                loop.runOnce(() -> {});
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void untilSaid(String what) {
        until(() -> said.contains(what));
    }

    private Fault create(NodeClient client, String path, boolean ephemeral) {
        Fault[] came = new Fault[1];
        client.create(path, new byte[] {1}, ephemeral, false, (fault, made) -> came[0] = fault);
        until(() -> came[0] != null);
        return came[0];
    }

    @Test
    void anotherHearsOfANodeAndOfItsGoingWithItsSession() throws IOException {
        serve();
        NodeClient box = client("box", at);
        NodeClient watcher = client("watcher", at);
        assertEquals(Fault.OK, create(box, "/boxes", false));
        watcher.watch("/boxes", true, (fault, nothing) -> said.add("watching " + fault));
        untilSaid("watching OK");
        assertEquals(Fault.OK, create(box, "/boxes/b1", true));
        assertEquals(Fault.NODE_EXISTS, create(box, "/boxes/b1", true));
        untilSaid("watcher CREATED /boxes/b1");
        box.close(() -> said.add("closed"));
        untilSaid("watcher DELETED /boxes/b1");
        untilSaid("closed");
        assertEquals(1, server.sessions());
    }

    @Test
    void answersComeInTheOrderOfTheRequests() throws IOException {
        serve();
        NodeClient client = client("c", at);
        create(client, "/a", false);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            client.set(
                    "/a",
                    new byte[] {(byte) i},
                    i,
                    (fault, stat) -> order.add(stat.version() - 1 == number ? number : -1));
        }
        until(() -> order.size() == 200);
        for (int i = 0; i < 200; i++) {
            assertEquals(i, order.get(i));
        }
    }

    @Test
    void aCutServerIsLeftForAnotherWithTheSameSessionAndItsWatches() throws IOException {
        serve();
        NodeClient client = client("c", at);
        create(client, "/a", true);
        client.data("/a", true, (fault, data) -> said.add("read " + fault));
        untilSaid("read OK");
        long session = client.session();
        server.cut(at.get(0));
        server.cut(at.get(1));
        untilSaid("c SUSPENDED");
        server.tree().take(List.of(Step.set("/a", new byte[] {9}, -1)), 99, 0);
        server.listen(at.get(1));
        untilSaid("c DATA_CHANGED /a"); // changed while nobody could hear it
        assertEquals(session, client.session());
        assertTrue(!said.contains("c EXPIRED"));
    }

    @Test
    void anExpiredSessionIsToldAndItsNodesAreGone() throws IOException {
        serve();
        NodeClient client = client("c", at);
        create(client, "/a", true);
        server.expire(client.session());
        untilSaid("c EXPIRED");
        assertEquals(null, server.tree().stat("/a"));
        long before = client.session();
        client.begin();
        until(() -> client.state() == State.CONNECTED);
        assertTrue(client.session() != before);
        assertEquals(Fault.OK, create(client, "/a", true));
    }

    @Test
    void aSilentServiceSuspendsAndTheSessionLivesIfItComesBackInTime() throws IOException {
        serve();
        NodeClient client = client("c", at.subList(0, 1));
        server.pause(true);
        untilSaid("c SUSPENDED");
        server.pause(false);
        until(() -> client.state() == State.CONNECTED || client.state() == State.EXPIRED);
        assertEquals(List.of("c CONNECTED", "c SUSPENDED"), said.subList(0, 2));
    }

    @Test
    void aRestartedServiceHasAllThatItAcknowledged() throws IOException {
        serve();
        NodeClient client = client("c", at);
        create(client, "/a", false);
        create(client, "/a/b", true);
        String before = server.tree().toString();
        closed();
        serve();
        assertEquals(before, server.tree().toString());
        until(() -> client.state() == State.CONNECTED);
        assertEquals(Fault.NODE_EXISTS, create(client, "/a/b", true));
        assertTrue(!said.contains("c EXPIRED"));
    }

    @Test
    void aClientThatHasSeenMoreThanAServerKnowsGoesElsewhere() throws IOException {
        serve();
        NodeClient client = client("c", at.subList(0, 1));
        create(client, "/a", false);
        closed();
        NodeServer old = new NodeServer(loop, sockets, Duration.ofMillis(100), null, () -> 0, 1);
        old.listen(at.get(0));
        untilSaid("c SUSPENDED");
        loop.schedule(Duration.ofMillis(300), () -> said.add("later"));
        untilSaid("later");
        assertEquals(State.SUSPENDED, client.state());
    }

    private Registration box(int number) {
        Registration box = new Registration(
                loop,
                sockets,
                at,
                Duration.ofMillis(600),
                new SplittableRandom(number),
                "/live/boxes/b" + number,
                new Box("127.0.0.1:" + (7000 + number), "a", "m", 0, 1, 1000, false));
        box.begin();
        return box;
    }

    @Test
    void aBoxHoldsOneNodeThroughAnExpiryOfItsSession() throws IOException {
        serve();
        Registration box = box(1);
        until(box::isHeld);
        long first = box.session();
        server.expire(first);
        until(() -> box.isHeld() && box.session() != first);
        assertEquals(List.of("b1"), server.tree().children("/live/boxes"));
        assertEquals(box.session(), server.tree().stat("/live/boxes/b1").owner());
        assertEquals(2, box.made());
    }

    @Test
    void aSecondProcessOfTheSameBoxWaitsForTheFirstOnesSessionToEnd() throws IOException {
        serve();
        Registration old = box(1);
        until(old::isHeld);
        Registration next = box(1);
        until(() -> next.trouble() != null);
        assertEquals(old.session(), server.tree().stat("/live/boxes/b1").owner());
        server.expire(old.session());
        old.close(() -> {});
        until(next::isHeld);
        assertEquals(next.session(), server.tree().stat("/live/boxes/b1").owner());
    }

    @Test
    void theListHearsOfBoxesAsTheyComeDrainAndGoAndThroughARestart() throws IOException {
        serve();
        Registration one = box(1);
        Registration two = box(2);
        until(() -> one.isHeld() && two.isHeld());
        NodeList list = new NodeList(
                loop,
                sockets,
                at,
                Duration.ofMillis(600),
                Duration.ofMillis(50),
                "/live/boxes",
                new SplittableRandom(9),
                changes -> changes.forEach(c -> said.add(c.name() + " " + c.health())));
        list.begin();
        untilSaid("b1 UP");
        untilSaid("b2 UP");
        Registration three = box(3);
        untilSaid("b3 UP");
        three.says(new Box("127.0.0.1:7003", "a", "m", 0, 1, 1000, true));
        untilSaid("b3 DRAINING");
        two.close(() -> {});
        untilSaid("b2 GONE");
        closed();
        int told = said.size();
        serve();
        until(() -> one.state() == State.CONNECTED && list.membership().trust(loop.now()) == 1);
        Registration four = box(4);
        untilSaid("b4 UP");
        until(four::isHeld);
        assertEquals(List.of("b4 UP"), said.subList(told, said.size())); // the restart took nobody for gone
    }
}
