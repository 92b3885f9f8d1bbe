package saltdale.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Keys;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.Workload;
import saltdale.probing.Payoff;

class DispatcherTest {
    private final Scene scene = new Scene();

    // The design's arithmetic, by hand.

    @Test
    void payoffOfASecondProbe() {
        // d = 1: s(i) = 0.5^i, so p(0) = 0.5, p(1) = 0.25, p(2) = 0.125; B = 2·0.5 + 1·0.25 + 0.
        assertEquals(1.25, Payoff.payoff(2, 0.5, 1), 1e-9);
    }

    @Test
    void payoffOfAThirdProbe() {
        // d = 2: s = 1, 0.5, 0.125, 0.0078125; p(0) = 0.5, p(1) = 0.375; B = 2·0.5 + 1·0.375.
        assertEquals(1.375, Payoff.payoff(2, 0.5, 2), 1e-9);
    }

    @Test
    void anEmptyQueueLeavesNothingToGain() {
        assertEquals(0, Payoff.payoff(0, 0.5, 1), 1e-9);
    }

    @Test
    void lambdaGrowsWithTheProbesAndStaysBelowOne() {
        assertEquals(0.5 / (1 - 2 * Payoff.C * 3), Payoff.lambda(0.5, 3), 1e-12);
        assertTrue(Payoff.lambda(1, 1) < 1);
        assertTrue(Payoff.lambda(0.5, (int) Math.ceil(1 / (2 * Payoff.C)) + 1) < 1);
    }

    @Test
    void costIsNothingUntilAJobHasEnded() {
        Dispatcher dispatcher = scene.with(2);
        dispatcher.probing.roundTrip = 0.01;
        assertEquals(0, dispatcher.probing.cost(), 1e-9);
        dispatcher.probing.runningTime = 0.5;
        dispatcher.probing.meanQueue = 2;
        assertEquals(0.02 + 2 * Payoff.C, dispatcher.probing.cost(), 1e-9);
    }

    // The search.

    @Test
    void anIdleRunnerTakesTheJob() {
        Dispatcher dispatcher = scene.with(3);
        scene.arrives(scene.assignment());
        scene.finds(0);
        assertEquals(List.of("probe", "dispatch"), scene.acts);
        assertSame(scene.probes.get(0), scene.dispatches.get(0).runner);
    }

    @Test
    void aBusyRunnerIsFollowedByAnotherAndTheShortestQueueTakesTheJob() {
        scene.workload.lateImportance = 0.5;
        Dispatcher dispatcher = scene.with(2);
        scene.arrives(scene.assignment());
        scene.finds(2);
        dispatcher.probed(Scene.at(10), scene.probes.get(1), true, Scene.at(5), Scene.queue(3));
        dispatcher.settle(Scene.at(10));
        assertNotSame(scene.probes.get(0), scene.probes.get(1));
        assertSame(scene.probes.get(0), scene.dispatches.get(0).runner);
    }

    @Test
    void idleNeedsRoomForTheJobAndNothingOfOursThatWaits() {
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.probing.roundTrip = 0.01;
        runner.report = new LoadReport(0, 5, 2, Double.NaN, Double.NaN);
        assertTrue(dispatcher.idle(Scene.at(0), runner, 2));
        assertFalse(dispatcher.idle(Scene.at(0), runner, 4));
        Dispatch d = scene.sentTo(runner).last();
        assertTrue(dispatcher.idle(Scene.at(30), runner, 1));
        assertFalse(dispatcher.idle(Scene.at(50), runner, 1), "ours waits there");
        dispatcher.started(Scene.at(50), d);
        assertTrue(dispatcher.idle(Scene.at(50), runner, 1));
    }

    @Test
    void loadFallsBackToInFlightThenToWhatWeSent() {
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        runner.report = report(5, Double.NaN);
        assertEquals(5, dispatcher.load(runner));
        runner.report = LoadReport.NONE;
        runner.known = true;
        scene.sentTo(runner);
        assertEquals(1, dispatcher.load(runner));
        runner.of.sawFree(report(5, 2)); // at one of its kind, which has seven slots then
        runner.report = report(11, 0);
        assertEquals(4, dispatcher.load(runner));
        scene.orders.liveWeights = true;
        runner.report = report(Double.NaN, 0);
        runner.power = 1 / 3.0; // of 1: two jobs a core are held
        assertEquals(7, dispatcher.load(runner), 1e-9);
    }

