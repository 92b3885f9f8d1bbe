package saltdale.rig.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltdale.model.Workload;

/** What is no fault of a dispatcher that was stopped, or whose way was disturbed; and what still is. */
class JudgeTest {
    private final Workload pure = new Workload();
    private final Judge judge = new Judge(
            new JudgeSettings(
                    ms(0),
                    ms(500),
                    ms(50),
                    false,
                    false,
                    2,
                    ms(1000),
                    1,
                    new String[] {"a", "b"},
                    new String[] {"any", "any"},
                    new int[] {0, 0}),
            ms(5000));

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private void asked(long at, String id) {
        judge.requestSent(ms(at), id, pure, 0, ms(1000));
    }

    private void reached(long at, String id, int runner) {
        judge.attemptReceived(ms(at), ms(at), id, runner, 0, 1);
    }

    private void found(Map<Violation.Kind, Long> wanted) {
        judge.finish();
        assertEquals(wanted, judge.countsByKind());
    }

    @Test
    void whatEndedWhileItWasStoppedIsExcusedAndWhatCameLaterIsNot() {
        asked(0, "a");
        judge.dispatcherPaused(ms(500), 0);
        asked(600, "b");
        judge.dispatcherResumed(ms(3000), 0);
        asked(3000, "c");
        found(Map.of(Violation.Kind.LOST, 1L));
    }

    @Test
    void whatAStoppedOneWasToldCountsFromWhenItGoesOn() {
        judge.dispatcherPaused(ms(0), 0);
        judge.listEntryReceived(ms(100), 0, 1, EventObserver.ListedHealth.DRAINING, null);
        judge.dispatcherResumed(ms(3000), 0);
        asked(3100, "a");
        reached(3200, "a", 1);
        judge.answerReceived(ms(3300), "a", EventObserver.FinalAnswer.SHED, null);
        asked(3600, "b");
        reached(3700, "b", 1);
        judge.answerReceived(ms(3800), "b", EventObserver.FinalAnswer.SHED, null);
        found(Map.of(Violation.Kind.SENT_TO_DRAINING, 1L));
    }

    @Test
    void aCopyIsNoFaultOnlyOnADisturbedWay() {
        asked(0, "a");
        reached(10, "a", 0);
        judge.linkChanged(ms(20), 0, 0, false); // it can't be called off there
        reached(30, "a", 1);
        judge.answerReceived(ms(40), "a", EventObserver.FinalAnswer.SHED, null);
        judge.linkChanged(ms(50), 0, 0, true);
        asked(3000, "b");
        reached(3010, "b", 0);
        reached(3020, "b", 1);
        judge.answerReceived(ms(3040), "b", EventObserver.FinalAnswer.SHED, null);
        found(Map.of(Violation.Kind.TWO_OUT, 1L));
    }

    @Test
    void newConnectionsClosedWithNoAnswerAreBorneOnceInTwoHundred() {
        for (int i = 0; i < 400; i++) {
            asked(i, "a" + i);
            if (i < 2) {
                judge.newConnectionClosed(ms(i), "a" + i);
            } else {
                judge.answerReceived(ms(i), "a" + i, EventObserver.FinalAnswer.SHED, null);
            }
        }
        judge.requestSent(ms(600), "killed", pure, 1, ms(1000));
        judge.newConnectionClosed(ms(600), "killed");
        judge.dispatcherKilled(ms(601), 1); // heard after it, as it may be
        found(Map.of());
        asked(1000, "b");
        judge.newConnectionClosed(ms(1000), "b");
        found(Map.of(Violation.Kind.LOST, 1L));
    }
}
