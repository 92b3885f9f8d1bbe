package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Control nodes keep every acknowledged change and agree on one sequence of versions, whatever faults occur. */
class AgreementTest {
    private static SimWorld world(long seed, int controlNodes) {
        SimWorld world = new SimWorld(seed).withNodes(controlNodes, 0).startAll();
        world.run(2500);
        return world;
    }

    private static long nodesWithSyncedText(SimWorld world, long revision) {
        return world.controlNodes.stream()
                .filter(node ->
                        node.synced.keySet().stream().anyMatch(name -> name.startsWith("text:" + revision + "-")))
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void acknowledgesOnlyChangesSyncedOnAMajority(int controlNodes) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            world.controlNodes.forEach(node -> node.syncNanos = (1 + world.random.nextInt(150)) * 1_000_000L);
            for (int revision = 1; revision <= 5; revision++) {
                int acknowledgingNode = world.random.nextInt(controlNodes);
                assertThat(
                        replace(world, world.controlNodes.get(acknowledgingNode), revision - 1, config(revision)),
                        is(200));
                assertThat(nodesWithSyncedText(world, revision), greaterThanOrEqualTo(controlNodes / 2 + 1L));
            }
        }
    }

    @Test
    void acceptsOneOfTwoChangesOnTheSameBase() {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            List<Integer> statuses = new ArrayList<>();
            replace(world.controlNodes.get(seed % 3), 0, config(3, 1), reply -> statuses.add(reply.status()));
            replace(world.controlNodes.get((seed + 1) % 3), 0, config(4, 2), reply -> statuses.add(reply.status()));
            assertTrue(world.runUntil(5000, () -> statuses.size() == 2));
            statuses.sort(null);
            assertThat("seed " + seed, statuses, is(List.of(200, 412)));
        }
    }

    @Test
    void repeatedChangeIsAcknowledgedByAnyControlNode() {
        SimWorld world = world(1, 3);
        assertThat(replace(world, world.controlNodes.get(0), 0, config(2)), is(200));
        assertThat(replace(world, world.controlNodes.get(1), 0, config(2)), is(200));
        assertThat(replace(world, world.controlNodes.get(1), 2, config(5)), is(200));
        assertThat("repeated after a later change", replace(world, world.controlNodes.get(2), 0, config(2)), is(200));
        assertThat("another change on the same base", replace(world, world.controlNodes.get(2), 0, config(7)), is(412));
        assertThat(read(world, world.controlNodes.get(0)), containsString("\"revision\":5"));
    }

    @ParameterizedTest
    @CsvSource({"3,false", "3,true", "5,false", "5,true"})
    void acknowledgedChangeSurvivesFailureOfTheAcknowledgingNode(int controlNodes, boolean withDisk) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine acknowledgingNode = world.controlNodes.get(seed % controlNodes);
            SimMachine second = world.controlNodes.get((seed + 1) % controlNodes);
            assertThat(replace(world, acknowledgingNode, 1, config(2)), is(200));
            // In half of the runs the other control nodes lose power as well.
            if (seed % 2 == 0) {
                world.controlNodes.stream()
                        .filter(node -> node != acknowledgingNode)
                        .forEach(SimMachine::powerOff);
            }
            for (SimMachine node :
                    controlNodes == 5 ? List.of(acknowledgingNode, second) : List.of(acknowledgingNode)) {
                if (withDisk) {
                    node.wipe();
                } else {
                    node.powerOff();
                }
            }
            world.controlNodes.forEach(SimMachine::start);
            world.run(5000);
            for (SimMachine node : world.controlNodes) {
                assertThat("seed " + seed, read(world, node), containsString("\"revision\":2"));
            }
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void nodeWithErasedDiskDoesNotVoteBeforeItIsAVoterAgain() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine lost = world.controlNodes.get(0);
            SimMachine poweredOff = world.controlNodes.get(1);
            String previous = lost.id();
            poweredOff.powerOff();
            lost.wipe();
            lost.start();
            world.run(4000);
            for (SimMachine node : List.of(lost, world.controlNodes.get(2))) {
                assertThat(
                        "status with one voter of three, which is no majority",
                        replace(world, node, 1, config(2)),
                        is(503));
                assertThat(read(world, node), is(nullValue()));
            }
            poweredOff.start();
            world.run(4000);
            assertThat("voters after the agreed change", world.voters(), hasItem(lost.id()));
            assertThat(lost.id(), is(not(previous)));
            assertThat(world.isJoint(), is(false));
            world.controlNodes.get(2).powerOff();
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000), "the vote of the new voter counts");
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void controlNodeAtANewAddressReplacesALostOne() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine lost = world.controlNodes.get(seed % 3);
            lost.wipe();
            SimMachine replacement = world.controlNode("10.0.0.9", world.controlNodes.get(0).seeds, false);
            replacement.start();
            world.run(6000);
            assertThat(world.voters(), hasItem(replacement.id()));
            assertThat(world.voters(), hasSize(3));
            SimMachine poweredOff = world.controlNodes.get((seed + 1) % 3);
            poweredOff.powerOff();
            world.run(2500);
            assertThat(replace(world, replacement, 1, config(2)), is(200));
            poweredOff.start();
            world.run(2000);
            assertThat(read(world, poweredOff), containsString("\"revision\":2"));
            assertThat(world.violations, is(empty()));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void minorityNeitherAcknowledgesNorServesReads(int controlNodes) {
        SimWorld world = world(4, controlNodes);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        List<SimMachine> minority = world.controlNodes.subList(0, controlNodes / 2);
        List<SimMachine> majority = world.controlNodes.subList(controlNodes / 2, controlNodes);
        minority.forEach(f -> majority.forEach(m -> world.cut(f, m)));
        for (SimMachine node : minority) {
            assertThat(replace(world, node, 1, config(2)), is(503));
            assertThat(read(world, node), is(nullValue()));
        }
        assertThat(replace(world, majority.get(0), 1, config(3)), is(200));
        assertThat(read(world, minority.get(0)), is(nullValue()));
        world.cutLinks.clear();
        world.run(3000);
        assertThat(read(world, minority.get(0)), containsString("\"revision\":3"));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void clusterRecoversAfterAllNodesAreKilledDuringAChange(int controlNodes) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            List<Integer> statuses = new ArrayList<>();
            replace(world.controlNodes.get(0), 1, config(2), reply -> statuses.add(reply.status()));
            world.run(world.random.nextInt(20));
            world.controlNodes.forEach(SimMachine::kill);
            world.run(900);
            world.controlNodes.forEach(SimMachine::start);
            world.run(4000);
            String configuration = read(world, world.controlNodes.get(seed % controlNodes));
            assertThat(configuration, containsString(statuses.isEmpty() ? "\"revision\":" : "\"revision\":2"));
            assertTrue(
                    configuration.contains("\"revision\":1")
                            ? replaceUntilAcknowledged(world, 1, config(2), 5000)
                            : replaceUntilAcknowledged(world, 2, config(3), 5000));
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void clusterRecoversAfterAllNodesAreKilledDuringTheFirstStart() {
        for (int ms = 20; ms <= 1500; ms += 100) {
            SimWorld world = new SimWorld(ms).withNodes(3, 0).startAll();
            world.run(ms);
            world.controlNodes.forEach(SimMachine::kill);
            world.run(500);
            world.controlNodes.forEach(SimMachine::start);
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000), "killed after " + ms + " ms");
        }
    }

    /** One of several operators: each bases its change on its last read and retries until a conclusive response. */
    private static final class Operator {
        final FaultRun run;
        final int number;
        long base;
        long revision;
        String body;

        Operator(FaultRun run, int number) {
            this.run = run;
            this.number = number;
        }

        void scheduleNextStep() {
            run.world.schedule(run.world.random.nextInt(400) * 1_000_000L, () -> {
                SimMachine controlNode =
                        run.world.controlNodes.get(run.world.random.nextInt(run.world.controlNodes.size()));
                if (controlNode.process == null) {
                    scheduleNextStep();
                } else if (body == null) {
                    readAndPrepare(controlNode);
                } else {
                    send(controlNode);
                }
            });
        }

        private void readAndPrepare(SimMachine controlNode) {
            long minRevision = run.newestAcknowledged();
            boolean[] finished = new boolean[1];
            controlNode.process.deliver(() -> controlNode.controlNode().readConfiguration(reply -> {
                if (reply.status() == 200) {
                    String text = new String(reply.body());
                    base = revision(text);
                    run.checkRead(base, text, minRevision);
                    revision = base + 1 + run.world.random.nextInt(3);
                    body = config(revision, 1 + number);
                }
                finished[0] |= finishStep(finished);
            }));
            run.world.schedule(1_000_000_000L, () -> finished[0] |= finishStep(finished));
        }

        private void send(SimMachine controlNode) {
            boolean[] finished = new boolean[1];
            long sentBase = base;
            long sentRevision = revision;
            String sent = body;
            replace(controlNode, base, sent, reply -> {
                if (reply.status() == 200) {
                    run.recordAcknowledged(sentBase, sentRevision, sent);
                }
                body = (reply.status() == 200 || reply.status() == 412) && sent.equals(body) ? null : body;
                finished[0] |= finishStep(finished);
            });
            run.world.schedule(1_000_000_000L, () -> finished[0] |= finishStep(finished));
        }

        private boolean finishStep(boolean[] finished) {
            if (!finished[0] && !run.stopped) {
                scheduleNextStep();
            }
            return true;
        }
    }

    static long revision(String text) {
        String from = text.substring(text.indexOf("\"revision\":") + 11);
        return Long.parseLong(from.substring(0, from.indexOf(',')));
    }

    private static final class FaultRun {
        final SimWorld world;
        final Map<Long, String> acknowledgedTexts = new LinkedHashMap<>(); // by revision
        final Map<Long, Long> revisionByBase = new HashMap<>();
        final Map<Long, String> readTexts = new HashMap<>();
        final SimFaultInjector faults;
        boolean stopped;

        FaultRun(long seed, int controlNodes, int simultaneousDiskLosses) {
            world = new SimWorld(seed).withNodes(controlNodes, 0).startAll();
            faults = new SimFaultInjector(world, simultaneousDiskLosses);
        }

        long newestAcknowledged() {
            return acknowledgedTexts.keySet().stream().mapToLong(r -> r).max().orElse(0);
        }

        void recordAcknowledged(long base, long revision, String body) {
            Long other = revisionByBase.putIfAbsent(base, revision);
            String text = acknowledgedTexts.putIfAbsent(revision, body);
            if (other != null && other != revision || text != null && !text.equals(body)) {
                world.violations.add("two changes based on " + base + " acknowledged: " + other + " and " + revision);
            }
        }

        void checkRead(long revision, String text, long minRevision) {
            String previous = readTexts.putIfAbsent(revision, text);
            if (revision < minRevision || previous != null && !previous.equals(text)) {
                world.violations.add("read " + revision + " although " + minRevision
                        + " was acknowledged, or with a different text");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3,1,0,140", "5,2,1000,60"})
    void keepsOneVersionSequenceAndAllAcknowledgedChangesUnderRandomFaults(
            int controlNodes, int simultaneousDiskLosses, int from, int seeds) throws Exception {
        int acknowledged = 0;
        for (int seed = from; seed < from + seeds; seed++) {
            FaultRun run = new FaultRun(seed, controlNodes, simultaneousDiskLosses);
            SimWorld world = run.world;
            for (int i = 0; i < 3; i++) {
                new Operator(run, i).scheduleNextStep();
            }
            world.run(1500);
            for (int i = 0; i < 4; i++) {
                run.faults.injectFault();
                world.run(world.random.nextInt(400));
                run.faults.injectFault();
                world.run(world.random.nextInt(1500));
                run.faults.repairAll();
                world.run(world.random.nextInt(2000));
            }
            run.stopped = true;
            run.faults.repairAll();
            world.run(5000);
            String finalText = read(world, world.controlNodes.get(seed % controlNodes));
            assertThat("seed " + seed, finalText, is(not(nullValue())));
            run.checkRead(revision(finalText), finalText, run.newestAcknowledged());
            assertThat("seed " + seed, world.violations, is(empty()));
            acknowledged += run.acknowledgedTexts.size();
        }
        assertThat("number of acknowledged changes", acknowledged, greaterThanOrEqualTo(4 * seeds));
    }

    /** Runs a ballot about every 25 ms at a random control node: none is delayed by the back-off of others. */
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void concurrentBallotsDoNotDelayEachOther(int controlNodes) {
        for (int seed = 0; seed < 5; seed++) {
            SimWorld world = SimOperator.servingCluster(seed, controlNodes, 1);
            List<Long> readMs = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                SimMachine controlNode = world.controlNodes.get(world.random.nextInt(controlNodes));
                long startNanos = world.now();
                controlNode.controlNode().readConfiguration(reply -> {
                    if (reply.status() == 200) {
                        readMs.add((world.now() - startNanos) / 1_000_000);
                    }
                });
                world.run(13 + world.random.nextInt(25));
            }
            world.run(4000);
            assertThat("seed " + seed + ", number of successful reads", readMs, hasSize(300));
            long slowReads = readMs.stream().filter(ms -> ms > 100).count();
            assertThat("seed " + seed + ", reads that took more than 100 ms", slowReads, lessThanOrEqualTo(3L));
        }
    }
}