    @Test
    void aSilentProbeDoesNotHoldTheJobUp() {
        Dispatcher dispatcher = scene.with(2);
        Assignment a = scene.assignment();
        scene.arrives(a);
        Duration later = scene.workload.promised.dividedBy(2);
        dispatcher.woken(later, a);
        dispatcher.settle(later);
        assertEquals(List.of("probe", "probe"), scene.acts);
    }

    @Test
    void anEmptyListEndsInAnAnswerBeforePatienceDoes() {
        Dispatcher dispatcher = scene.with(0);
        Assignment a = scene.assignment();
        scene.arrives(a);
        dispatcher.woken(Scene.at(5990), a);
        dispatcher.settle(Scene.at(5990));
        assertEquals(List.of("shed"), scene.acts);
    }

    // The rules.

    @Test
    void aTimeOutAtPatienceEndsInOneAnswer() {
        Dispatcher dispatcher = scene.with(1);
        Assignment a = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.ended(Scene.at(6000), a.dispatches.get(0), Outcome.TIMED_OUT, false, null);
        dispatcher.settle(Scene.at(6000));
        dispatcher.close(a);
        dispatcher.settle(Scene.at(6001));
        assertEquals(List.of("shed"), scene.acts);
    }

    @Test
    void anEffectfulJobThatMayHaveRunIsGivenUp() {
        scene.workload.repeat = Workload.Repeat.EFFECTFUL;
        Dispatcher dispatcher = scene.with(2);
        Runner runner = dispatcher.runners.get(0);
        Assignment a = scene.sentTo(runner);
        Dispatch d = a.dispatches.get(0);
        d.outcome = Outcome.BROKEN;
        assertFalse(dispatcher.repeatable(Scene.at(1), a, runner));
        assertFalse(dispatcher.mayShed(a));
        d.outcome = Outcome.NOT_CONNECTED;
        assertTrue(dispatcher.repeatable(Scene.at(1), a, runner));
        assertTrue(dispatcher.mayShed(a));
    }

    @Test
    void whatMayHaveRunAndMayNotGoAgainIsGivenUpAtOnce() {
        scene.workload.repeat = Workload.Repeat.EFFECTFUL;
        Dispatcher dispatcher = scene.with(2);
        Assignment a = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.ended(Scene.at(10), a.dispatches.get(0), Outcome.ERROR, false, null);
        dispatcher.settle(Scene.at(10));
        assertEquals(List.of("give up"), scene.acts);
    }

    @Test
    void aReceiptedJobGoesAgainOnlyWithinItsCellAndWindow() {
        scene.workload.repeat = Workload.Repeat.RECEIPTED;
        scene.workload.group = Workload.Group.CELL;
        scene.workload.window = Duration.ofSeconds(5);
        Dispatcher dispatcher = scene.with(2);
        Runner near = dispatcher.runners.get(0);
        Runner far = dispatcher.runners.get(1);
        far.cell = 7;
        Assignment a = scene.sentTo(near);
        a.dispatches.get(0).outcome = Outcome.CANCELLED;
        assertTrue(dispatcher.repeatable(Scene.at(1000), a, near));
        assertFalse(dispatcher.repeatable(Scene.at(1000), a, far));
        assertFalse(dispatcher.repeatable(Scene.at(5000), a, near));
        assertFalse(dispatcher.mayShed(a));
    }

