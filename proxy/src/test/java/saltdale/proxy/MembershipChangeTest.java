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
 * Losses and replacements right after one another, and a second fault at the messages of a change of voters. Each run
 * strikes at every eleventh message of a change; {@code -Dmembership.stride=1} strikes at each.
 */
class MembershipChangeTest {
    private static final int STRIDE = Integer.getInteger("membership.stride", 11);
    private static final int NEVER = -1;

    private enum Strike {
        KILL_SENDER,
        CUT_SENDER,
        POWER_OFF_ALL,
        WIPE_SENDER,
        WIPE_RECEIVER
    }

    private enum Variant {
        AS_IT_IS(core -> {}),
        SETTLED_ONLY_BY_ITS_PROPOSER(
                core -> core.world.controlNodeFactory = FaultyVoterChanges::finishedOnlyByProposer),
        LEAVES_BEFORE_SUCCESSOR_VOTES(core -> core.departsAtOnce = true),
        VOTES_FROM_EMPTY_DISK(core -> core.keepsIdentityOnWipe = true),
        TELLS_BEFORE_SYNC(core -> core.world.acknowledgesBeforeSync = true),
        VOTERS_ADDED_FOR_THOSE_GONE(core -> core.world.toleratedLosses = 3);

        final Consumer<SimCore> in;

        Variant(Consumer<SimCore> in) {
            this.in = in;
        }
    }

    /** One loss, a strike at one of the messages of its repair, and once all have caught up one more loss. */
    private record Run(Variant variant, int controlNodes, Loss loss, Strike strike, int message, long seed) {
        Run at(int otherMessage) {
            return new Run(variant, controlNodes, loss, strike, otherMessage, seed);
        }

        /** How many messages the repair took; what was wrong is in {@code faults}. */
        int play(List<String> faults) {
            SimCore core = new SimCore(seed, controlNodes);
            variant.in.accept(core);
            core.start();
            core.operatorRunning = false;
            core.world.run(300);
            int[] count = new int[1];
            core.world.sendObserver = (from, to, what) -> {
                if (what instanceof BallotMessage && count[0]++ == message) {
                    core.world.schedule(0, () -> strike(core, from, to));
                }
            };
            core.lose(loss, core.victim((int) seed));
            core.runUntilRecovered();
            core.runUntilDeparted();
            int sent = count[0];
            core.startOperator();
            core.loseTolerated(Loss.WIPE, (int) seed + 1);
            core.runUntilRecovered();
            core.loseDisksAndPower((int) seed + 2);
            faults.addAll(core.world.violations);
            return sent;
        }

        private void strike(SimCore core, String from, String to) {
            // Longer than a proposer tries to end its change, shorter than until its duty is vacant.
            core.outageMs = seed % 2 == 0 ? 1000 : 1900;
            switch (strike) {
                case KILL_SENDER -> core.lose(Loss.KILL, core.machine(from));
                case CUT_SENDER -> core.lose(Loss.CUT, core.machine(from));
                case POWER_OFF_ALL ->
                    List.copyOf(core.world.controlNodes).forEach(each -> core.lose(Loss.POWER_OFF, each));
                case WIPE_SENDER -> core.lose(Loss.WIPE, core.machine(from));
                default -> core.lose(Loss.WIPE, core.machine(to));
            }
        }
    }

    /** Strikes at the messages of a change in turn; the first run with a fault, null where there is none. */
    private static Run firstWrong(Run run, int stride, List<String> faults) {
        int messages = run.at(NEVER).play(faults);
        if (!faults.isEmpty()) {
            return run.at(NEVER);
        }
        int runs = 0;
        for (int message = (int) run.seed % stride; message < messages; message += stride) {
            Run struck = run.at(message);
            struck.play(faults);
            if (!faults.isEmpty()) {
                return struck;
            }
            runs++;
        }
        assertThat("messages to strike at", runs * stride, greaterThan(20));
        return null;
    }

