package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static saltdale.proxy.SimOperator.read;
import static saltdale.proxy.SimOperator.servingCluster;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.control.message.BallotMessage.Prepare;

/**
 * Faults of control nodes and proxies overlap in time, while an operator continuously changes the configuration and
 * control nodes are replaced repeatedly. At the end disks are lost at the moment at which all machines, including the
 * proxies, lose power. This is the simulated counterpart of the soak test with real processes.
 */
class OverlappingFaultsTest {
    private static final long FAULT_PERIOD_MS = 60_000;
    private static final long CATCH_UP_MS = 6_000;
    private static final long TERMINATION_GRACE_MS = 3_000;
    private static final int MAX_FAULT_MS = 5_200;

    private static final class Run {
        final SimWorld world;
        final ContactChecks checks;
        private final List<Runnable> activeFaultEnds = new ArrayList<>(); // of control nodes
        private long lastFaultEnd;
        private int successors;

        Run(long seed) {
            world = servingCluster(seed, seed % 3 == 2 ? 5 : 3, 4);
            checks = new ContactChecks(world);
            checks.atMostOneFrozen = false;
        }

        private SimMachine randomMachine(List<SimMachine> machines) {
            return machines.get(world.random.nextInt(machines.size()));
        }

        void runWithFaults() {
            checks.start();
            long end = world.now() + FAULT_PERIOD_MS * 1_000_000;
            while (world.now() < end) {
                world.run(200 + world.random.nextInt(2800));
                injectFault();
            }
            world.run(MAX_FAULT_MS + CATCH_UP_MS);
            losePowerAndDisks();
        }

        private void injectFault() {
            boolean noRecentFault = activeFaultEnds.isEmpty() && world.now() - lastFaultEnd > CATCH_UP_MS * 1_000_000;
            switch (world.random.nextInt(noRecentFault ? 13 : 11)) {
                case 0 -> freezeProxy();
                case 1, 2 -> cutProxy();
                case 3 -> restartProxy();
                case 4 -> injectNodeFault(randomMachine(world.controlNodes), SimMachine::kill, SimMachine::start);
                case 5 -> injectNodeFault(randomMachine(world.controlNodes), SimMachine::freeze, SimMachine::thaw);
                case 6 -> injectNodeFault(randomMachine(world.controlNodes), world::isolate, this::restoreLinks);
                case 7 -> injectNodeFault(randomMachine(world.controlNodes), this::cutOneWay, this::restoreLinks);
                case 8 ->
                    injectNodeFault(
                            randomMachine(world.controlNodes),
                            this::slowDown,
                            node -> node.syncNanos = SimMachine.NORMAL_SYNC_NANOS);
                case 9 -> injectNodeFault(randomMachine(world.controlNodes), this::breakDisk, SimMachine::repairDisk);
                case 10 -> injectNodeFault(randomMachine(world.controlNodes), this::restart, node -> {});
                case 11 -> injectNodeFault(randomMachine(world.controlNodes), SimMachine::wipe, SimMachine::start);
                default -> replace(world.controlNodes.get(0));
            }
        }

        private interface MachineAction {
            void apply(SimMachine machine);
        }

        private long randomDurationNanos() {
            return (200 + world.random.nextInt(MAX_FAULT_MS - 200)) * 1_000_000L;
        }

        private void freezeProxy() {
            SimMachine proxy = randomMachine(world.proxies);
            if (proxy.process != null && !proxy.frozen) {
                proxy.freeze();
                world.schedule(randomDurationNanos(), proxy::thaw);
            }
        }

        private void restartProxy() {
            SimMachine proxy = randomMachine(world.proxies);
            if (proxy.process != null && !proxy.frozen) {
                proxy.kill();
                world.schedule(randomDurationNanos(), proxy::start);
            }
        }

        private void cutProxy() {
            SimMachine proxy = randomMachine(world.proxies);
            List<SimMachine> controlNodes = world.random.nextBoolean()
                    ? List.copyOf(world.controlNodes)
                    : List.of(randomMachine(world.controlNodes));
            controlNodes.forEach(machine -> world.cut(machine, proxy));
            world.schedule(randomDurationNanos(), () -> controlNodes.forEach(machine -> restoreLinks(machine, proxy)));
        }

        /** Injects a fault into a control node unless it is down or frozen; several faults may be active at once. */
        private void injectNodeFault(SimMachine node, MachineAction begin, MachineAction end) {
            if (node.process == null || node.frozen) {
                return;
            }
            begin.apply(node);
            Runnable endFault = () -> end.apply(node);
            activeFaultEnds.add(endFault);
            world.schedule(randomDurationNanos(), () -> {
                endFault.run();
                activeFaultEnds.remove(endFault);
                lastFaultEnd = world.now();
            });
        }

        private void slowDown(SimMachine node) {
            node.syncNanos = (20 + world.random.nextInt(130)) * 1_000_000L;
        }