    /** As reported on quiet at budapest-gyor-ut: at 0.2 s a first dispatch left the only zone that was open to it. */
    @Test
    void aBoundWorkloadGoesNowhereElseNotWhenAllThatItNamesAreGone() {
        scene.workload.zones.add("there");
        scene.workload.kinds.add("big");
        scene.with(2);
        scene.arrives(scene.assignment());
        assertEquals(List.of(), scene.acts);
        Runner open = new Runner();
        scene.dispatcher.listed(
                Scene.at(1),
                List.of(
                        new Sighting(open, "big", "there", 1, Runner.Mode.READY, 0, null),
                        new Sighting(new Runner(), "big", "here", 1, Runner.Mode.READY, 0, null),
                        new Sighting(new Runner(), "any", "there", 1, Runner.Mode.READY, 0, null)),
                false,
                false);
        for (int i = 0; i < 8; i++) {
            scene.arrives(scene.assignment());
        }
        assertEquals(List.of(open), scene.probes.stream().distinct().toList());
    }

    /** As reported on calm at tamebridge-main: a second dispatch followed 'full', where that is no proof. */
    @Test
    void fullProvesNothingWhereThatIsSaid() {
        scene.orders.fullProvesNothing = true;
        scene.workload.repeat = Workload.Repeat.EFFECTFUL;
        scene.with(3);
        Assignment a = scene.sentTo(scene.dispatcher.runners.get(0));
        scene.dispatcher.ended(Scene.at(9), a.last(), Outcome.TURNED_AWAY, false, null);
        scene.dispatcher.settle(Scene.at(9));
        assertEquals(List.of("give up"), scene.acts);
    }

    @Test
    void nothingGoesToARunnerThatBeganToDrainWhileItWasProbed() {
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        scene.arrives(scene.assignment());
        dispatcher.listed(Scene.at(1), List.of(Scene.sighting(runner, Runner.Mode.DRAINING, null)), false, false);
        scene.finds(0);
        assertEquals(List.of("probe"), scene.acts);
    }

    @Test
    void aRunnerMissingFromAWholeListIsGone() {
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.listed(Scene.at(1), List.of(), true, false);
        assertEquals(Runner.Mode.GONE, runner.mode);
        dispatcher.listed(
                Scene.at(2), List.of(new Sighting(runner, "", "", 1, Runner.Mode.GONE, 9, null)), false, false);
        assertEquals("here", runner.zone, "an entry that is gone tells nothing else");
    }

    @Test
    void aFailedSubscriptionIsAskedAgainWithinTheTimeAllowed() {
        scene.orders.mustSubscribe = true;
        Dispatcher dispatcher = scene.with(1);
        dispatcher.began(Scene.at(0));
        dispatcher.settle(Scene.at(0));
        dispatcher.listFailed(Scene.at(500));
        dispatcher.settle(Scene.at(500));
        dispatcher.settle(Scene.at(500).plus(scene.orders.askWithin));
        assertEquals(List.of("subscribe", "subscribe"), scene.acts);
    }

    @Test
    void aColdRunnerGetsNoMoreThanItsBudget() {
        Dispatcher dispatcher = scene.with(2);
        Runner cold = dispatcher.runners.get(1);
        cold.startedAt = Scene.at(0);
        for (int i = 0; i < 40; i++) {
            Assignment a = scene.assignment();
            dispatcher.arrived(Scene.at(10), a);
            dispatcher.settle(Scene.at(10));
            if (a.asked != null) {
                dispatcher.probed(Scene.at(10), a.asked, true, Scene.at(1), Scene.queue(0));
                dispatcher.settle(Scene.at(10));
            }
        }
        long toCold = scene.dispatches.stream().filter(d -> d.runner == cold).count();
        long toWarm = scene.dispatches.size() - toCold;
        assertTrue(toCold <= 2.5 * 0.3 * toWarm / 8 * 2 + 1, toCold + " to the cold, " + toWarm + " to the warm");
    }

