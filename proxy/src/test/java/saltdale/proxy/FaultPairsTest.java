package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.replace;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltdale.control.Configuration;
import saltdale.control.Environment;

/**
 * Tests every fault of control nodes followed by every other one as soon as the first machines have had
 * {@code catch_up_s} to recover, while an operator keeps changing the configuration. No acknowledged change may
 * be lost, and {@code contact_ms} after the second fault changes must be accepted, readable and applied at all proxies.
 */
class FaultPairsTest {
    // Limits of the current deployments, indexed by the number of tolerated losses minus 1.
    private static final long[] CATCH_UP_MS = {4000, 6000};
    private static final long[] CONTACT_MS = {4000, 5000};
    private static final long CONFIG_APPLY_MS = 3000;
    private static final long TERMINATION_GRACE_MS = 6000;

    /** A fault of as many control nodes as tolerated at once, among them the one that acknowledged last. */
    enum ControlNodeFault {
        KILLED,
        POWER_LOST,
        WIPED,
        TERMINATED,
        FROZEN,
        CUT,
        CUT_ONE_WAY,
        CUT_AND_RESTARTED,
        REPLACED,
        REPLACED_AS_PLANNED,
        DISK_FULL,
        DISK_HANGS,
        DISK_SLOW,
        ALL_KILLED,
        ALL_WITHOUT_POWER;

        boolean losesDisk() {
            return this == WIPED || this == REPLACED || this == REPLACED_AS_PLANNED;
        }
    }

    private final class FaultRun {
        final SimWorld world;
        final int tolerated;
        long base = 1;
        long acknowledged = 1;
        int nextHostNumber = 20;
        SimMachine lastAcknowledgingNode;
        boolean stopped;

        FaultRun(long seed, int tolerated) {
            this.tolerated = tolerated;
            world = SimOperator.servingCluster(seed, 2 * tolerated + 1, 2);
            lastAcknowledgingNode = world.controlNodes.get(0);
        }

        /** Keeps changing the configuration; resends a change without a conclusive response to a random node. */
        void changeConfiguration() {
            SimMachine controlNode = world.controlNodes.get(world.random.nextInt(world.controlNodes.size()));
            long sentBase = base;
            if (controlNode.process != null) {
                replace(controlNode, sentBase, config(sentBase + 1), reply -> {
                    if (reply.status() == 200) {
                        acknowledged = Math.max(acknowledged, sentBase + 1);
                        base = Math.max(base, sentBase + 1);
                        lastAcknowledgingNode = controlNode;
                    } else if (reply.status() < 500) {
                        world.violations.add(
                                "the change on " + sentBase + " got " + reply.status() + ": " + reply.reason());
                    }
                });
            }
            world.schedule((150 + world.random.nextInt(400)) * 1_000_000L, () -> {
                if (!stopped) {
                    changeConfiguration();
                }
            });
        }

        void injectFault(ControlNodeFault fault) {
            List<SimMachine> targets = new ArrayList<>(world.controlNodes);
            targets.remove(lastAcknowledgingNode);
            targets.add(0, lastAcknowledgingNode);
            boolean all = fault == ControlNodeFault.ALL_KILLED || fault == ControlNodeFault.ALL_WITHOUT_POWER;
            targets = targets.subList(0, all ? targets.size() : tolerated);
            targets.forEach(target -> begin(fault, target));
            world.run(500 + world.random.nextInt(3000));
            targets.forEach(target -> end(fault, target));
        }

        private void begin(ControlNodeFault fault, SimMachine target) {
            switch (fault) {
                case KILLED, ALL_KILLED -> target.kill();
                case POWER_LOST, ALL_WITHOUT_POWER -> target.powerOff();
                case WIPED -> target.wipe();
                case TERMINATED -> terminate(target);
                case FROZEN -> target.freeze();
                case CUT, CUT_AND_RESTARTED -> world.isolate(target);
                case CUT_ONE_WAY -> world.controlNodes.forEach(other -> world.cutOneWay(target, other));
                case REPLACED -> target.wipe();
                case REPLACED_AS_PLANNED -> startSuccessor(target);
                case DISK_FULL -> target.disk = SimMachine.Disk.FULL;
                case DISK_HANGS -> target.disk = SimMachine.Disk.HANGING;
                default -> target.syncNanos *= 30;
            }
            if (fault == ControlNodeFault.CUT_AND_RESTARTED) {
                target.kill();
                target.start();
            }
        }

