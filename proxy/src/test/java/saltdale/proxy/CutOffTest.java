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

/** A control node is cut off for about twenty seconds, in different ways and at any moment, and comes back. */
class CutOffTest {
    enum Cut {
        BOTH_WAYS,
        RECEIVES_ONLY,
        SENDS_ONLY,
        FROZEN,
        /** Its messages are held back, then it is frozen; they are delivered when it resumes. */
        SENDS_DELAYED,
        /** It is replaced by a new control node while it is cut off. */
        REPLACED,
        /** Its wall clock is set back while it is cut off. */
        CLOCK_STEP
    }

    /** Faulty variants of the code, to show that the checks detect them. */
    enum FaultyVariant {
        NONE,
        /** Without a majority, reads are answered with the last result. */
        READS_FROM_CACHE_WITHOUT_QUORUM,
        /** Every heartbeat counts as acknowledged when it is sent: leases and duties continue without a quorum. */
        KEEPS_DUTY_WITHOUT_QUORUM,
        /** Leases are measured by the wall clock. */
        LEASE_BY_WALL_CLOCK
    }

    /** One schedule of faults. */
    private static final class Run {
        private final SimWorld world;
        private final ContactChecks checks;
        private final FaultyVariant variant;

        Run(SimWorld world, int controlNodes, FaultyVariant variant) {
            this.world = world;
            this.variant = variant;
            servingCluster(world, controlNodes, 4);
            checks = new ContactChecks(world);
        }

        private void cut(SimMachine isolated, Cut cut) {
            for (SimMachine other : List.copyOf(world.controlNodes)) {
                if (other == isolated || cut == Cut.FROZEN) {
                    continue;
                }
                if (cut != Cut.RECEIVES_ONLY && cut != Cut.SENDS_DELAYED) {
                    world.cutOneWay(other, isolated);
                }
                if (cut != Cut.SENDS_ONLY && cut != Cut.SENDS_DELAYED) {
                    world.cutOneWay(isolated, other);
                }
            }
            switch (cut) {
                case FROZEN -> isolated.freeze();
                case SENDS_DELAYED -> {
                    world.stalledHosts.add(isolated.host);
                    world.schedule(world.random.nextInt(1000) * 1_000_000L, isolated::freeze);
                }
                case REPLACED -> {
                    SimMachine replacement =
                            world.controlNode("10.0.0.9", List.of(isolated.host, "10.0.0.1", "10.0.0.2"), false);
                    world.cut(isolated, replacement);
                    replacement.start();
                }
                case CLOCK_STEP ->
                    world.schedule(
                            world.random.nextInt(1200) * 1_000_000L,
                            () -> isolated.wallClockOffsetNanos -= 30_000_000_000L);
                default -> {}
            }
        }

        private void reconnect(SimMachine isolated) {
            world.cutLinks.clear();
            if (isolated.frozen) {
                isolated.thaw();
            }
            world.releaseStalled();
        }

        /**
         * Cuts a control node off, often at the moment when it acknowledges a change, restarts a proxy meanwhile, and
         * connects the control node again. Returns the violations found.
         */
        List<String> execute(Cut cut) {
            applyVariant();
            checks.start();
            world.run(800);
            SimMachine isolated = world.controlNodes.get(world.random.nextInt(3));
            boolean[] isCutOff = new boolean[1];
            if (world.random.nextBoolean()) {
                checks.onAcknowledgement = node -> {
                    if (node == isolated && !isCutOff[0]) {
                        isCutOff[0] = true;
                        cut(isolated, cut);
                    }
                };
                world.runUntil(8000, () -> isCutOff[0]);
            }
            if (!isCutOff[0]) {
                isCutOff[0] = true;
                cut(isolated, cut);
            }
            world.run(3000 + world.random.nextInt(9000));
            SimMachine restarted = world.proxies.get(world.random.nextInt(4));
            restarted.kill();
            restarted.start();
            world.run(20_000 - world.random.nextInt(9000));
            reconnect(isolated);
            world.run(7000);
            checks.stop();
            world.run(4000);
            long newest = checks.acknowledged.lastEntry().getValue();
            assertThat(newest, greaterThan(20L));
            assertThat(checks.stepsInContact, greaterThan(1000));
            return world.violations;
        }