    @Test
    void aPartUnderOneJobOfAColdRunnersBudgetIsSentByChance() {
        scene.orders.dispatchers = 100;
        Dispatcher dispatcher = scene.with(40);
        Runner cold = dispatcher.runners.get(7);
        cold.startedAt = Scene.at(0);
        for (int i = 0; i < 200; i++) {
            Assignment a = new Assignment(scene.workload, Scene.at(8 * i), scene.workload.patience);
            dispatcher.arrived(Scene.at(8 * i), a);
            dispatcher.settle(Scene.at(8 * i));
            dispatcher.probed(Scene.at(8 * i), a.asked, true, Scene.at(1), Scene.queue(0));
            dispatcher.settle(Scene.at(8 * i));
            dispatcher.ended(Scene.at(8 * i + 4), a.dispatches.get(0), Outcome.FULFILLED, true, null);
        }
        long toCold = scene.dispatches.stream().filter(d -> d.runner == cold).count();
        assertTrue(toCold >= 1 && toCold <= 4, toCold + " to the cold runner, of 5 to an average one");
    }

    @Test
    void whatGoesToAColdRunnerByChanceGoesThereOnlyWhileItIsIdle() {
        scene.orders.dispatchers = 100;
        Dispatcher dispatcher = scene.with(2);
        Assignment first = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.ended(Scene.at(100), first.dispatches.get(0), Outcome.FULFILLED, true, null);
        Runner cold = dispatcher.runners.get(1);
        cold.startedAt = Scene.at(0);
        Assignment a = scene.assignment();
        cold.asking.add(a);
        a.asked = cold;
        dispatcher.probed(Scene.at(200), cold, true, Scene.at(5), Scene.queue(1));
        assertEquals(List.of(Double.POSITIVE_INFINITY), a.loads);
    }

    // Failures.

    @Test
    void whatAProcessTookWithItIsTakenBackOnceTheListTellsOfTheNext() {
        Dispatcher dispatcher = scene.with(2);
        Runner runner = dispatcher.runners.get(0);
        Dispatch before = scene.sentTo(runner).dispatches.get(0);
        Dispatch after = new Dispatch(scene.assignment(), runner, Scene.at(600), 1, 0);
        runner.out.add(after);
        Sighting back = Scene.sighting(runner, Runner.Mode.READY, Scene.at(500));
        dispatcher.listed(Scene.at(900), List.of(back), false, false);
        dispatcher.settle(Scene.at(900));
        assertEquals(List.of("cancel"), scene.acts);
        assertTrue(before.cancelWanted && !after.cancelWanted);
    }

    @Test
    void runnersJustFoundBusyArePassedOverForOthers() {
        Dispatcher dispatcher = scene.with(8);
        dispatcher.probing.runningTime = 1;
        dispatcher.runners.subList(1, 8).forEach(r -> r.busyAt = Scene.at(0));
        Runner other = dispatcher.runners.get(0);
        scene.arrives(scene.assignment());
        assertEquals(List.of(other), scene.probes);
        scene.finds(3);
        assertEquals(Scene.at(5), other.busyAt);
        dispatcher.probing.lambdaSeen = 1;
        assertTrue(drawnOf(List.of(other)) < 50, "with nearly all busy the draw is as before");
    }

    @Test
    void theSilenceOfSomeIsHeldAgainstTheirZoneUntilOneOfItIsHeard() {
        Dispatcher dispatcher = scene.with(40);
        List<Runner> lost = List.copyOf(dispatcher.runners.subList(0, 20));
        lost.forEach(r -> r.zone = "lost");
        lost.subList(0, 15).forEach(r -> dispatcher.probed(Scene.at(500), r, false, Scene.at(500), null));
        assertTrue(drawnOf(lost) <= 10, "5 of 25 that are not silent, beside 20 elsewhere");
        dispatcher.probed(Scene.at(600), lost.get(15), true, Scene.at(5), Scene.queue(0));
        assertTrue(drawnOf(lost) > 10);
    }

    /** How many of 100 assignments ask one of these first. */
    private long drawnOf(List<Runner> these) {
        int before = scene.probes.size();
        for (int i = 0; i < 100; i++) {
            scene.arrives(new Assignment(scene.workload, Scene.at(0), scene.workload.patience));
        }
        return scene.probes.subList(before, scene.probes.size()).stream()
                .filter(these::contains)
                .count();
    }

    @Test
    void whatIsMovedIsNoFailureAndIsNotRationed() {
        Dispatcher dispatcher = scene.with(4);
        for (int i = 0; i < 40; i++) {
            dispatcher.further.add(false);
        }
        Assignment a = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.ended(Scene.at(10), a.dispatches.get(0), Outcome.CANCELLED, false, null);
        dispatcher.settle(Scene.at(10));
        assertEquals(List.of("probe"), scene.acts);
    }

