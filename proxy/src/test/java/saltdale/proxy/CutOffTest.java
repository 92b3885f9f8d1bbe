package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.servingCluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.ControlNode;
import saltdale.control.message.BallotMessage.Chosen;
import saltdale.control.message.HeartbeatMessage.Heartbeat;
import saltdale.control.message.HeartbeatMessage.HeartbeatAck;
import saltdale.control.message.HeartbeatMessage.PeerIdentity;

/** A control node is cut off for some twenty seconds, in any way and at any moment, and comes back. */
class CutOffTest {
    enum Cut {
        BOTH_WAYS,
        HEARS_ONLY,
        SPEAKS_ONLY,
        STANDSTILL,
        /** What it sends is held back, then it stands still; all of it leaves when it wakes. */
        ANSWERS_LATE,
        /** Its place is given away to a new one while it is cut off. */
        REPLACED,
        /** The time of day steps back while it is cut off. */
        CLOCK_STEP
    }

    /** Wrong on purpose, to show that the checks see it. */
    enum WrongVariant {
        NONE,
        /** Without a majority it answers with what it read last. */
        ANSWERS_FROM_MEMORY_WHEN_CUT_OFF,
        /** Takes each heartbeat that it sent for acknowledged: leases and duties go on without a quorum. */
        KEEPS_DUTY_WITHOUT_QUORUM,
        /** Counts its leases by the time of day. */
        LEASE_BY_TIME_OF_DAY
    }

    /** One schedule. */
    private static final class Run {
        private final SimWorld world;
        private final ContactChecks checks;
        private final WrongVariant variant;

        Run(SimWorld world, int controlNodes, WrongVariant variant) {
            this.world = world;
            this.variant = variant;
            servingCluster(world, controlNodes, 4);
            checks = new ContactChecks(world);
        }

        private void cut(SimMachine off, Cut cut) {
            for (SimMachine other : List.copyOf(world.controlNodes)) {
                if (other == off || cut == Cut.STANDSTILL) {
                    continue;
                }
                if (cut != Cut.HEARS_ONLY && cut != Cut.ANSWERS_LATE) {
                    world.cutOneWay(other, off);
                }
                if (cut != Cut.SPEAKS_ONLY && cut != Cut.ANSWERS_LATE) {
                    world.cutOneWay(off, other);
                }
            }
            switch (cut) {
                case STANDSTILL -> off.freeze();
                case ANSWERS_LATE -> {
                    world.stalledHosts.add(off.host);
                    world.schedule(world.random.nextInt(1000) * 1_000_000L, off::freeze);
                }
                case REPLACED -> {
                    SimMachine next = world.controlNode("10.0.0.9", List.of(off.host, "10.0.0.1", "10.0.0.2"), false);
                    world.cut(off, next);
                    next.start();
                }
                case CLOCK_STEP ->
                    world.schedule(
                            world.random.nextInt(1200) * 1_000_000L, () -> off.wallClockOffsetNanos -= 30_000_000_000L);
                default -> {}
            }
        }

        private void heal(SimMachine off) {
            world.cutLinks.clear();
            if (off.frozen) {
                off.thaw();
            }
            world.releaseStalled();
        }

        /** One schedule: cut off, a proxy begins anew meanwhile, and back; often right as it acknowledges a change. */
        List<String> play(Cut cut) {
            applyVariant();
            checks.start();
            world.run(800);
            SimMachine off = world.controlNodes.get(world.random.nextInt(3));
            boolean[] isOff = new boolean[1];
            if (world.random.nextBoolean()) {
                checks.onAcknowledgement = at -> {
                    if (at == off && !isOff[0]) {
                        isOff[0] = true;
                        cut(off, cut);
                    }
                };
                world.runUntil(8000, () -> isOff[0]);
            }
            if (!isOff[0]) {
                isOff[0] = true;
                cut(off, cut);
            }
            world.run(3000 + world.random.nextInt(9000));
            SimMachine fresh = world.proxies.get(world.random.nextInt(4));
            fresh.kill();
            fresh.start();
            world.run(20_000 - world.random.nextInt(9000));
            heal(off);
            world.run(7000);
            checks.stop();
            world.run(4000);
            long newest = checks.acknowledged.lastEntry().getValue();
            assertThat(newest, greaterThan(20L));
            assertThat(checks.stepsInContact, greaterThan(1000));
            return world.violations;
        }