        private void applyVariant() {
            if (variant == FaultyVariant.READS_FROM_CACHE_WITHOUT_QUORUM) {
                Map<SimMachine, ControlNode.Reply> lastReplies = new HashMap<>();
                checks.reader = (node, answer) -> node.controlNode().readConfiguration(reply -> {
                    if (reply.status() == 200) {
                        lastReplies.put(node, reply);
                    }
                    answer.accept(lastReplies.getOrDefault(node, reply));
                });
            } else if (variant == FaultyVariant.LEASE_BY_WALL_CLOCK) {
                world.machines.values().forEach(machine -> machine.leasesByWallClock = true);
            } else if (variant == FaultyVariant.KEEPS_DUTY_WITHOUT_QUORUM) {
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
    void isolatedControlNodeNeitherAnswersNorDistributesOldState(Cut cut) {
        for (int seed = 0; seed < 4; seed++) {
            Run run = new Run(new SimWorld(seed), seed % 3 == 2 ? 5 : 3, FaultyVariant.NONE);
            assertThat(cut + ", seed " + seed, run.execute(cut), is(empty()));
        }
    }

    @ParameterizedTest
    @EnumSource(value = FaultyVariant.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void checksDetectFaultyVariant(FaultyVariant variant) {
        Set<String> detected = new HashSet<>();
        for (int seed = 0; seed < 4; seed++) {
            Cut cut = variant == FaultyVariant.LEASE_BY_WALL_CLOCK ? Cut.CLOCK_STEP : Cut.BOTH_WAYS;
            detected.addAll(new Run(new SimWorld(seed), 3, variant).execute(cut));
        }
        assertThat(detected, is(not(empty())));
    }

    /** If only the isolated control node knew that a change was chosen, the others find it out by themselves. */
    @Test
    void choiceKnownOnlyToAnIsolatedNodeIsDiscovered() {
        for (int seed = 0; seed < 12; seed++) {
            SimWorld world = servingCluster(seed, seed % 2 == 0 ? 3 : 5, 4);
            SimMachine acknowledging = world.controlNodes.get(seed % 3);
            int[] status = new int[1];
            SimOperator.replace(acknowledging, 1, config(2), reply -> {
                status[0] = reply.status();
                world.isolate(acknowledging); // the messages that it has just sent are lost too
            });
            assertTrue(world.runUntil(2000, () -> status[0] == 200));
            boolean allUpdated = world.runUntil(
                    3000,
                    () -> world.proxies.stream()
                            .allMatch(p -> p.proxy().configuration().revision() == 2));
            assertTrue(allUpdated, "seed " + seed);
        }
    }

    /**
     * One of three control nodes is replaced while it is cut off. Then a second one is cut off together with it, which
     * has accepted the new voters but has not learned that they were chosen. The two are a majority of the former
     * voters, but not of the current ones.
     */
    private static SimWorld cutOffWithFormerVoters(int seed, SimWorld.MessageRewriter rewriting) {
        SimWorld world = servingCluster(seed, 3, 4);
        SimMachine old = world.controlNodes.get(0);
        SimMachine second = world.controlNodes.get(1);
        SimMachine third = world.controlNodes.get(2);
        world.isolate(old);
        SimMachine replacement = world.controlNode("10.0.0.9", List.of(second.host, third.host), false);
        world.cut(old, replacement);
        world.messageRewriter = (from, to, message) -> to.equals(second.host)
                        && message instanceof Chosen announcement
                        && announcement.state().voters().stream()
                                .anyMatch(voter -> voter.host().equals(replacement.host))
                ? null
                : rewriting.of(from, to, message);
        replacement.start();
        assertTrue(
                world.runUntil(12_000, () -> world.voters().contains(replacement.id()) && !world.isJoint()),
                "seed " + seed);
        world.cutLinks.clear();
        for (SimMachine cutOff : List.of(old, second)) {
            world.cut(cutOff, third);
            world.cut(cutOff, replacement);
        }
        world.run(4000);
        return world;
    }

    private static long nodesAssumingMajority(SimWorld world) {
        return world.controlNodes.subList(0, 2).stream()
                .filter(each -> each.controlNode().hasMajority())
                .count();
    }

    @Test
    void majorityOfFormerVotersIsNoMajority() {
        int chosenCount = 0;
        for (int seed = 0; seed < 8; seed++) {
            SimWorld world = cutOffWithFormerVoters(seed, (from, to, message) -> message);
            assertThat("seed " + seed, nodesAssumingMajority(world), is(0L));
            boolean chosen = replaceUntilAcknowledged(world, 1, config(2), 4000);
            chosenCount += chosen ? 1 : 0;
            boolean allUpdated = world.runUntil(
                    3000,
                    () -> world.proxies.stream()
                            .allMatch(p -> p.proxy().configuration().revision() == 2));
            assertThat("seed " + seed, allUpdated, is(chosen));
            assertThat(world.violations, is(empty()));
        }
        assertThat(chosenCount, greaterThan(4));
    }

    /** The faulty variant: heartbeat acknowledgements do not contain the accepted version. */
    @Test
    void heartbeatAcksWithoutAcceptedVersionAllowAFalseMajority() {
        long nodesAssumingMajority = 0;
        for (int seed = 0; seed < 8; seed++) {
            nodesAssumingMajority += nodesAssumingMajority(cutOffWithFormerVoters(
                    seed,
                    (from, to, message) -> message instanceof HeartbeatAck ack
                            ? new HeartbeatAck(ack.from(), ack.number(), ack.version(), ack.version())
                            : message));
        }
        assertThat(nodesAssumingMajority, greaterThan(0L));
    }

    /** Code that never reads the wall clock cannot be affected by its steps. */
    @ParameterizedTest
    @ValueSource(strings = {"control", "proxy", "node", "net"})
    void wallClockIsNeverRead(String module) throws IOException {
        Pattern wallClock = Pattern.compile("currentTimeMillis|Instant\\.now|Date\\(|DateTime\\.now|Clock\\.system");
        try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
            List<Path> sources =
                    files.filter(file -> file.toString().endsWith(".java")).toList();
            assertThat(sources.size(), greaterThan(5));
            for (Path each : sources) {
                assertThat(
                        each.toString(),
                        wallClock.matcher(Files.readString(each)).find(),
                        is(false));
            }
        }
    }
}