    @Test
    void onlyAFirstSendingOfWhatMayRunTwiceTriesARunnerSetAside() {
        Workload receipted = new Workload();
        receipted.repeat = Workload.Repeat.RECEIPTED;
        receipted.promised = scene.workload.promised;
        receipted.patience = scene.workload.patience;
        scene.orders.workloads.add(receipted);
        Dispatcher dispatcher = scene.with(3);
        Runner aside = dispatcher.runners.get(0);
        aside.trickle = Scene.at(1);
        for (int i = 0; i < 20; i++) {
            scene.arrives(new Assignment(receipted, Scene.at(0), receipted.patience));
        }
        assertFalse(scene.probes.contains(aside));
        assertTrue(drawnOf(List.of(aside)) > 0);
    }

    @Test
    void whereSomeErrReceiptedWorkGoesToRunnersThatHaveDoneWellOfLate() {
        scene.workload.repeat = Workload.Repeat.RECEIPTED;
        Dispatcher dispatcher = scene.with(6);
        List<Runner> runners = List.copyOf(dispatcher.runners);
        runners.get(0).trickle = Scene.at(100_000);
        runners.get(0).trickleAt = Scene.at(100_000);
        runners.get(1).failures.add(true);
        List.of(2, 3).forEach(i -> runners.get(i).failures.add(false));
        assertEquals(100, drawnOf(runners.subList(2, 4)));
        scene.with(6);
        assertTrue(drawnOf(List.copyOf(scene.dispatcher.runners.subList(2, 4))) < 60, "none errs: all alike");
    }

    @Test
    void aPureJobLeavesARunnerThatAnswersNothingThoughNoneIsIdle() {
        scene.orders.progressEvery = Duration.ofSeconds(1);
        Dispatcher dispatcher = scene.with(2);
        Dispatch d = scene.sentTo(dispatcher.runners.get(0)).dispatches.get(0);
        dispatcher.started(Scene.at(0), d);
        dispatcher.probed(Scene.at(500), d.runner, false, Scene.at(500), null);
        dispatcher.probing.lambdaSeen = 1;
        dispatcher.woken(Scene.at(3000), d.assignment);
        dispatcher.settle(Scene.at(3000));
        assertEquals(List.of("cancel"), scene.acts);
    }

    @Test
    void aRunnerThatWasSilentIsPassedOverUntilItIsHeard() {
        Dispatcher dispatcher = scene.with(2);
        Assignment first = scene.assignment();
        scene.arrives(first);
        Runner silent = scene.probes.get(0);
        dispatcher.probed(Scene.at(500), silent, false, Scene.at(500), null);
        assertEquals(0, drawnOf(List.of(silent)));
        dispatcher.progressed(Scene.at(520), scene.sentTo(silent).dispatches.get(0));
        assertFalse(silent.isSilent(Scene.at(520)));
    }

    @Test
    void aRunnerThatErrsIsSetAsideAndComesBackByATrickle() {
        Dispatcher dispatcher = scene.with(4);
        Runner runner = dispatcher.runners.get(0);
        for (int i = 0; i < 2; i++) {
            Assignment a = scene.sentTo(runner);
            dispatcher.ended(Scene.at(10), a.dispatches.get(0), Outcome.ERROR, false, null);
        }
        assertTrue(runner.trickle != null && runner.trickleAt.compareTo(Scene.at(10)) > 0);
        for (int i = 0; i < 8 && runner.trickle != null; i++) {
            Assignment a = scene.sentTo(runner);
            dispatcher.ended(Scene.at(20), a.dispatches.get(0), Outcome.FULFILLED, true, null);
        }
        assertEquals(null, runner.trickle);
    }