        private void applyVariant() {
            if (variant == WrongVariant.ANSWERS_FROM_MEMORY_WHEN_CUT_OFF) {
                Map<SimMachine, ControlNode.Reply> last = new HashMap<>();
                checks.reading = (at, answer) -> at.controlNode().readConfiguration(reply -> {
                    if (reply.status() == 200) {
                        last.put(at, reply);
                    }
                    answer.accept(last.getOrDefault(at, reply));
                });
            } else if (variant == WrongVariant.LEASE_BY_TIME_OF_DAY) {
                world.machines.values().forEach(machine -> machine.leasesByWallClock = true);
            } else if (variant == WrongVariant.KEEPS_DUTY_WITHOUT_QUORUM) {
                Map<String, PeerIdentity> identities = new HashMap<>();
                world.messageObserver = message -> {
                    if (message instanceof Heartbeat heartbeat) {
                        identities.put(heartbeat.from().host(), heartbeat.from());
                        world.controlNodes.stream()
                                .filter(peer ->
                                        !peer.host.equals(heartbeat.from().host()))
                                .filter(peer -> identities.containsKey(peer.host))
                                .forEach(peer -> world.send(
                                        heartbeat.from().host(),
                                        heartbeat.from().host(),
                                        new HeartbeatAck(identities.get(peer.host), heartbeat.number(), -1, -1)));
                    }
                };
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void whoIsCutOffNeitherConfirmsNorRefusesNorHandsOutAnythingOld(Cut cut) {
        for (int seed = 0; seed < 4; seed++) {
            Run run = new Run(new SimWorld(seed), seed % 3 == 2 ? 5 : 3, WrongVariant.NONE);
            assertThat(cut + ", seed " + seed, run.play(cut), is(empty()));
        }
    }

    @ParameterizedTest
    @EnumSource(value = WrongVariant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void theChecksSeeAWrongVariant(WrongVariant variant) {
        Set<String> seen = new HashSet<>();
        for (int seed = 0; seed < 4; seed++) {
            Cut cut = variant == WrongVariant.LEASE_BY_TIME_OF_DAY ? Cut.CLOCK_STEP : Cut.BOTH_WAYS;
            seen.addAll(new Run(new SimWorld(seed), 3, variant).play(cut));
        }
        assertThat(seen, is(not(empty())));
    }

    /** Whoever accepted a change that only the one who acknowledged it knew to be chosen finds that out by itself. */
    @Test
    void whatOnlyTheOneCutOffKnewToBeChosenIsFoundOut() {
        for (int seed = 0; seed < 12; seed++) {
            SimWorld world = servingCluster(seed, seed % 2 == 0 ? 3 : 5, 4);
            SimMachine by = world.controlNodes.get(seed % 3);
            int[] status = new int[1];
            SimOperator.replace(by, 1, config(2), reply -> {
                status[0] = reply.status();
                world.isolate(by); // what it has just sent is lost as well
            });
            assertTrue(world.runUntil(2000, () -> status[0] == 200));
            boolean known = world.runUntil(
                    3000,
                    () -> world.proxies.stream()
                            .allMatch(p -> p.proxy().configuration().revision() == 2));
            assertTrue(known, "seed " + seed);
        }
    }

    /**
     * One of three is replaced while it is cut off; then one more is cut off with it that has accepted the new voters
     * and has not heard that they were chosen. The two are a majority of the voters that they know, and of no others.
     */
    private static SimWorld cutOffWithTheVotersThatWere(int seed, SimWorld.MessageRewriter rewriting) {
        SimWorld world = servingCluster(seed, 3, 4);
        SimMachine old = world.controlNodes.get(0);
        SimMachine second = world.controlNodes.get(1);
        SimMachine third = world.controlNodes.get(2);
        world.isolate(old);
        SimMachine next = world.controlNode("10.0.0.9", List.of(second.host, third.host), false);
        world.cut(old, next);
        world.messageRewriter = (from, to, message) -> to.equals(second.host)
                        && message instanceof Chosen news
                        && news.state().voters().stream()
                                .anyMatch(voter -> voter.host().equals(next.host))
                ? null
                : rewriting.of(from, to, message);
        next.start();
        assertTrue(
                world.runUntil(12_000, () -> world.voters().contains(next.id()) && !world.isJoint()), "seed " + seed);
        world.cutLinks.clear();
        for (SimMachine one : List.of(old, second)) {
            world.cut(one, third);
            world.cut(one, next);
        }
        world.run(4000);
        return world;
    }

    private static long believers(SimWorld world) {
        return world.controlNodes.subList(0, 2).stream()
                .filter(each -> each.controlNode().hasMajority())
                .count();
    }

    @Test
    void aMajorityOfTheVotersThatWereIsNone() {
        int counted = 0;
        for (int seed = 0; seed < 8; seed++) {
            SimWorld world = cutOffWithTheVotersThatWere(seed, (from, to, message) -> message);
            assertThat("seed " + seed, believers(world), is(0L));
            boolean settled = replaceUntilAcknowledged(world, 1, config(2), 4000);
            counted += settled ? 1 : 0;
            boolean known = world.runUntil(
                    3000,
                    () -> world.proxies.stream()
                            .allMatch(p -> p.proxy().configuration().revision() == 2));
            assertThat("seed " + seed, known, is(settled));
            assertThat(world.violations, is(empty()));
        }
        assertThat(counted, greaterThan(4));
    }

    /** The wrong variant: acknowledgements that keep to themselves what was accepted. */
    @Test
    void acknowledgementsWithoutWhatWasAcceptedMakeAMajorityOfTheVotersThatWere() {
        long believers = 0;
        for (int seed = 0; seed < 8; seed++) {
            believers += believers(cutOffWithTheVotersThatWere(
                    seed,
                    (from, to, message) -> message instanceof HeartbeatAck ack
                            ? new HeartbeatAck(ack.from(), ack.number(), ack.version(), ack.version())
                            : message));
        }
        assertThat(believers, greaterThan(0L));
    }

    /** Steps of the time of day cannot matter to code that never looks at it. */
    @ParameterizedTest
    @ValueSource(strings = {"control", "proxy", "node", "net"})
    void theTimeOfDayIsReadNowhere(String module) throws IOException {
        Pattern timeOfDay = Pattern.compile("currentTimeMillis|Instant\\.now|Date\\(|DateTime\\.now|Clock\\.system");
        try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java")).toList();
            assertThat(sources.size(), greaterThan(5));
            for (Path each : sources) {
                assertThat(
                        each.toString(),
                        timeOfDay.matcher(Files.readString(each)).find(),
                        is(false));
            }
        }
    }
}
