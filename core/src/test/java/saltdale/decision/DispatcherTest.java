package saltdale.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.model.Attempt;
import saltdale.model.Keys;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.model.Workload;
import saltdale.probing.Payoff;

/** The decisions of a dispatcher, observed through its recorded actions. */
class DispatcherTest {
    private final DispatcherFixture fixture = new DispatcherFixture();

    // Formulas of the design, calculated by hand.

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
    void payoffIsZeroForAnEmptyQueue() {
        assertEquals(0, Payoff.payoff(0, 0.5, 1), 1e-9);
    }

    @Test
    void lambdaGrowsWithTheProbesAndStaysBelowOne() {
        assertEquals(0.5 / (1 - 2 * Payoff.C * 3), Payoff.lambda(0.5, 3), 1e-12);
        assertTrue(Payoff.lambda(1, 1) < 1);
        assertTrue(Payoff.lambda(0.5, (int) Math.ceil(1 / (2 * Payoff.C)) + 1) < 1);
    }

    @Test
    void costIsZeroUntilAJobHasCompleted() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        dispatcher.probing.roundTrip = 0.01;
        assertEquals(0, dispatcher.probing.cost(), 1e-9);
        dispatcher.probing.runTime = 0.5;
        dispatcher.probing.meanQueue = 2;
        assertEquals(0.02 + 2 * Payoff.C, dispatcher.probing.cost(), 1e-9);
    }

    // Search for a runner.

    @Test
    void idleRunnerGetsTheRequest() {
        Dispatcher dispatcher = fixture.createWithRunners(3);
        fixture.sendRequest(fixture.newRequest());
        fixture.answerLastProbe(0);
        assertEquals(List.of("probe", "dispatch"), fixture.actions);
        assertSame(fixture.probes.get(0), fixture.attempts.get(0).runner);
    }

    @Test
    void afterABusyRunnerAnotherIsProbedAndTheShortestQueueGetsTheRequest() {
        fixture.workload.lateImportance = 0.5;
        Dispatcher dispatcher = fixture.createWithRunners(2);
        fixture.sendRequest(fixture.newRequest());
        fixture.answerLastProbe(2);
        dispatcher.onProbeResult(
                DispatcherFixture.at(10),
                fixture.probes.get(1),
                true,
                DispatcherFixture.at(5),
                DispatcherFixture.queueReport(3));
        dispatcher.applyActions(DispatcherFixture.at(10));
        assertNotSame(fixture.probes.get(0), fixture.probes.get(1));
        assertSame(fixture.probes.get(0), fixture.attempts.get(0).runner);
    }

    @Test
    void idleRequiresFreeSlotsAndNoWaitingAttemptOfOurs() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.probing.roundTrip = 0.01;
        runner.report = new LoadReport(0, 5, 2, Double.NaN, Double.NaN);
        assertTrue(dispatcher.isIdle(DispatcherFixture.at(0), runner, 2));
        assertFalse(dispatcher.isIdle(DispatcherFixture.at(0), runner, 4));
        Attempt attempt = fixture.newRequestSentTo(runner).lastAttempt();
        assertTrue(dispatcher.isIdle(DispatcherFixture.at(30), runner, 1));
        assertFalse(
                dispatcher.isIdle(DispatcherFixture.at(50), runner, 1), "an attempt of this dispatcher waits there");
        dispatcher.onStarted(DispatcherFixture.at(50), attempt);
        assertTrue(dispatcher.isIdle(DispatcherFixture.at(50), runner, 1));
    }

    @Test
    void loadFallsBackToInFlightThenToOwnAttempts() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        runner.report = inFlightReport(5, Double.NaN);
        assertEquals(5, dispatcher.load(runner));
        runner.report = LoadReport.NONE;
        runner.contacted = true;
        fixture.newRequestSentTo(runner);
        assertEquals(1, dispatcher.load(runner));
        runner.typeStats.recordSlots(
                inFlightReport(5, 2)); // on a machine of the same type, which therefore has seven slots
        runner.report = inFlightReport(11, 0);
        assertEquals(4, dispatcher.load(runner));
        fixture.settings.loadBasedWeights = true;
        runner.report = inFlightReport(Double.NaN, 0);
        runner.weight = 1 / 3.0; // a third of the maximum weight: two jobs per slot
        assertEquals(7, dispatcher.load(runner), 1e-9);
    }

    @Test
    void unansweredProbeDoesNotBlockTheRequest() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Request request = fixture.newRequest();
        fixture.sendRequest(request);
        Duration later = fixture.workload.targetLatency.dividedBy(2);
        dispatcher.onTimer(later, request);
        dispatcher.applyActions(later);
        assertEquals(List.of("probe", "probe"), fixture.actions);
    }

    @Test
    void withoutRunnersTheRequestIsAnsweredBeforeTheClientTimesOut() {
        Dispatcher dispatcher = fixture.createWithRunners(0);
        Request request = fixture.newRequest();
        fixture.sendRequest(request);
        dispatcher.onTimer(DispatcherFixture.at(5990), request);
        dispatcher.applyActions(DispatcherFixture.at(5990));
        assertEquals(List.of("shed"), fixture.actions);
    }

    // Rules.

    @Test
    void attemptTimeoutAtTheDeadlineGivesExactlyOneResponse() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onAttemptEnd(DispatcherFixture.at(6000), request.attempts.get(0), Outcome.TIMED_OUT, false, null);
        dispatcher.applyActions(DispatcherFixture.at(6000));
        dispatcher.close(request);
        dispatcher.applyActions(DispatcherFixture.at(6001));
        assertEquals(List.of("shed"), fixture.actions);
    }

    @Test
    void effectfulRequestThatMayHaveRunIsNotRepeated() {
        fixture.workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Runner runner = dispatcher.runners.get(0);
        Request request = fixture.newRequestSentTo(runner);
        Attempt attempt = request.attempts.get(0);
        attempt.outcome = Outcome.BROKEN;
        assertFalse(dispatcher.mayRepeat(DispatcherFixture.at(1), request, runner));
        assertFalse(dispatcher.mayShed(request));
        attempt.outcome = Outcome.NOT_CONNECTED;
        assertTrue(dispatcher.mayRepeat(DispatcherFixture.at(1), request, runner));
        assertTrue(dispatcher.mayShed(request));
    }

    @Test
    void requestThatMustNotBeRepeatedIsGivenUpAtOnce() {
        fixture.workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onAttemptEnd(DispatcherFixture.at(10), request.attempts.get(0), Outcome.ERROR, false, null);
        dispatcher.applyActions(DispatcherFixture.at(10));
        assertEquals(List.of("give up"), fixture.actions);
    }

    @Test
    void receiptedRequestIsRepeatedOnlyWithinItsCellAndWindow() {
        fixture.workload.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        fixture.workload.dedupScope = Workload.DedupScope.CELL;
        fixture.workload.dedupWindow = Duration.ofSeconds(5);
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Runner near = dispatcher.runners.get(0);
        Runner far = dispatcher.runners.get(1);
        far.cell = 7;
        Request request = fixture.newRequestSentTo(near);
        request.attempts.get(0).outcome = Outcome.CANCELLED;
        assertTrue(dispatcher.mayRepeat(DispatcherFixture.at(1000), request, near));
        assertFalse(dispatcher.mayRepeat(DispatcherFixture.at(1000), request, far));
        assertFalse(dispatcher.mayRepeat(DispatcherFixture.at(5000), request, near));
        assertFalse(dispatcher.mayShed(request));
    }

    /** Reported on quiet at budapest-gyor-ut: at 0.2 s a first attempt left the only zone permitted to it. */
    @Test
    void restrictedWorkloadGoesNowhereElseEvenIfAllItsRunnersAreGone() {
        fixture.workload.zones.add("there");
        fixture.workload.machineTypes.add("big");
        fixture.createWithRunners(2);
        fixture.sendRequest(fixture.newRequest());
        assertEquals(List.of(), fixture.actions);
        Runner open = new Runner();
        fixture.dispatcher.onRunnerList(
                DispatcherFixture.at(1),
                List.of(
                        new RunnerListEntry(open, "big", "there", 1, Runner.Mode.READY, 0, null),
                        new RunnerListEntry(new Runner(), "big", "here", 1, Runner.Mode.READY, 0, null),
                        new RunnerListEntry(new Runner(), "any", "there", 1, Runner.Mode.READY, 0, null)),
                false,
                false);
        for (int i = 0; i < 8; i++) {
            fixture.sendRequest(fixture.newRequest());
        }
        assertEquals(List.of(open), fixture.probes.stream().distinct().toList());
    }

    /** Reported on calm at tamebridge-main: a second attempt followed a rejection that proved nothing. */
    @Test
    void lateRejectionsDoNotProveThatWorkNeverRan() {
        fixture.settings.lateRejections = true;
        fixture.workload.repeatSafety = Workload.RepeatSafety.EFFECTFUL;
        fixture.createWithRunners(3);
        Request request = fixture.newRequestSentTo(fixture.dispatcher.runners.get(0));
        fixture.dispatcher.onAttemptEnd(
                DispatcherFixture.at(9), request.lastAttempt(), Outcome.TURNED_AWAY, false, null);
        fixture.dispatcher.applyActions(DispatcherFixture.at(9));
        assertEquals(List.of("give up"), fixture.actions);
    }

    @Test
    void runnerThatStartsDrainingDuringAProbeGetsNothing() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        fixture.sendRequest(fixture.newRequest());
        dispatcher.onRunnerList(
                DispatcherFixture.at(1),
                List.of(DispatcherFixture.entry(runner, Runner.Mode.DRAINING, null)),
                false,
                false);
        fixture.answerLastProbe(0);
        assertEquals(List.of("probe"), fixture.actions);
    }

    @Test
    void runnerMissingFromACompleteListIsGone() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.onRunnerList(DispatcherFixture.at(1), List.of(), true, false);
        assertEquals(Runner.Mode.GONE, runner.mode);
        dispatcher.onRunnerList(
                DispatcherFixture.at(2),
                List.of(new RunnerListEntry(runner, "", "", 1, Runner.Mode.GONE, 9, null)),
                false,
                false);
        assertEquals("here", runner.zone, "other values of a GONE entry are ignored");
    }

    @Test
    void failedSubscriptionIsRetriedWithinTheTimeLimit() {
        fixture.settings.subscribes = true;
        Dispatcher dispatcher = fixture.createWithRunners(1);
        dispatcher.onStart(DispatcherFixture.at(0));
        dispatcher.applyActions(DispatcherFixture.at(0));
        dispatcher.onRunnerListFailure(DispatcherFixture.at(500));
        dispatcher.applyActions(DispatcherFixture.at(500));
        dispatcher.applyActions(DispatcherFixture.at(500).plus(fixture.settings.subscribeWithin));
        assertEquals(List.of("subscribe", "subscribe"), fixture.actions);
    }

    @Test
    void coldRunnerGetsNoMoreThanItsBudget() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Runner cold = dispatcher.runners.get(1);
        cold.startedAt = DispatcherFixture.at(0);
        for (int i = 0; i < 40; i++) {
            Request request = fixture.newRequest();
            dispatcher.onRequest(DispatcherFixture.at(10), request);
            dispatcher.applyActions(DispatcherFixture.at(10));
            if (request.probeTarget != null) {
                dispatcher.onProbeResult(
                        DispatcherFixture.at(10),
                        request.probeTarget,
                        true,
                        DispatcherFixture.at(1),
                        DispatcherFixture.queueReport(0));
                dispatcher.applyActions(DispatcherFixture.at(10));
            }
        }
        long toCold = fixture.attempts.stream()
                .filter(attempt -> attempt.runner == cold)
                .count();
        long toWarm = fixture.attempts.size() - toCold;
        assertTrue(
                toCold <= 2.5 * 0.3 * toWarm / 8 * 2 + 1,
                toCold + " to the cold runner, " + toWarm + " to the warm one");
    }

    @Test
    void coldBudgetUnderOneJobIsUsedAtRandom() {
        fixture.settings.dispatcherCount = 100;
        Dispatcher dispatcher = fixture.createWithRunners(40);
        Runner cold = dispatcher.runners.get(7);
        cold.startedAt = DispatcherFixture.at(0);
        for (int i = 0; i < 200; i++) {
            Request request =
                    new Request(fixture.workload, DispatcherFixture.at(8 * i), fixture.workload.clientTimeout);
            dispatcher.onRequest(DispatcherFixture.at(8 * i), request);
            dispatcher.applyActions(DispatcherFixture.at(8 * i));
            dispatcher.onProbeResult(
                    DispatcherFixture.at(8 * i),
                    request.probeTarget,
                    true,
                    DispatcherFixture.at(1),
                    DispatcherFixture.queueReport(0));
            dispatcher.applyActions(DispatcherFixture.at(8 * i));
            dispatcher.onAttemptEnd(
                    DispatcherFixture.at(8 * i + 4), request.attempts.get(0), Outcome.FULFILLED, true, null);
        }
        long toCold = fixture.attempts.stream()
                .filter(attempt -> attempt.runner == cold)
                .count();
        assertTrue(toCold >= 1 && toCold <= 4, toCold + " to the cold runner; an average one gets 5");
    }

    @Test
    void randomSendsToAColdRunnerRequireThatItIsIdle() {
        fixture.settings.dispatcherCount = 100;
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Request first = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onAttemptEnd(DispatcherFixture.at(100), first.attempts.get(0), Outcome.FULFILLED, true, null);
        Runner cold = dispatcher.runners.get(1);
        cold.startedAt = DispatcherFixture.at(0);
        Request request = fixture.newRequest();
        cold.probeWaiters.add(request);
        request.probeTarget = cold;
        dispatcher.onProbeResult(
                DispatcherFixture.at(200), cold, true, DispatcherFixture.at(5), DispatcherFixture.queueReport(1));
        assertEquals(List.of(Double.POSITIVE_INFINITY), request.probedLoads);
    }

    // Failures.

    @Test
    void attemptsLostInARunnerRestartAreWithdrawn() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Runner runner = dispatcher.runners.get(0);
        Attempt before = fixture.newRequestSentTo(runner).attempts.get(0);
        Attempt after = new Attempt(fixture.newRequest(), runner, DispatcherFixture.at(600), 1, 0);
        runner.inFlight.add(after);
        RunnerListEntry back = DispatcherFixture.entry(runner, Runner.Mode.READY, DispatcherFixture.at(500));
        dispatcher.onRunnerList(DispatcherFixture.at(900), List.of(back), false, false);
        dispatcher.applyActions(DispatcherFixture.at(900));
        assertEquals(List.of("cancel"), fixture.actions);
        assertTrue(before.cancelPlanned && !after.cancelPlanned);
    }

    @Test
    void runnersRecentlyFoundBusyAreAvoided() {
        Dispatcher dispatcher = fixture.createWithRunners(8);
        dispatcher.probing.runTime = 1;
        dispatcher.runners.subList(1, 8).forEach(runner -> runner.foundBusyAt = DispatcherFixture.at(0));
        Runner other = dispatcher.runners.get(0);
        fixture.sendRequest(fixture.newRequest());
        assertEquals(List.of(other), fixture.probes);
        fixture.answerLastProbe(3);
        assertEquals(DispatcherFixture.at(5), other.foundBusyAt);
        dispatcher.probing.observedLambda = 1;
        assertTrue(countFirstProbesOf(List.of(other)) < 50, "with nearly all runners busy the choice is uniform");
    }

    @Test
    void zoneOfUnresponsiveRunnersIsAvoidedUntilOneResponds() {
        Dispatcher dispatcher = fixture.createWithRunners(40);
        List<Runner> lost = List.copyOf(dispatcher.runners.subList(0, 20));
        lost.forEach(runner -> runner.zone = "lost");
        lost.subList(0, 15)
                .forEach(runner -> dispatcher.onProbeResult(
                        DispatcherFixture.at(500), runner, false, DispatcherFixture.at(500), null));
        assertTrue(countFirstProbesOf(lost) <= 10, "5 of the 25 responsive runners are in the zone");
        dispatcher.onProbeResult(
                DispatcherFixture.at(600),
                lost.get(15),
                true,
                DispatcherFixture.at(5),
                DispatcherFixture.queueReport(0));
        assertTrue(countFirstProbesOf(lost) > 10);
    }

    /** How many of 100 new requests probe one of these runners first. */
    private long countFirstProbesOf(List<Runner> candidates) {
        int before = fixture.probes.size();
        for (int i = 0; i < 100; i++) {
            fixture.sendRequest(new Request(fixture.workload, DispatcherFixture.at(0), fixture.workload.clientTimeout));
        }
        return fixture.probes.subList(before, fixture.probes.size()).stream()
                .filter(candidates::contains)
                .count();
    }

    @Test
    void movedAttemptIsNoFailureAndNotLimited() {
        Dispatcher dispatcher = fixture.createWithRunners(4);
        for (int i = 0; i < 40; i++) {
            dispatcher.retries.add(false);
        }
        Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onAttemptEnd(DispatcherFixture.at(10), request.attempts.get(0), Outcome.CANCELLED, false, null);
        dispatcher.applyActions(DispatcherFixture.at(10));
        assertEquals(List.of("probe"), fixture.actions);
    }

    @Test
    void onlyFirstAttemptsOfPureWorkTryAnEjectedRunner() {
        Workload receipted = new Workload();
        receipted.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        receipted.targetLatency = fixture.workload.targetLatency;
        receipted.clientTimeout = fixture.workload.clientTimeout;
        fixture.settings.workloads.add(receipted);
        Dispatcher dispatcher = fixture.createWithRunners(3);
        Runner ejected = dispatcher.runners.get(0);
        ejected.trialInterval = DispatcherFixture.at(1);
        for (int i = 0; i < 20; i++) {
            fixture.sendRequest(new Request(receipted, DispatcherFixture.at(0), receipted.clientTimeout));
        }
        assertFalse(fixture.probes.contains(ejected));
        assertTrue(countFirstProbesOf(List.of(ejected)) > 0);
    }

    @Test
    void receiptedWorkPrefersRecentlySuccessfulRunnersWhileOthersFail() {
        fixture.workload.repeatSafety = Workload.RepeatSafety.RECEIPTED;
        Dispatcher dispatcher = fixture.createWithRunners(6);
        List<Runner> runners = List.copyOf(dispatcher.runners);
        runners.get(0).trialInterval = DispatcherFixture.at(100_000);
        runners.get(0).nextTrialAt = DispatcherFixture.at(100_000);
        runners.get(1).failures.add(true);
        List.of(2, 3).forEach(i -> runners.get(i).failures.add(false));
        assertEquals(100, countFirstProbesOf(runners.subList(2, 4)));
        fixture.createWithRunners(6);
        assertTrue(
                countFirstProbesOf(List.copyOf(fixture.dispatcher.runners.subList(2, 4))) < 60,
                "without failures all are equal");
    }

    @Test
    void pureRequestLeavesAnUnresponsiveRunnerEvenIfNoneIsIdle() {
        fixture.settings.progressInterval = Duration.ofSeconds(1);
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Attempt attempt =
                fixture.newRequestSentTo(dispatcher.runners.get(0)).attempts.get(0);
        dispatcher.onStarted(DispatcherFixture.at(0), attempt);
        dispatcher.onProbeResult(DispatcherFixture.at(500), attempt.runner, false, DispatcherFixture.at(500), null);
        dispatcher.probing.observedLambda = 1;
        dispatcher.onTimer(DispatcherFixture.at(3000), attempt.request);
        dispatcher.applyActions(DispatcherFixture.at(3000));
        assertEquals(List.of("cancel"), fixture.actions);
    }

    @Test
    void unresponsiveRunnerIsAvoidedUntilItResponds() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Request first = fixture.newRequest();
        fixture.sendRequest(first);
        Runner silent = fixture.probes.get(0);
        dispatcher.onProbeResult(DispatcherFixture.at(500), silent, false, DispatcherFixture.at(500), null);
        assertEquals(0, countFirstProbesOf(List.of(silent)));
        dispatcher.onProgress(
                DispatcherFixture.at(520),
                fixture.newRequestSentTo(silent).attempts.get(0));
        assertFalse(silent.isUnresponsive(DispatcherFixture.at(520)));
    }

    @Test
    void failingRunnerIsEjectedAndReturnsThroughTrials() {
        Dispatcher dispatcher = fixture.createWithRunners(4);
        Runner runner = dispatcher.runners.get(0);
        for (int i = 0; i < 2; i++) {
            Request request = fixture.newRequestSentTo(runner);
            dispatcher.onAttemptEnd(DispatcherFixture.at(10), request.attempts.get(0), Outcome.ERROR, false, null);
        }
        assertTrue(runner.trialInterval != null && runner.nextTrialAt.compareTo(DispatcherFixture.at(10)) > 0);
        for (int i = 0; i < 8 && runner.trialInterval != null; i++) {
            Request request = fixture.newRequestSentTo(runner);
            dispatcher.onAttemptEnd(DispatcherFixture.at(20), request.attempts.get(0), Outcome.FULFILLED, true, null);
        }
        assertEquals(null, runner.trialInterval);
    }

    @Test
    void runnerThatRejectsAWorkloadWhileIdleIsAvoidedForThatWorkloadOnly() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        Runner runner = dispatcher.runners.get(0);
        dispatcher.onAttemptEnd(
                DispatcherFixture.at(0),
                fixture.newRequestSentTo(runner).lastAttempt(),
                Outcome.TURNED_AWAY,
                true,
                null);
        for (int i = 0; i < 10; i++) {
            fixture.sendRequest(fixture.newRequest());
            assertNotSame(runner, fixture.probes.get(i));
        }
        assertFalse(runner.isRejecting(DispatcherFixture.at(0), new Workload()));
        assertEquals(null, runner.trialInterval);
        assertFalse(
                runner.isRejecting(DispatcherFixture.at(1500), fixture.workload),
                "tried again after a quarter of the client timeout");
    }

    @Test
    void lostRequestIsRetriedWhileHalfOfRetriesSucceedAndAMoveIsNoFailure() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        for (int i = 0; i < 20; i++) {
            dispatcher.retries.add(i % 2 == 0);
            Request moved = fixture.newRequestSentTo(dispatcher.runners.get(0));
            moved.attempts.add(new Attempt(moved, dispatcher.runners.get(1), DispatcherFixture.at(0), 1, 0));
            dispatcher.onAttemptEnd(DispatcherFixture.at(1), moved.lastAttempt(), Outcome.CANCELLED, true, null);
            Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
            dispatcher.onAttemptEnd(DispatcherFixture.at(1), request.lastAttempt(), Outcome.BROKEN, false, null);
            assertEquals(null, request.plannedResponse);
        }
    }

    @Test
    void requestThatCannotMeetItsTargetIsShedAtOnce() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        dispatcher.waitPerLoad = 0.5;
        Request request = fixture.newRequest();
        fixture.sendRequest(request);
        fixture.answerLastProbe(3);
        assertEquals(List.of("probe", "shed"), fixture.actions);
    }

    @Test
    void firstTryWithAShortClientTimeoutIsNotTakenForARetry() {
        fixture.settings.retriesMarked = true;
        fixture.settings.reportsStart = false; // attempts sent by the test must not count as waiting
        fixture.createWithRunners(1).waitPerLoad = 0.35;
        fixture.sendRequest(fixture.newRequest()); // client timeout 6 s
        fixture.answerLastProbe(1);
        for (double queue : new double[] {0, 1}) { // 0.35 s is too long for their timeout, not for the target latency
            fixture.sendRequest(new Request(fixture.workload, DispatcherFixture.at(0), DispatcherFixture.at(300)));
            fixture.answerLastProbe(queue);
        }
        assertEquals(List.of("probe", "dispatch", "probe", "dispatch", "probe", "shed"), fixture.actions);
    }

    @Test
    void requestThatWouldOutliveTheDispatcherIsShed() {
        fixture.workload.lateImportance = 0.5;
        Dispatcher dispatcher = fixture.createWithRunners(1);
        dispatcher.onAttemptEnd(
                DispatcherFixture.at(3000),
                fixture.newRequestSentTo(dispatcher.runners.get(0)).lastAttempt(),
                Outcome.FULFILLED,
                true,
                null);
        fixture.settings.shutdownAt = DispatcherFixture.at(6000);
        fixture.sendRequest(fixture.newRequest());
        fixture.answerLastProbe(0);
        assertEquals(List.of("probe", "dispatch"), fixture.actions);
        fixture.settings.shutdownAt = DispatcherFixture.at(2000);
        fixture.sendRequest(fixture.newRequest());
        fixture.answerLastProbe(0);
        assertEquals("shed", fixture.actions.get(fixture.actions.size() - 1));
    }

    @Test
    void reportedQueueCountsAtLeastOwnWaitingAttemptsOfEachDispatcher() {
        fixture.settings.dispatcherCount = 3;
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        runner.report = DispatcherFixture.queueReport(1);
        fixture.newRequestSentTo(runner);
        assertEquals(3, dispatcher.load(runner));
    }

    @Test
    void waitingRequestIsCancelledAndShedOnceItsTargetIsOutOfReach() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onRequest(DispatcherFixture.at(0), request);
        dispatcher.onTimer(DispatcherFixture.at(1000), request);
        dispatcher.applyActions(DispatcherFixture.at(1000));
        assertEquals(List.of("shed", "cancel"), fixture.actions);
    }

    @Test
    void tooSlowRunnerIsProbedOnlyIfNoOtherIsLeft() {
        Dispatcher dispatcher = fixture.createWithRunners(6);
        Runner slow = dispatcher.runners.get(2);
        Request done = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onAttemptEnd(DispatcherFixture.at(1000), done.attempts.get(0), Outcome.FULFILLED, true, null);
        for (int i = 0; i < 12; i++) {
            dispatcher.runners.forEach(runner -> runner.runTimeRatio.add(runner == slow ? 4 : 1, 1, 4));
        }
        for (int i = 0; i < 20; i++) {
            fixture.sendRequest(fixture.newRequest());
        }
        assertFalse(fixture.probes.contains(slow));
    }

    @Test
    void sharedSlowdownAppliesToRunnersWithoutRecentData() {
        Dispatcher dispatcher = fixture.createWithRunners(2);
        for (int i = 0; i < 40; i++) {
            Request request = fixture.newRequestSentTo(dispatcher.runners.get(i < 20 ? 0 : 1));
            dispatcher.onAttemptEnd(
                    DispatcherFixture.at(i < 20 ? 400 : 1200), request.attempts.get(0), Outcome.FULFILLED, true, null);
        }
        assertTrue(dispatcher.ratio(DispatcherFixture.at(1200), dispatcher.runners.get(0)) > 1.3);
    }

    @Test
    void startReportedTogetherWithTheEndGivesAFiniteRatio() {
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Attempt attempt =
                fixture.newRequestSentTo(dispatcher.runners.get(0)).attempts.get(0);
        dispatcher.onStarted(DispatcherFixture.at(900), attempt);
        dispatcher.onAttemptEnd(DispatcherFixture.at(900), attempt, Outcome.FULFILLED, true, null);
        assertEquals(1, dispatcher.ratio(DispatcherFixture.at(900), attempt.runner), 0.01);
    }

    @Test
    void noAlternativeIsSoughtWhileMostRunnersAreBusy() {
        fixture.workload.lateImportance = 0.5;
        Dispatcher dispatcher = fixture.createWithRunners(3);
        dispatcher.probing.observedLambda = 0.6;
        Request request = fixture.newRequestSentTo(dispatcher.runners.get(0));
        dispatcher.onTimer(DispatcherFixture.at(1000), request);
        dispatcher.applyActions(DispatcherFixture.at(1000));
        assertEquals(List.of(), fixture.actions);
    }

    @Test
    void firstProgressImpliesTheStartAndWaitOfAnAttempt() {
        fixture.settings.reportsStart = false;
        fixture.settings.progressInterval = Duration.ofSeconds(1);
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Attempt attempt =
                fixture.newRequestSentTo(dispatcher.runners.get(0)).attempts.get(0);
        dispatcher.onTimer(
                DispatcherFixture.at(3500),
                attempt.request); // no progress: it may be waiting, and counts as no failure
        assertEquals(0, attempt.runner.failures.count());
        dispatcher.waitPerLoad = 0.1;
        attempt.runner.report = inFlightReport(Double.NaN, 1);
        assertTrue(dispatcher.isIdle(DispatcherFixture.at(4000), attempt.runner, 1));
        dispatcher.onProgress(DispatcherFixture.at(4000), attempt);
        assertEquals(DispatcherFixture.at(3000), attempt.startedAt);
        assertFalse(
                dispatcher.isIdle(DispatcherFixture.at(4000), attempt.runner, 1), "it waited on a runner found idle");
    }

    /**
     * With a slack of 0.4 s leaving the zone counts as a load of four times its price, before any run time is known.
     */
    @Test
    void crossZoneSendCountsAsTheWaitOfEqualCost() {
        for (double price : new double[] {0.1, 1.5}) {
            DispatcherFixture scene = new DispatcherFixture();
            scene.settings.crossZonePrice = price;
            scene.settings.importanceByWork = true;
            scene.settings.zone = "home";
            scene.createWithRunners(9).waitPerLoad = 0.1;
            scene.dispatcher.probing.observedLambda = 0.9;
            Runner near = scene.dispatcher.runners.get(4);
            near.zone = "home";
            scene.sendRequest(scene.newRequest());
            scene.answerLastProbe(1);
            scene.answerLastProbe(0);
            assertSame(near, scene.probes.get(0));
            assertEquals(price > 1, scene.attempts.get(0).runner == near);
        }
    }

    @Test
    void runnerWithAnIdleConnectionIsPreferred() {
        fixture.settings.handshakePrice = 0.02;
        fixture.settings.importanceByWork = true;
        fixture.settings.idleTimeout = DispatcherFixture.at(60_000);
        fixture.createWithRunners(9).waitPerLoad = 0.1;
        Runner kept = fixture.dispatcher.runners.get(4);
        kept.addIdleConnection(DispatcherFixture.at(0), fixture.settings.idleTimeout);
        fixture.sendRequest(fixture.newRequest());
        assertSame(kept, fixture.probes.get(0));
    }

    /** Seen at valle-alto-subs: idle connections were dropped silently, and effectful work sent on one was lost. */
    @Test
    void connectionIdleForLongerThanADroppedOneIsClosedBeforeUse() {
        fixture.settings.idleTimeout = DispatcherFixture.at(60_000);
        Dispatcher dispatcher = fixture.createWithRunners(1);
        Runner runner = dispatcher.runners.get(0);
        runner.addIdleConnection(DispatcherFixture.at(0), fixture.settings.idleTimeout);
        fixture.sendRequest(fixture.newRequest());
        fixture.answerLastProbe(0);
        dispatcher.onAttemptEnd(DispatcherFixture.at(6), fixture.attempts.get(0), Outcome.BROKEN, true, null);
        runner.addIdleConnection(DispatcherFixture.at(10), fixture.settings.idleTimeout);
        dispatcher.onRequest(
                DispatcherFixture.at(1000),
                new Request(fixture.workload, DispatcherFixture.at(1000), fixture.workload.clientTimeout));
        dispatcher.applyActions(DispatcherFixture.at(1000));
        dispatcher.onProbeResult(
                DispatcherFixture.at(1005), runner, true, DispatcherFixture.at(5), DispatcherFixture.queueReport(0));
        dispatcher.applyActions(DispatcherFixture.at(1005));
        assertEquals(List.of("probe", "dispatch", "probe", "close", "dispatch"), fixture.actions);
    }

    /** Seen at tamebridge-main: handshakes were slow everywhere, and most of the fleet was ejected for that. */
    @Test
    void runnersAreNotEjectedWhileConnectionsFailEverywhere() {
        fixture.createWithRunners(9);
        for (Runner runner : List.copyOf(fixture.dispatcher.runners)) {
            for (int i = 0; i < 2; i++) {
                Request request = fixture.newRequestSentTo(runner);
                fixture.dispatcher.onAttemptEnd(
                        DispatcherFixture.at(9), request.lastAttempt(), Outcome.NOT_CONNECTED, false, null);
            }
        }
        assertTrue(fixture.dispatcher.runners.stream()
                        .filter(runner ->
                                runner.trialInterval == null && !runner.isUnresponsive(DispatcherFixture.at(10)))
                        .count()
                > 4);
    }

    @Test
    void inALastingOverloadLateWorkIsShedByTheShareOfLostValue() {
        fixture.workload.lateImportance = 0.3;
        Dispatcher dispatcher = fixture.createWithRunners(2);
        dispatcher.waitPerLoad = 1;
        Request request = fixture.newRequest();
        for (double draw : new double[] {0.2, 0.4}) {
            request.randomDraw = draw;
            dispatcher.probing.observedLambda = 0.9;
            assertFalse(dispatcher.isLate(DispatcherFixture.at(0), request, dispatcher.runners.get(0), 9));
            dispatcher.probing.observedLambda = 0.99;
            assertEquals(draw > 0.3, dispatcher.isLate(DispatcherFixture.at(0), request, dispatcher.runners.get(0), 9));
        }
    }

    @Test
    void unrestrictedWorkYieldsToValuableRestrictedWorkAndKeysGoToTheirHomes() {
        Workload restricted = new Workload();
        restricted.importance = 3;
        restricted.machineTypes.add("any");
        fixture.settings.workloads.add(restricted);
        fixture.settings.importanceByWork = true;
        fixture.createWithRunners(9);
        Runner other = new Runner();
        Runner home = new Runner();
        for (home.hash = 1; !Keys.isHome(7, home.hash, 0.01); home.hash++) {
            assertFalse(Keys.isHome(7, home.hash, 0));
        }
        fixture.dispatcher.onRunnerList(
                DispatcherFixture.at(1),
                List.of(
                        new RunnerListEntry(other, "other", "here", 1, Runner.Mode.READY, 0, null),
                        new RunnerListEntry(home, "any", "here", 1, Runner.Mode.READY, 0, null)),
                false,
                false);
        fixture.sendRequest(fixture.newRequest());
        assertSame(other, fixture.probes.get(0));
        restricted.importance = 0.5;
        Request request = fixture.newRequest();
        request.affinityKey = 7;
        fixture.sendRequest(request);
        assertTrue(Keys.isHome(7, fixture.probes.get(1).hash, 0.6));
    }

    private static LoadReport inFlightReport(double inFlight, double free) {
        return new LoadReport(Double.NaN, inFlight, free, Double.NaN, Double.NaN);
    }
}
