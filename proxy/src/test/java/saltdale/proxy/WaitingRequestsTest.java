package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltdale.control.ControlNode;
import saltdale.control.Counter;
import saltdale.control.FaultyReads;
import saltdale.control.message.BallotMessage.Promise;

/** Many requests that wait at one control node, with and without a majority. */
class WaitingRequestsTest {
    private static final int STACK_BYTES = 256 << 10; // as in the deploy file
    private static final int READS = 5000;
    private static final long TIME_LIMIT_MILLIS = 3000; // three fifths of acknowledge_ms
    private static final long MAX_BALLOT_MILLIS = 1600; // a ballot that is being run is ended first

    /** Counts answers, and the time that the last one took. */
    private static final class Answers {
        private final SimWorld world;
        private final long startedAt;
        final Map<Integer, Integer> countByStatus = new TreeMap<>();
        long lastMillis;

        Answers(SimWorld world) {
            this.world = world;
            startedAt = world.now();
        }

        void add(ControlNode.Reply reply) {
            countByStatus.merge(reply.status(), 1, Integer::sum);
            lastMillis = (world.now() - startedAt) / 1_000_000;
        }
    }

    private static SimWorld cluster(long seed) {
        SimWorld world = new SimWorld(seed).withNodes(3, 0).startAll();
        assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
        world.run(2000);
        return world;
    }

    /**
     * Guards against requests that wait without a majority: each that expired ended the next one from within its own
     * end, until the stack of the process was used up.
     */
    @Test
    void requestsThatWaitWithoutAMajorityAreAnsweredInTime() throws InterruptedException {
        List<Throwable> failures = new ArrayList<>();
        Thread thread = new Thread(null, this::waitWithoutAMajority, "small stack", STACK_BYTES);
        thread.setUncaughtExceptionHandler((failed, cause) -> failures.add(cause));
        thread.start();
        thread.join();
        assertThat(failures, is(empty()));
    }

    private void waitWithoutAMajority() {
        SimWorld world = cluster(1);
        SimMachine node = world.controlNodes.get(0);
        world.isolate(node);
        Answers reads = new Answers(world);
        Answers orders = new Answers(world);
        for (int i = 0; i < READS; i++) {
            node.controlNode().readConfiguration(reads::add);
            SimOperator.replace(node, 1, SimOperator.config(2 + i), orders::add);
        }
        world.run(10_000);
        assertThat(reads.countByStatus, is(Map.of(503, READS)));
        assertThat(reads.lastMillis, lessThanOrEqualTo(TIME_LIMIT_MILLIS));
        assertThat(orders.countByStatus, is(Map.of(503, READS)));
        assertThat(orders.lastMillis, lessThanOrEqualTo(TIME_LIMIT_MILLIS + MAX_BALLOT_MILLIS));
        world.cutLinks.clear();
        world.run(3000);
        assertThat(SimOperator.replace(world, node, 1, SimOperator.config(2)), is(200));
        assertThat(world.violations, is(empty()));
    }

    /** Guards against a ballot for each read: thousands of them held up an order for seconds. */
    @Test
    void oneBallotAnswersAllReadsThatWait() {
        SimWorld world = cluster(2);
        SimMachine node = world.controlNodes.get(0);
        long ballots = node.process.counters().get(Counter.BALLOTS);
        Answers reads = new Answers(world);
        Answers orders = new Answers(world);
        for (int i = 0; i < READS; i++) {
            node.controlNode().readConfiguration(reads::add);
        }
        SimOperator.replace(node, 1, SimOperator.config(2), orders::add);
        assertTrue(world.runUntil(5000, () -> !orders.countByStatus.isEmpty()));
        assertThat(orders.countByStatus, is(Map.of(200, 1)));
        assertThat(orders.lastMillis, lessThan(300L));
        world.run(1000);
        assertThat(reads.countByStatus, is(Map.of(200, READS)));
        assertThat(node.process.counters().get(Counter.BALLOTS) - ballots, is(lessThan(100L)));
        assertThat(world.violations, is(empty()));
    }

