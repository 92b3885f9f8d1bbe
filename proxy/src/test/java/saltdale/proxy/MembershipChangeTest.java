package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import saltdale.control.FaultyVoterChanges;
import saltdale.control.message.BallotMessage;
import saltdale.proxy.SimCore.Loss;

/**
 * Losses and replacements of control nodes in direct succession, and a second fault during a change of voters. The
 * second fault is injected at every eleventh message of the change, at each one with {@code -Dmembership.stride=1}.
 */
class MembershipChangeTest {
    private static final int STRIDE = Integer.getInteger("membership.stride", 11);
    private static final int NO_MESSAGE = -1;

    private enum SecondFault {
        KILL_SENDER,
        CUT_SENDER,
        POWER_OFF_ALL,
        WIPE_SENDER,
        WIPE_RECEIVER
    }

    private enum Variant {
        CORRECT(core -> {}),
        COMPLETED_ONLY_BY_PROPOSER(core -> core.world.controlNodeFactory = FaultyVoterChanges::finishedOnlyByProposer),
        LEAVES_BEFORE_SUCCESSOR_VOTES(core -> core.departsAtOnce = true),
        VOTES_FROM_EMPTY_DISK(core -> core.keepsIdentityOnWipe = true),
        CONFIRMS_BEFORE_SYNC(core -> core.world.acknowledgesBeforeSync = true),
        VOTERS_ADDED_FOR_LOST_ONES(core -> core.world.toleratedLosses = 3);

        final Consumer<SimCore> setup;

        Variant(Consumer<SimCore> setup) {
            this.setup = setup;
        }
    }

    /** A loss, a second fault at one of the messages of its repair, and another loss once all have caught up. */
    private record Run(Variant variant, int controlNodes, Loss loss, SecondFault secondFault, int message, long seed) {
        Run withMessage(int otherMessage) {
            return new Run(variant, controlNodes, loss, secondFault, otherMessage, seed);
        }

        /** Returns the number of messages of the repair; violations are added to {@code violations}. */
        int execute(List<String> violations) {
            SimCore core = new SimCore(seed, controlNodes);
            variant.setup.accept(core);
            core.start();
            core.operatorRunning = false;
            core.world.run(300);
            int[] messageCount = new int[1];
            core.world.sendObserver = (from, to, sentMessage) -> {
                if (sentMessage instanceof BallotMessage && messageCount[0]++ == message) {
                    core.world.schedule(0, () -> injectSecondFault(core, from, to));
                }
            };
            core.lose(loss, core.victim((int) seed));
            core.runUntilRecovered();
            core.runUntilDeparted();
            int sent = messageCount[0];
            core.startOperator();
            core.loseTolerated(Loss.WIPE, (int) seed + 1);
            core.runUntilRecovered();
            core.loseDisksAndPower((int) seed + 2);
            violations.addAll(core.world.violations);
            return sent;
        }

        private void injectSecondFault(SimCore core, String from, String to) {
            // Longer than a proposer tries to complete its change, shorter than the time until its duty becomes vacant.
            core.outageMs = seed % 2 == 0 ? 1000 : 1900;
            switch (secondFault) {
                case KILL_SENDER -> core.lose(Loss.KILL, core.machine(from));
                case CUT_SENDER -> core.lose(Loss.CUT, core.machine(from));
                case POWER_OFF_ALL ->
                    List.copyOf(core.world.controlNodes).forEach(each -> core.lose(Loss.POWER_OFF, each));
                case WIPE_SENDER -> core.lose(Loss.WIPE, core.machine(from));
                default -> core.lose(Loss.WIPE, core.machine(to));
            }
        }
    }