    @Test
    void aRunnerThatTurnsAWorkloadAwayWhileIdleIsPassedOverForThatWorkloadOnly() {
        Dispatcher dispatcher = scene.with(2);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.ended(Scene.at(0), scene.sentTo(runner).last(), Outcome.TURNED_AWAY, true, null);
        for (int i = 0; i < 10; i++) {
            scene.arrives(scene.assignment());
            assertNotSame(runner, scene.probes.get(i));
        }
        assertFalse(runner.refuses(Scene.at(0), new Workload()));
        assertEquals(null, runner.trickle);
        assertFalse(runner.refuses(Scene.at(1500), scene.workload), "tried again after a quarter of the patience");
    }

    @Test
    void whatIsLostGoesAgainWhileHalfOfThoseSucceedAndAMoveIsNoFailure() {
        Dispatcher dispatcher = scene.with(2);
        for (int i = 0; i < 20; i++) {
            dispatcher.further.add(i % 2 == 0);
            Assignment moved = scene.sentTo(dispatcher.runners.get(0));
            moved.dispatches.add(new Dispatch(moved, dispatcher.runners.get(1), Scene.at(0), 1, 0));
            dispatcher.ended(Scene.at(1), moved.last(), Outcome.CANCELLED, true, null);
            Assignment a = scene.sentTo(dispatcher.runners.get(0));
            dispatcher.ended(Scene.at(1), a.last(), Outcome.BROKEN, false, null);
            assertEquals(null, a.wantedAnswer);
        }
    }

    @Test
    void whatCannotBeInTimeIsShedAtOnce() {
        Dispatcher dispatcher = scene.with(1);
        dispatcher.waitPerLoad = 0.5;
        Assignment a = scene.assignment();
        scene.arrives(a);
        scene.finds(3);
        assertEquals(List.of("probe", "shed"), scene.acts);
    }

    @Test
    void aFirstTryOfAnImpatientClientIsNotTakenForALateOne() {
        scene.orders.repeatsMarked = true;
        scene.orders.tellsStart = false; // so that what the test sends does not count as waiting
        scene.with(1).waitPerLoad = 0.35;
        scene.arrives(scene.assignment()); // this one waits 6 s
        scene.finds(1);
        for (double queue : new double[] {0, 1}) { // 0.35 s to wait are too long for these, not for the promised time
            scene.arrives(new Assignment(scene.workload, Scene.at(0), Scene.at(300)));
            scene.finds(queue);
        }
        assertEquals(List.of("probe", "dispatch", "probe", "dispatch", "probe", "shed"), scene.acts);
    }

    @Test
    void whatWouldRunOnWhenTheDispatcherEndsIsShedBeforeItBegins() {
        scene.workload.lateImportance = 0.5;
        Dispatcher dispatcher = scene.with(1);
        dispatcher.ended(Scene.at(3000), scene.sentTo(dispatcher.runners.get(0)).last(), Outcome.FULFILLED, true, null);
        scene.orders.endsAt = Scene.at(6000);
        scene.arrives(scene.assignment());
        scene.finds(0);
        assertEquals(List.of("probe", "dispatch"), scene.acts);
        scene.orders.endsAt = Scene.at(2000);
        scene.arrives(scene.assignment());
        scene.finds(0);
        assertEquals("shed", scene.acts.get(scene.acts.size() - 1));
    }

    @Test
    void ourOwnWaitingJobsAreTheLeastThatAReportedQueueCountsAs() {
        scene.orders.dispatchers = 3;
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        runner.report = Scene.queue(1);
        scene.sentTo(runner);
        assertEquals(3, dispatcher.load(runner));
    }

    @Test
    void whatStillWaitsWhenItsPromisedTimeIsOutOfReachIsCalledOffAndShed() {
        Dispatcher dispatcher = scene.with(1);
        Assignment a = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.arrived(Scene.at(0), a);
        dispatcher.woken(Scene.at(1000), a);
        dispatcher.settle(Scene.at(1000));
        assertEquals(List.of("shed", "cancel"), scene.acts);
    }

