package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.control.Ballot;
import saltdale.control.ReplicatedState;
import saltdale.control.Voter;
import saltdale.control.message.BallotMessage.Accept;

/** The cluster works around a control node whose disk fails, and the records on that disk always remain usable. */
class DiskTest {
    @ParameterizedTest
    @EnumSource(SimMachine.Disk.class)
    void oneFaultyDiskDoesNotDelayTheCluster(SimMachine.Disk disk) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = new SimWorld(seed).withNodes(3, 0).startAll();
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine faulty = world.controlNodes.get(seed % 3);
            faulty.disk = disk;
            faulty.syncNanos = 2_000_000_000L; // a slow disk, unless it is full or hangs
            for (int i = 0; i < 4; i++) {
                long startNanos = world.now();
                assertThat(replace(world, world.controlNodes.get((seed + i) % 3), 1 + i, config(2 + i)), is(200));
                assertThat(
                        "ms until the other control nodes responded",
                        (world.now() - startNanos) / 1_000_000,
                        lessThan(1000L));
            }
            faulty.powerOff();
            faulty.repairDisk();
            faulty.syncNanos = 3_000_000;
            faulty.start();
            world.controlNodes.get((seed + 1) % 3).powerOff();
            world.run(3000);
            assertThat(read(world, faulty), containsString("\"revision\":5"));
            assertThat(world.violations, is(empty()));
        }
    }

    /** A vote that counts is stored with the id of its voter, even if the disk was full when the node started. */
    @Test
    void voteOnDiskIsAlwaysStoredWithTheIdentity() {
        for (int seed = 0; seed < 20; seed++) {
            SimWorld world = new SimWorld(seed).withNodes(3, 0).startAll();
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine wiped = world.controlNodes.get(seed % 3);
            wiped.wipe();
            wiped.disk = SimMachine.Disk.FULL;
            wiped.start();
            world.run(500 + world.random.nextInt(3000));
            wiped.repairDisk();
            assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
            assertTrue(world.runUntil(5000, () -> wiped.synced.containsKey("acceptor")), "the wiped node votes");
            assertTrue(wiped.synced.containsKey("identity"), "seed " + seed);
            wiped.powerOff();
            String idBeforeRestart = wiped.id();
            wiped.start();
            world.run(5000);
            assertThat("seed " + seed, wiped.id(), is(idBeforeRestart));
            assertThat(world.violations, is(empty()));
        }
    }

    /** The disks are full at the first start and are repaired; all nodes lose power once enough of them have voted. */
    @Test
    void nodesThatVotedKnowTheInitialVoters() {
        for (int seed = 0; seed < 20; seed++) {
            SimWorld world = new SimWorld(seed).withNodes(3, 0);
            world.controlNodes.forEach(controlNode -> controlNode.disk = SimMachine.Disk.FULL);
            world.startAll().run(1000 + world.random.nextInt(1000));
            world.controlNodes.forEach(SimMachine::repairDisk);
            int requiredVotes = 1 + seed % 3;
            assertTrue(world.runUntil(5000, () -> nodesWithVoteOnDisk(world) >= requiredVotes), "seed " + seed);
            world.controlNodes.forEach(SimMachine::powerOff);
            world.run(500);
            world.controlNodes.forEach(SimMachine::start);
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000), "seed " + seed);
            assertThat("seed " + seed, world.violations, is(empty()));
        }
    }

    private static long nodesWithVoteOnDisk(SimWorld world) {
        return world.controlNodes.stream()
                .filter(controlNode -> controlNode.synced.containsKey("acceptor"))
                .count();
    }

    /** Two proposers propose different texts alternately, faster than the disk syncs. */
    @Test
    void textProposedAgainBeforeTheSyncSurvivesAPowerLoss() throws Exception {
        SimWorld world = new SimWorld(1).withNodes(3, 0).startAll();
        world.run(2500);
        SimMachine controlNode = world.controlNodes.get(0);
        List<Voter> voters = world.controlNodes.stream()
                .map(node -> new Voter(node.id(), node.host, node.host))
                .toList();
        ReplicatedState first = ReplicatedState.initial(voters);
        ReplicatedState one = first.withConfiguration(1, "1-one", "order1".getBytes());
        ReplicatedState two = one.withConfiguration(2, "2-two", "order2".getBytes());
        accept(controlNode, 1000, one, "one");
        world.run(500);
        controlNode.syncNanos = 100_000_000;
        accept(controlNode, 1001, two, "two");
        accept(controlNode, 1002, one, "one");
        world.run(1000);
        controlNode.powerOff();
        controlNode.start();
        assertThat(world.violations, is(empty()));
    }

    private static void accept(SimMachine controlNode, long round, ReplicatedState state, String text)
            throws Exception {
        controlNode.process.receive(
                "10.0.0.2", new Accept(new Ballot(round, "x"), state, text.getBytes(), controlNode.id()));
    }
}