    /** Injects the fault at one message after the other; returns the first run with a violation, null if none has. */
    private static Run firstViolation(Run run, int stride, List<String> violations) {
        int messages = run.withMessage(NO_MESSAGE).execute(violations);
        if (!violations.isEmpty()) {
            return run.withMessage(NO_MESSAGE);
        }
        int runs = 0;
        for (int message = (int) run.seed % stride; message < messages; message += stride) {
            Run withFault = run.withMessage(message);
            withFault.execute(violations);
            if (!violations.isEmpty()) {
                return withFault;
            }
            runs++;
        }
        assertThat("messages with an injected fault", runs * stride, greaterThan(20));
        return null;
    }

    private static void injectEverywhere(int controlNodes, Loss loss, SecondFault secondFault, int... seeds) {
        for (int seed : seeds) {
            List<String> violations = new ArrayList<>();
            Run violating = firstViolation(
                    new Run(Variant.CORRECT, controlNodes, loss, secondFault, NO_MESSAGE, seed), STRIDE, violations);
            assertThat(String.valueOf(violating), violations, is(empty()));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Loss.class,
            names = {"REPLACE", "WIPE", "LEAVE"})
    void secondFaultDuringAChangeDoesNotPreventRecovery(Loss loss) {
        for (SecondFault secondFault :
                List.of(SecondFault.KILL_SENDER, SecondFault.CUT_SENDER, SecondFault.POWER_OFF_ALL)) {
            injectEverywhere(3, loss, secondFault, 0, 1);
            injectEverywhere(5, loss, secondFault, 1);
        }
    }

    /** A second disk is lost within what is tolerated: two of five, or one of three while a member leaves. */
    @ParameterizedTest
    @EnumSource(
            value = SecondFault.class,
            names = {"WIPE_SENDER", "WIPE_RECEIVER"})
    void diskLossDuringAChangeIsTolerated(SecondFault secondFault) {
        injectEverywhere(5, Loss.REPLACE, secondFault, 0);
        injectEverywhere(5, Loss.WIPE, secondFault, 1);
        injectEverywhere(5, Loss.LEAVE, secondFault, 1);
        injectEverywhere(3, Loss.LEAVE, secondFault, 1, 3);
    }

    /** Loses as many machines at once as are tolerated, by one kind of loss after the other. */
    private static List<String> violationsAfterLosses(Variant variant, long seed, int controlNodes, List<Loss> losses) {
        SimCore core = new SimCore(seed, controlNodes);
        variant.setup.accept(core);
        core.start();
        for (int i = 0; i < losses.size(); i++) {
            core.lose(losses.get(i), core.victim((int) seed % 5));
            if (core.tolerated == 2) {
                core.lose(losses.get((i + 1) % losses.size()), core.victim((int) seed % 5 + 1));
            }
            core.runUntilRecovered();
        }
        core.loseDisksAndPower((int) seed % 7);
        return core.world.violations;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void consecutiveLossesInEveryOrderAreRepaired(int controlNodes) {
        List<Loss> kinds = List.of(Loss.values());
        int seed = 0;
        for (Loss first : kinds) {
            for (Loss second : kinds) {
                List<Loss> losses = List.of(first, second, kinds.get(seed * 3 % kinds.size()));
                List<String> violations = violationsAfterLosses(Variant.CORRECT, seed, controlNodes, losses);
                assertThat(controlNodes + " " + losses + ", seed " + seed, violations, is(empty()));
                seed++;
            }
        }
    }

    /** A member that missed the last changes is back, and another one loses its disk before the next change. */
    private static List<String> staleMemberAndEmptyDisk(Variant variant, long seed) {
        SimCore core = new SimCore(seed, 3);
        variant.setup.accept(core);
        core.start();
        SimMachine wiped = core.victim(0);
        SimMachine stale = core.victim(1);
        SimMachine holder = core.victim(2);
        core.outageMs = 3000;
        core.lose(Loss.CUT, stale);
        core.world.run(2900);
        core.operatorRunning = false;
        core.runUntilRecovered();
        core.outageMs = 500;
        core.lose(Loss.WIPE, wiped);
        core.lose(Loss.CUT, holder);
        core.runUntilRecovered();
        core.loseDisksAndPower((int) seed);
        return core.world.violations;
    }

    @Test
    void staleMemberAndEmptyDiskFormNoMajority() {
        for (int seed = 0; seed < 20; seed++) {
            assertThat("seed " + seed, staleMemberAndEmptyDisk(Variant.CORRECT, seed), is(empty()));
        }
    }

    /** Five machines, two in each of two zones; at first the three seeds vote, two of which share a zone. */
    @Test
    void zonesAreLostOneAfterTheOther() {
        for (int seed = 0; seed < 20; seed++) {
            SimWorld world = new SimWorld(seed).withNodes(5, 0);
            world.toleratedLosses = 1;
            world.toleratedZones = 1;
            world.startAll().run(2500);
            assertTrue(replaceUntilAcknowledged(world, 0, config(1), 5000), "seed " + seed);
            world.run(5000);
            long revision = 1;
            for (List<SimMachine> zone : List.of(world.controlNodes.subList(0, 2), world.controlNodes.subList(2, 4))) {
                zone.forEach(SimMachine::powerOff);
                assertTrue(
                        replaceUntilAcknowledged(world, revision, config(revision + 1), 5000),
                        "seed " + seed + ", revision " + revision);
                revision++;
                world.run(world.random.nextInt(8000));
                zone.forEach(SimMachine::start);
                world.run(4000); // catch_up_s
            }
            assertThat(world.violations, is(empty()));
        }
    }

    /**
     * A disk is thirty times slower than those of a site, and the majority needs it while other members are replaced.
     * That is more than is tolerated, so the repair has twice the time; it must finish while changes go on and the disk
     * stays slow.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void slowDiskDoesNotBlockRepair(int controlNodes) {
        for (int seed = 0; seed < 12; seed++) {
            SimCore core = new SimCore(seed, controlNodes);
            core.start();
            for (int i = 0; i < core.tolerated; i++) {
                core.victim(core.tolerated + i).syncNanos = 150_000_000;
            }
            core.loseTolerated(seed % 2 == 0 ? Loss.REPLACE : Loss.WIPE, 0);
            core.extendRecovery(core.recoveryMs);
            core.runUntilRecovered();
            core.world.controlNodes.forEach(each -> each.syncNanos = 3_000_000);
            core.loseDisksAndPower(0);
            assertThat("seed " + seed, core.world.violations, is(empty()));
        }
    }

    @Test
    void checksDetectFaultyVariants() {
        assertDetected(
                new Run(Variant.COMPLETED_ONLY_BY_PROPOSER, 3, Loss.REPLACE, SecondFault.CUT_SENDER, NO_MESSAGE, 1), 1);
        assertDetected(
                new Run(Variant.LEAVES_BEFORE_SUCCESSOR_VOTES, 3, Loss.LEAVE, SecondFault.WIPE_SENDER, NO_MESSAGE, 1),
                1);
        List<Loss> replaced = List.of(Loss.REPLACE, Loss.REPLACE);
        assertThat(violationsAfterLosses(Variant.VOTERS_ADDED_FOR_LOST_ONES, 1, 5, replaced), is(not(empty())));
        assertDetected(
                new Run(Variant.CONFIRMS_BEFORE_SYNC, 3, Loss.REPLACE, SecondFault.POWER_OFF_ALL, NO_MESSAGE, 0), 1);
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < 20 && violations.isEmpty(); seed++) {
            violations.addAll(staleMemberAndEmptyDisk(Variant.VOTES_FROM_EMPTY_DISK, seed));
        }
        assertThat(violations, is(not(empty())));
    }

    private static void assertDetected(Run run, int stride) {
        List<String> violations = new ArrayList<>();
        firstViolation(run, stride, violations);
        assertThat(run.variant() + " is detected", violations, is(not(empty())));
    }
}