    /** Orders over the bound are answered at once, and none of them keeps the node from its own changes. */
    @Test
    void tooManyOrdersAreRefusedAtOnce() {
        SimWorld world = cluster(3);
        SimMachine node = world.controlNodes.get(0);
        world.isolate(node);
        Answers orders = new Answers(world);
        byte[] largeBody = new byte[3 << 20];
        for (int i = 0; i < 20; i++) {
            node.controlNode().changeConfiguration(false, "1", largeBody, orders::add);
        }
        assertThat("refused for their size", orders.countByStatus, is(Map.of(503, 15)));
        for (int i = 0; i < 1000; i++) {
            SimOperator.replace(node, 1, SimOperator.config(2 + i), orders::add);
        }
        assertThat("refused for their number", orders.countByStatus.get(503), greaterThan(700));
        assertThat(orders.lastMillis, is(0L));
        world.cutLinks.clear();
        world.run(10_000);
        assertThat(
                "answers",
                orders.countByStatus.values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                is(1020));
        String holder = world.newestChosen.duty("starting").holder();
        assertThat("the duty is held by a node that runs", world.voters().contains(holder.split("/")[0]), is(true));
        assertThat(world.violations, is(empty()));
    }

    /**
     * A node whose ballot, begun for a read, collects promises that do not contain the two orders that another node has
     * acknowledged meanwhile.
     */
    private static final class HeldBallot {
        final SimWorld world = new SimWorld(4);
        final SimMachine node;
        private final List<Runnable> heldPromises = new ArrayList<>();

        HeldBallot(SimWorld.ControlNodeFactory factory) {
            world.controlNodeFactory = factory;
            world.withNodes(3, 0).startAll();
            assertTrue(SimOperator.replaceUntilAcknowledged(world, 0, SimOperator.config(1), 5000));
            world.run(2000);
            node = world.controlNodes.get(0);
            world.messageRewriter = (from, to, message) -> {
                if (to.equals(node.host) && message instanceof Promise) {
                    heldPromises.add(() -> world.send(from, to, message));
                    return null;
                }
                return message;
            };
            node.controlNode().readConfiguration(reply -> {});
            assertTrue(world.runUntil(200, () -> heldPromises.size() == 2));
            SimMachine other = world.controlNodes.get(1);
            assertThat(SimOperator.replace(world, other, 1, SimOperator.config(2)), is(200));
            assertThat(SimOperator.replace(world, other, 2, SimOperator.config(3)), is(200));
        }

        /** Sends a request to the node, and then releases the promises; returns the answer. */
        ControlNode.Reply answerTo(Consumer<Consumer<ControlNode.Reply>> request) {
            List<ControlNode.Reply> replies = new ArrayList<>();
            request.accept(replies::add);
            world.messageRewriter = (from, to, message) -> message;
            heldPromises.forEach(Runnable::run);
            assertTrue(world.runUntil(300, () -> !replies.isEmpty()), "answered in time");
            return replies.get(0);
        }

        long revisionRead() {
            ControlNode.Reply reply = answerTo(node.controlNode()::readConfiguration);
            return AgreementTest.revision(new String(reply.body(), StandardCharsets.UTF_8));
        }

        int statusOf(long base, long revision) {
            return answerTo(onReply -> SimOperator.replace(node, base, SimOperator.config(revision), onReply))
                    .status();
        }
    }

    @Test
    void readIsNotAnsweredByABallotThatBeganBeforeIt() {
        HeldBallot ballot = new HeldBallot(ControlNode::new);
        assertThat(ballot.revisionRead(), is(3L));
        assertThat(ballot.world.violations, is(empty()));
        HeldBallot wrong = new HeldBallot(FaultyReads::answeredByABallotThatBeganBefore);
        assertThat("wrong variant", wrong.revisionRead(), is(1L));
        assertThat(wrong.world.violations, hasItem(containsString("answered from version")));
    }

    /**
     * Guards against an order that is refused, although it is in force or is based on the newest revision, by a ballot
     * that began before it.
     */
    @ParameterizedTest
    @CsvSource({"2, 3, 200", "3, 4, 200", "1, 4, 412", "3, 2, 400"})
    void orderIsNotRefusedByABallotThatBeganBeforeIt(long base, long revision, int status) {
        HeldBallot ballot = new HeldBallot(ControlNode::new);
        assertThat(ballot.statusOf(base, revision), is(status));
        assertThat(ballot.world.violations, is(empty()));
    }

    @Test
    void refusalByABallotThatBeganBeforeTheOrderIsDetected() {
        HeldBallot wrong = new HeldBallot(FaultyReads::changesDecidedByABallotThatBeganBefore);
        assertThat("wrong variant", wrong.statusOf(2, 3), is(412));
        assertThat(wrong.world.violations, hasItem(containsString("answered from version")));
    }
}