    @Test
    void aRunnerTooSlowForTheJobIsProbedOnlyWhenNoOtherIsLeft() {
        Dispatcher dispatcher = scene.with(6);
        Runner slow = dispatcher.runners.get(2);
        Assignment done = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.ended(Scene.at(1000), done.dispatches.get(0), Outcome.FULFILLED, true, null);
        for (int i = 0; i < 12; i++) {
            dispatcher.runners.forEach(r -> r.pace.add(r == slow ? 4 : 1, 1, 4));
        }
        for (int i = 0; i < 20; i++) {
            scene.arrives(scene.assignment());
        }
        assertFalse(scene.probes.contains(slow));
    }

    @Test
    void aSharedSlowdownTellsOfRunnersNotHeardOfSince() {
        Dispatcher dispatcher = scene.with(2);
        for (int i = 0; i < 40; i++) {
            Assignment a = scene.sentTo(dispatcher.runners.get(i < 20 ? 0 : 1));
            dispatcher.ended(Scene.at(i < 20 ? 400 : 1200), a.dispatches.get(0), Outcome.FULFILLED, true, null);
        }
        assertTrue(dispatcher.pace(Scene.at(1200), dispatcher.runners.get(0)) > 1.3);
    }

    @Test
    void aStartToldTogetherWithTheEndLeavesAFinitePace() {
        Dispatcher dispatcher = scene.with(1);
        Dispatch d = scene.sentTo(dispatcher.runners.get(0)).dispatches.get(0);
        dispatcher.started(Scene.at(900), d);
        dispatcher.ended(Scene.at(900), d, Outcome.FULFILLED, true, null);
        assertEquals(1, dispatcher.pace(Scene.at(900), d.runner), 0.01);
    }

    @Test
    void noSecondLookWhileMostAreBusy() {
        scene.workload.lateImportance = 0.5;
        Dispatcher dispatcher = scene.with(3);
        dispatcher.probing.lambdaSeen = 0.6;
        Assignment a = scene.sentTo(dispatcher.runners.get(0));
        dispatcher.woken(Scene.at(1000), a);
        dispatcher.settle(Scene.at(1000));
        assertEquals(List.of(), scene.acts);
    }

    @Test
    void theFirstProgressDatesAStartThatIsNotToldAndTheWaitForIt() {
        scene.orders.tellsStart = false;
        scene.orders.progressEvery = Duration.ofSeconds(1);
        Dispatcher dispatcher = scene.with(1);
        Dispatch d = scene.sentTo(dispatcher.runners.get(0)).dispatches.get(0);
        dispatcher.woken(Scene.at(3500), d.assignment); // nothing heard: it may wait there, and is not held silent
        assertEquals(0, d.runner.failures.count());
        dispatcher.waitPerLoad = 0.1;
        d.runner.report = report(Double.NaN, 1);
        assertTrue(dispatcher.idle(Scene.at(4000), d.runner, 1));
        dispatcher.progressed(Scene.at(4000), d);
        assertEquals(Scene.at(3000), d.startedAt);
        assertFalse(dispatcher.idle(Scene.at(4000), d.runner, 1), "it waited where it was found idle");
    }

    /** By its slack of 0.4 s a crossing counts as four loads times its price, though no size is known yet. */
    @Test
    void aCrossingCountsAsTheWaitThatCostsAsMuch() {
        for (double price : new double[] {0.1, 1.5}) {
            Scene scene = new Scene();
            scene.orders.crossZonePrice = price;
            scene.orders.importanceByWork = true;
            scene.orders.zone = "home";
            scene.with(9).waitPerLoad = 0.1;
            scene.dispatcher.probing.lambdaSeen = 0.9;
            Runner near = scene.dispatcher.runners.get(4);
            near.zone = "home";
            scene.arrives(scene.assignment());
            scene.finds(1);
            scene.finds(0);
            assertSame(near, scene.probes.get(0));
            assertEquals(price > 1, scene.dispatches.get(0).runner == near);
        }
    }

    @Test
    void aRunnerToWhichAConnectionRestsGoesFirst() {
        scene.orders.handshakePrice = 0.02;
        scene.orders.importanceByWork = true;
        scene.orders.idleClose = Scene.at(60_000);
        scene.with(9).waitPerLoad = 0.1;
        Runner kept = scene.dispatcher.runners.get(4);
        kept.rests(Scene.at(0), scene.orders.idleClose);
        scene.arrives(scene.assignment());
        assertSame(kept, scene.probes.get(0));
    }