        private void breakDisk(SimMachine node) {
            node.disk = world.random.nextBoolean() ? SimMachine.Disk.FULL : SimMachine.Disk.HANGING;
        }

        /** Performs a planned restart: the node starts again as soon as it has terminated. */
        private void restart(SimMachine node) {
            node.terminate(TERMINATION_GRACE_MS, () -> {
                node.start();
                lastFaultEnd = world.now();
            });
        }

        private void cutOneWay(SimMachine node) {
            world.controlNodes.stream()
                    .filter(machine -> machine != node)
                    .forEach(machine -> world.cutOneWay(node, machine));
        }

        private void restoreLinks(SimMachine node) {
            world.controlNodes.forEach(machine -> restoreLinks(node, machine));
        }

        private void restoreLinks(SimMachine a, SimMachine b) {
            world.cutLinks.remove(a.host + ">" + b.host);
            world.cutLinks.remove(b.host + ">" + a.host);
        }

        /** Removes a control node permanently; a new one starts later at another address. */
        private void replace(SimMachine replaced) {
            SimMachine successor = world.controlNode(
                    "10.0.2." + successors++,
                    world.controlNodes.stream()
                            .skip(1)
                            .limit(3)
                            .map(machine -> machine.host)
                            .toList(),
                    false);
            injectNodeFault(
                    replaced,
                    node -> {
                        node.wipe();
                        world.controlNodes.remove(node);
                        world.machines.remove(node.host);
                    },
                    node -> successor.start());
        }

        /** Erases as many disks as tolerated while all machines lose power, also those that do not count as losses. */
        private void losePowerAndDisks() {
            int first = world.random.nextInt(world.controlNodes.size());
            world.controlNodes.forEach(SimMachine::powerOff);
            world.proxies.forEach(SimMachine::powerOff);
            for (int i = 0; i < world.toleratedLosses; i++) {
                world.controlNodes.get((first + i) % world.controlNodes.size()).wipe();
            }
            world.run(1200);
            world.controlNodes.forEach(SimMachine::start);
            world.proxies.forEach(SimMachine::start);
            world.run(8000);
            checks.stop();
            world.run(4000);
            long newestRevision = checks.acknowledged.lastEntry().getValue();
            for (SimMachine machine : world.controlNodes) {
                long readRevision = AgreementTest.revision(read(world, machine));
                assertThat(
                        machine.host + " reads revision " + readRevision + ", newest is " + newestRevision,
                        readRevision >= newestRevision);
            }
            for (SimMachine machine : world.proxies) {
                assertThat(machine.host, machine.proxy().revision() >= newestRevision);
            }
        }
    }

    /** Returns how many reads at a control node succeed after it was frozen in the middle of a ballot. */
    private static int successfulReadsAfterFreeze(int seed) {
        SimWorld world = servingCluster(seed, 3, 1);
        SimMachine node = world.controlNodes.get(seed % 3);
        boolean[] frozen = new boolean[1];
        world.sendObserver = (from, to, message) -> {
            if (!frozen[0] && from.equals(node.host) && message instanceof Prepare) {
                frozen[0] = true;
                world.schedule(0, node::freeze);
                world.schedule(4_000_000_000L, node::thaw);
            }
        };
        int[] answered = new int[1];
        node.controlNode().readConfiguration(reply -> {});
        assertThat(world.runUntil(2000, () -> frozen[0]), is(true));
        world.run(4500);
        for (int i = 0; i < 100; i++) {
            // The other control nodes are busy, so that ballots compete.
            for (SimMachine other : world.controlNodes) {
                if (other != node) {
                    other.controlNode().readConfiguration(reply -> {});
                }
            }
            if (i % 5 == 0) {
                node.controlNode().readConfiguration(reply -> answered[0] += reply.status() == 200 ? 1 : 0);
            }
            world.run(40);
        }
        world.run(4000);
        return answered[0];
    }

    @Test
    void nodeFrozenDuringABallotServesReadsAfterwards() {
        List<Integer> answered = new ArrayList<>();
        for (int seed = 0; seed < 12; seed++) {
            answered.add(successfulReadsAfterFreeze(seed));
        }
        assertThat(answered.toString(), answered, everyItem(is(20)));
    }

    @Test
    void connectedProxiesStayUpToDateUnderOverlappingFaults() {
        int first = Integer.getInteger("overlapping.seed", 0);
        int seeds = Integer.getInteger("overlapping.seeds", 9);
        List<String> failures = new ArrayList<>();
        for (int seed = first; seed < first + seeds; seed++) {
            Run run = new Run(seed);
            try {
                run.runWithFaults();
                assertThat(run.checks.stepsInContact, greaterThan(100));
            } catch (AssertionError | RuntimeException e) {
                failures.add("seed " + seed + ": " + e);
            }
            for (String violation : run.world.violations) {
                failures.add("seed " + seed + ", " + violation);
            }
        }
        assertThat(failures, is(empty()));
    }
}