    private static void strikeEverywhere(int controlNodes, Loss loss, Strike strike, int... seeds) {
        for (int seed : seeds) {
            List<String> faults = new ArrayList<>();
            Run wrong = firstWrong(new Run(Variant.AS_IT_IS, controlNodes, loss, strike, NEVER, seed), STRIDE, faults);
            assertThat(String.valueOf(wrong), faults, is(empty()));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Loss.class,
            names = {"REPLACE", "WIPE", "LEAVE"})
    void aFaultAtAnyMessageOfAChangeLeavesTheNextLossBearable(Loss loss) {
        for (Strike strike : List.of(Strike.KILL_SENDER, Strike.CUT_SENDER, Strike.POWER_OFF_ALL)) {
            strikeEverywhere(3, loss, strike, 0, 1);
            strikeEverywhere(5, loss, strike, 1);
        }
    }

    /** A second disk within the tolerated ones: two of five, or one of three while a member leaves. */
    @ParameterizedTest
    @EnumSource(
            value = Strike.class,
            names = {"WIPE_SENDER", "WIPE_RECEIVER"})
    void aDiskLostAtAnyMessageOfAChangeIsBorneWhereItIsTolerated(Strike strike) {
        strikeEverywhere(5, Loss.REPLACE, strike, 0);
        strikeEverywhere(5, Loss.WIPE, strike, 1);
        strikeEverywhere(5, Loss.LEAVE, strike, 1);
        strikeEverywhere(3, Loss.LEAVE, strike, 1, 3);
    }

    /** As many at once as are tolerated, of the kinds in turn. */
    private static List<String> inOrder(Variant variant, long seed, int controlNodes, List<Loss> losses) {
        SimCore core = new SimCore(seed, controlNodes);
        variant.in.accept(core);
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
    void lossesInEveryOrderEachRightAfterTheOther(int controlNodes) {
        List<Loss> kinds = List.of(Loss.values());
        int seed = 0;
        for (Loss first : kinds) {
            for (Loss second : kinds) {
                List<Loss> losses = List.of(first, second, kinds.get(seed * 3 % kinds.size()));
                List<String> faults = inOrder(Variant.AS_IT_IS, seed, controlNodes, losses);
                assertThat(controlNodes + " " + losses + ", seed " + seed, faults, is(empty()));
                seed++;
            }
        }
    }

    /** A member is back that missed the last orders, and another loses its disk before any further one. */
    private static List<String> staleMemberAndEmptyDisk(Variant variant, long seed) {
        SimCore core = new SimCore(seed, 3);
        variant.in.accept(core);
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
    void aMemberThatMissedOrdersAndAnEmptyDiskAreNoMajority() {
        for (int seed = 0; seed < 20; seed++) {
            assertThat("seed " + seed, staleMemberAndEmptyDisk(Variant.AS_IT_IS, seed), is(empty()));
        }
    }

    /**
     * Thirty times as slow as a site's disks; the majority needs it while others are replaced. More than is tolerated,
     * so the repair has twice the time; it must come to an end while orders go on and the disk stays slow.
     */
    /** Five machines, two of them in each of two zones; the three seeds vote at first, two of which share a zone. */
    @Test
    void oneZoneAfterTheOtherIsLost() {
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

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void aSlowDiskHoldsUpNoRepair(int controlNodes) {
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
    void wrongVariantsAreFoundOut() {
        found(new Run(Variant.SETTLED_ONLY_BY_ITS_PROPOSER, 3, Loss.REPLACE, Strike.CUT_SENDER, NEVER, 1), 1);
        found(new Run(Variant.LEAVES_BEFORE_SUCCESSOR_VOTES, 3, Loss.LEAVE, Strike.WIPE_SENDER, NEVER, 1), 1);
        List<Loss> replaced = List.of(Loss.REPLACE, Loss.REPLACE);
        assertThat(inOrder(Variant.VOTERS_ADDED_FOR_THOSE_GONE, 1, 5, replaced), is(not(empty())));
        found(new Run(Variant.TELLS_BEFORE_SYNC, 3, Loss.REPLACE, Strike.POWER_OFF_ALL, NEVER, 0), 1);
        List<String> faults = new ArrayList<>();
        for (int seed = 0; seed < 20 && faults.isEmpty(); seed++) {
            faults.addAll(staleMemberAndEmptyDisk(Variant.VOTES_FROM_EMPTY_DISK, seed));
        }
        assertThat(faults, is(not(empty())));
    }

    private static void found(Run run, int stride) {
        List<String> faults = new ArrayList<>();
        firstWrong(run, stride, faults);
        assertThat(run.variant() + " is found out", faults, is(not(empty())));
    }
}