    /** As seen at valle-alto-subs: connections at rest were dropped unseen, and effectful work sent on one was lost. */
    @Test
    void aConnectionThatRestsLongerThanOneFoundDroppedIsClosedFirst() {
        scene.orders.idleClose = Scene.at(60_000);
        Dispatcher dispatcher = scene.with(1);
        Runner runner = dispatcher.runners.get(0);
        runner.rests(Scene.at(0), scene.orders.idleClose);
        scene.arrives(scene.assignment());
        scene.finds(0);
        dispatcher.ended(Scene.at(6), scene.dispatches.get(0), Outcome.BROKEN, true, null);
        runner.rests(Scene.at(10), scene.orders.idleClose);
        dispatcher.arrived(Scene.at(1000), new Assignment(scene.workload, Scene.at(1000), scene.workload.patience));
        dispatcher.settle(Scene.at(1000));
        dispatcher.probed(Scene.at(1005), runner, true, Scene.at(5), Scene.queue(0));
        dispatcher.settle(Scene.at(1005));
        assertEquals(List.of("probe", "dispatch", "probe", "close", "dispatch"), scene.acts);
    }

    /** As seen at tamebridge-main: handshakes were slow everywhere, and most of the fleet was set aside for it. */
    @Test
    void noRunnerIsAtFaultWhileConnectionsFailWithMany() {
        scene.with(9);
        for (Runner r : List.copyOf(scene.dispatcher.runners)) {
            for (int i = 0; i < 2; i++) {
                Assignment a = scene.sentTo(r);
                scene.dispatcher.ended(Scene.at(9), a.last(), Outcome.NOT_CONNECTED, false, null);
            }
        }
        assertTrue(scene.dispatcher.runners.stream()
                        .filter(r -> r.trickle == null && !r.isSilent(Scene.at(10)))
                        .count()
                > 4);
    }

    @Test
    void inALastingOverloadLateWorkIsShedByThePartThatItWouldNotEarn() {
        scene.workload.lateImportance = 0.3;
        Dispatcher dispatcher = scene.with(2);
        dispatcher.waitPerLoad = 1;
        Assignment a = scene.assignment();
        for (double luck : new double[] {0.2, 0.4}) {
            a.luck = luck;
            dispatcher.probing.lambdaSeen = 0.9;
            assertFalse(dispatcher.late(Scene.at(0), a, dispatcher.runners.get(0), 9));
            dispatcher.probing.lambdaSeen = 0.99;
            assertEquals(luck > 0.3, dispatcher.late(Scene.at(0), a, dispatcher.runners.get(0), 9));
        }
    }

    @Test
    void freeWorkYieldsToBoundWorkThatEarnsMoreAndAKeyIsSoughtAtItsHomes() {
        Workload bound = new Workload();
        bound.importance = 3;
        bound.kinds.add("any");
        scene.orders.workloads.add(bound);
        scene.orders.importanceByWork = true;
        scene.with(9);
        Runner other = new Runner();
        Runner home = new Runner();
        for (home.hash = 1; !Keys.isHome(7, home.hash, 0.01); home.hash++) {
            assertFalse(Keys.isHome(7, home.hash, 0));
        }
        scene.dispatcher.listed(
                Scene.at(1),
                List.of(
                        new Sighting(other, "other", "here", 1, Runner.Mode.READY, 0, null),
                        new Sighting(home, "any", "here", 1, Runner.Mode.READY, 0, null)),
                false,
                false);
        scene.arrives(scene.assignment());
        assertSame(other, scene.probes.get(0));
        bound.importance = 0.5;
        Assignment a = scene.assignment();
        a.key = 7;
        scene.arrives(a);
        assertTrue(Keys.isHome(7, scene.probes.get(1).hash, 0.6));
    }

    private static LoadReport report(double inFlight, double free) {
        return new LoadReport(Double.NaN, inFlight, free, Double.NaN, Double.NaN);
    }
}