        private void end(ControlNodeFault fault, SimMachine target) {
            switch (fault) {
                case FROZEN -> target.thaw();
                case CUT, CUT_ONE_WAY, CUT_AND_RESTARTED -> world.cutLinks.clear();
                case REPLACED -> {
                    remove(target);
                    startSuccessor(target);
                }
                case REPLACED_AS_PLANNED -> {
                    terminate(target);
                    world.runUntil(TERMINATION_GRACE_MS, () -> target.process == null);
                    target.wipe();
                    remove(target);
                }
                case DISK_FULL, DISK_HANGS -> target.repairDisk();
                case DISK_SLOW -> target.syncNanos /= 30;
                default -> target.start();
            }
        }

        private void terminate(SimMachine target) {
            target.process.deliver(() ->
                    target.controlNode().shutDown(Environment.millisToNanos(TERMINATION_GRACE_MS / 2), target::kill));
        }

        private void remove(SimMachine target) {
            world.controlNodes.remove(target);
            world.machines.remove(target.host);
            lastAcknowledgingNode = world.controlNodes.get(0);
        }

        private void startSuccessor(SimMachine replaced) {
            List<String> seeds = world.controlNodes.stream()
                    .filter(node -> node != replaced)
                    .map(node -> node.host)
                    .limit(3)
                    .toList();
            world.controlNode("10.0.0." + nextHostNumber++, seeds, false).start();
        }

        void check() {
            world.run(CONTACT_MS[tolerated - 1]);
            stopped = true;
            long lastBase = base;
            assertTrue(
                    replaceUntilAcknowledged(world, lastBase, config(lastBase + 1), 5000),
                    "no change was acknowledged");
            acknowledged = Math.max(acknowledged, lastBase + 1);
            for (SimMachine node : world.controlNodes) {
                String text = read(world, node);
                assertThat(node.host + " reads", text, is(not(nullValue())));
                assertThat(AgreementTest.revision(text), greaterThanOrEqualTo(acknowledged));
            }
            boolean appliedEverywhere = world.runUntil(
                    CONFIG_APPLY_MS, () -> world.proxies.stream().allMatch(proxy -> hasNewest(proxy.proxy())));
            assertTrue(appliedEverywhere, "change not applied at all proxies");
            assertThat(world.violations, is(empty()));
        }

        private boolean hasNewest(Proxy proxy) {
            Configuration configuration = proxy.configuration();
            return proxy.isReady() && configuration != null && configuration.revision() >= acknowledged;
        }
    }

    @ParameterizedTest
    @EnumSource(ControlNodeFault.class)
    void toleratesASecondFaultRightAfterTheFirst(ControlNodeFault first) {
        List<String> failures = new ArrayList<>();
        for (ControlNodeFault second : ControlNodeFault.values()) {
            // Two simultaneous losses matter most if both faults lose disks; testing them for all pairs takes twice as
            // long.
            for (int tolerated = 1; tolerated <= (first.losesDisk() && second.losesDisk() ? 2 : 1); tolerated++) {
                long seed = Integer.getInteger("pairs.seed", 0) + first.ordinal() * 100L + second.ordinal();
                try {
                    testPair(seed, tolerated, first, second);
                } catch (AssertionError e) {
                    failures.add("seed " + seed + ", " + tolerated + " tolerated, " + first + " then " + second + ": "
                            + e.getMessage());
                }
            }
        }
        assertThat(failures, is(empty()));
    }

    private void testPair(long seed, int tolerated, ControlNodeFault first, ControlNodeFault second) {
        FaultRun run = new FaultRun(seed, tolerated);
        run.changeConfiguration();
        run.world.run(500 + run.world.random.nextInt(500));
        run.injectFault(first);
        run.world.run(CATCH_UP_MS[tolerated - 1]);
        run.injectFault(second);
        run.check();
    }
}
