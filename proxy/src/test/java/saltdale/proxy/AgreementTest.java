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

/** What the core acknowledges it keeps, and there is one line of versions, whatever its machines go through. */
class AgreementTest {
    private static SimWorld world(long seed, int controlNodes) {
        SimWorld world = new SimWorld(seed).withNodes(controlNodes, 0).startAll();
        world.run(2500);
        return world;
    }

    private static long holding(SimWorld world, long revision) {
        return world.controlNodes.stream()
                .filter(k -> k.synced.keySet().stream().anyMatch(name -> name.startsWith("text:" + revision + "-")))
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void acknowledgesOnlyWhatAMajorityHoldsSynced(int controlNodes) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            world.controlNodes.forEach(k -> k.syncNanos = (1 + world.random.nextInt(150)) * 1_000_000L);
            for (int revision = 1; revision <= 5; revision++) {
                int by = world.random.nextInt(controlNodes);
                assertThat(replace(world, world.controlNodes.get(by), revision - 1, config(revision)), is(200));
                assertThat(holding(world, revision), greaterThanOrEqualTo(controlNodes / 2 + 1L));
            }
        }
    }

    @Test
    void ofTwoChangesOnOneBaseOneWins() {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            List<Integer> got = new ArrayList<>();
            replace(world.controlNodes.get(seed % 3), 0, config(3, 1), reply -> got.add(reply.status()));
            replace(world.controlNodes.get((seed + 1) % 3), 0, config(4, 2), reply -> got.add(reply.status()));
            assertTrue(world.runUntil(5000, () -> got.size() == 2));
            got.sort(null);
            assertThat("seed " + seed, got, is(List.of(200, 412)));
        }
    }

    @Test
    void aRepeatedChangeIsAcknowledgedAgainAnywhere() {
        SimWorld world = world(1, 3);
        assertThat(replace(world, world.controlNodes.get(0), 0, config(2)), is(200));
        assertThat(replace(world, world.controlNodes.get(1), 0, config(2)), is(200));
        assertThat(replace(world, world.controlNodes.get(1), 2, config(5)), is(200));
        assertThat("after a later one too", replace(world, world.controlNodes.get(2), 0, config(2)), is(200));
        assertThat("not another on that base", replace(world, world.controlNodes.get(2), 0, config(7)), is(412));
        assertThat(read(world, world.controlNodes.get(0)), containsString("\"revision\":5"));
    }

    @ParameterizedTest
    @CsvSource({"3,false", "3,true", "5,false", "5,true"})
    void whoAcknowledgedMayLoseAllRightAfter(int controlNodes, boolean withDisk) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine by = world.controlNodes.get(seed % controlNodes);
            SimMachine second = world.controlNodes.get((seed + 1) % controlNodes);
            assertThat(replace(world, by, 1, config(2)), is(200));
            // The others lose power as well at times.
            if (seed % 2 == 0) {
                world.controlNodes.stream().filter(k -> k != by).forEach(SimMachine::powerOff);
            }
            for (SimMachine each : controlNodes == 5 ? List.of(by, second) : List.of(by)) {
                if (withDisk) {
                    each.wipe();
                } else {
                    each.powerOff();
                }
            }
            world.controlNodes.forEach(SimMachine::start);
            world.run(5000);
            for (SimMachine each : world.controlNodes) {
                assertThat("seed " + seed, read(world, each), containsString("\"revision\":2"));
            }
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void anEmptyDiskDoesNotVoteUntilItIsAVoterAgain() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine lost = world.controlNodes.get(0);
            SimMachine off = world.controlNodes.get(1);
            String before = lost.id();
            off.powerOff();
            lost.wipe();
            lost.start();
            world.run(4000);
            for (SimMachine each : List.of(lost, world.controlNodes.get(2))) {
                assertThat("one voter of three is no majority", replace(world, each, 1, config(2)), is(503));
                assertThat(read(world, each), is(nullValue()));
            }
            off.start();
            world.run(4000);
            assertThat("by agreement", world.voters(), hasItem(lost.id()));
            assertThat(lost.id(), is(not(before)));
            assertThat(world.isJoint(), is(false));
            world.controlNodes.get(2).powerOff();
            world.run(2500);
            assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000), "its vote counts now");
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void aControlNodeAtANewAddressTakesThePlaceOfOneGone() throws Exception {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, 3);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            SimMachine gone = world.controlNodes.get(seed % 3);
            gone.wipe();
            SimMachine next = world.controlNode("10.0.0.9", world.controlNodes.get(0).seeds, false);
            next.start();
            world.run(6000);
            assertThat(world.voters(), hasItem(next.id()));
            assertThat(world.voters(), hasSize(3));
            SimMachine off = world.controlNodes.get((seed + 1) % 3);
            off.powerOff();
            world.run(2500);
            assertThat(replace(world, next, 1, config(2)), is(200));
            off.start();
            world.run(2000);
            assertThat(read(world, off), containsString("\"revision\":2"));
            assertThat(world.violations, is(empty()));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void aMinorityAcknowledgesAndReadsNothing(int controlNodes) {
        SimWorld world = world(4, controlNodes);
        assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
        List<SimMachine> few = world.controlNodes.subList(0, controlNodes / 2);
        List<SimMachine> most = world.controlNodes.subList(controlNodes / 2, controlNodes);
        few.forEach(f -> most.forEach(m -> world.cut(f, m)));
        for (SimMachine each : few) {
            assertThat(replace(world, each, 1, config(2)), is(503));
            assertThat(read(world, each), is(nullValue()));
        }
        assertThat(replace(world, most.get(0), 1, config(3)), is(200));
        assertThat(read(world, few.get(0)), is(nullValue()));
        world.cutLinks.clear();
        world.run(3000);
        assertThat(read(world, few.get(0)), containsString("\"revision\":3"));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void aCoreKilledAtOnceIsBack(int controlNodes) {
        for (int seed = 0; seed < 10; seed++) {
            SimWorld world = world(seed, controlNodes);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000));
            List<Integer> got = new ArrayList<>();
            replace(world.controlNodes.get(0), 1, config(2), reply -> got.add(reply.status()));
            world.run(world.random.nextInt(20));
            world.controlNodes.forEach(SimMachine::kill);
            world.run(900);
            world.controlNodes.forEach(SimMachine::start);
            world.run(4000);
            String is = read(world, world.controlNodes.get(seed % controlNodes));
            assertThat(is, containsString(got.isEmpty() ? "\"revision\":" : "\"revision\":2"));
            assertTrue(
                    is.contains("\"revision\":1")
                            ? replaceUntilAcknowledged(world, 1, config(2), 5000)
                            : replaceUntilAcknowledged(world, 2, config(3), 5000));
            assertThat(world.violations, is(empty()));
        }
    }

    @Test
    void aCoreKilledWhileItFirstBeginsIsBack() {
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

    /** One operator among several: each builds on what it last read, and repeats until it has a clear answer. */
    private static final class Operator {
        final Schedule on;
        final int number;
        long base;
        long revision;
        String body;

        Operator(Schedule on, int number) {
            this.on = on;
            this.number = number;
        }

        void next() {
            on.world.schedule(on.world.random.nextInt(400) * 1_000_000L, () -> {
                SimMachine at = on.world.controlNodes.get(on.world.random.nextInt(on.world.controlNodes.size()));
                if (at.process == null) {
                    next();
                } else if (body == null) {
                    look(at);
                } else {
                    send(at);
                }
            });
        }

        private void look(SimMachine at) {
            long least = on.newest();
            boolean[] done = new boolean[1];
            at.process.deliver(() -> at.controlNode().readConfiguration(reply -> {
                if (reply.status() == 200) {
                    String is = new String(reply.body());
                    base = revision(is);
                    on.seen(base, is, least);
                    revision = base + 1 + on.world.random.nextInt(3);
                    body = config(revision, 1 + number);
                }
                done[0] |= again(done);
            }));
            on.world.schedule(1_000_000_000L, () -> done[0] |= again(done));
        }

        private void send(SimMachine at) {
            boolean[] done = new boolean[1];
            long sentOn = base;
            long sentRevision = revision;
            String sent = body;
            replace(at, base, sent, reply -> {
                if (reply.status() == 200) {
                    on.acknowledged(sentOn, sentRevision, sent);
                }
                body = (reply.status() == 200 || reply.status() == 412) && sent.equals(body) ? null : body;
                done[0] |= again(done);
            });
            on.world.schedule(1_000_000_000L, () -> done[0] |= again(done));
        }

        private boolean again(boolean[] done) {
            if (!done[0] && !on.over) {
                next();
            }
            return true;
        }
    }

    static long revision(String text) {
        String from = text.substring(text.indexOf("\"revision\":") + 11);
        return Long.parseLong(from.substring(0, from.indexOf(',')));
    }

    private static final class Schedule {
        final SimWorld world;
        final Map<Long, String> acked = new LinkedHashMap<>(); // by revision
        final Map<Long, Long> builtOn = new HashMap<>();
        final Map<Long, String> read = new HashMap<>();
        final SimFaultInjector faults;
        boolean over;

        Schedule(long seed, int controlNodes, int wipes) {
            world = new SimWorld(seed).withNodes(controlNodes, 0).startAll();
            faults = new SimFaultInjector(world, wipes);
        }

        long newest() {
            return acked.keySet().stream().mapToLong(r -> r).max().orElse(0);
        }

        void acknowledged(long base, long revision, String body) {
            Long other = builtOn.putIfAbsent(base, revision);
            String text = acked.putIfAbsent(revision, body);
            if (other != null && other != revision || text != null && !text.equals(body)) {
                world.violations.add("two changes on " + base + " are acknowledged: " + other + " and " + revision);
            }
        }

        void seen(long revision, String text, long least) {
            String before = read.putIfAbsent(revision, text);
            if (revision < least || before != null && !before.equals(text)) {
                world.violations.add("read " + revision + " though " + least + " was acknowledged, or another text");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3,1,0,140", "5,2,1000,60"})
    void whateverHappensThereIsOneLineAndNothingAcknowledgedIsLost(int controlNodes, int wipes, int from, int seeds)
            throws Exception {
        int acknowledged = 0;
        for (int seed = from; seed < from + seeds; seed++) {
            Schedule schedule = new Schedule(seed, controlNodes, wipes);
            SimWorld world = schedule.world;
            for (int i = 0; i < 3; i++) {
                new Operator(schedule, i).next();
            }
            world.run(1500);
            for (int i = 0; i < 4; i++) {
                schedule.faults.injectFault();
                world.run(world.random.nextInt(400));
                schedule.faults.injectFault();
                world.run(world.random.nextInt(1500));
                schedule.faults.repairAll();
                world.run(world.random.nextInt(2000));
            }
            schedule.over = true;
            schedule.faults.repairAll();
            world.run(5000);
            String last = read(world, world.controlNodes.get(seed % controlNodes));
            assertThat("seed " + seed, last, is(not(nullValue())));
            schedule.seen(revision(last), last, schedule.newest());
            assertThat("seed " + seed, world.violations, is(empty()));
            acknowledged += schedule.acked.size();
        }
        assertThat("enough came through to tell", acknowledged, greaterThanOrEqualTo(4 * seeds));
    }

    /** Ballots of all control nodes, one each 25 ms at any of them: none waits for pauses of others. */
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void ballotsOfAllControlNodesDoNotHoldEachOtherUp(int controlNodes) {
        for (int seed = 0; seed < 5; seed++) {
            SimWorld world = SimOperator.servingCluster(seed, controlNodes, 1);
            List<Long> took = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                SimMachine at = world.controlNodes.get(world.random.nextInt(controlNodes));
                long asked = world.now();
                at.controlNode().readConfiguration(reply -> {
                    if (reply.status() == 200) {
                        took.add((world.now() - asked) / 1_000_000);
                    }
                });
                world.run(13 + world.random.nextInt(25));
            }
            world.run(4000);
            assertThat("seed " + seed + ", all are answered", took, hasSize(300));
            long late = took.stream().filter(each -> each > 100).count();
            assertThat("seed " + seed + ", answered after 100 ms", late, lessThanOrEqualTo(3L));
        }
    }
}
