package saltdale.rig.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import saltdale.model.Workload;

/** Which events are excused for paused or killed dispatchers and disturbed links, and which are violations. */
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

    private void sendRequest(long at, String id) {
        judge.requestSent(ms(at), id, pure, 0, ms(1000));
    }

    private void receiveAttempt(long at, String id, int runner) {
        judge.attemptReceived(ms(at), ms(at), id, runner, 0, 1);
    }

    private void assertViolations(Map<Violation.Kind, Long> expected) {
        judge.finish();
        assertEquals(expected, judge.countsByKind());
    }

    @Test
    void requestsDuringAPauseAreExcusedAndLaterOnesAreNot() {
        sendRequest(0, "a");
        judge.dispatcherPaused(ms(500), 0);
        sendRequest(600, "b");
        judge.dispatcherResumed(ms(3000), ms(3000), 0);
        sendRequest(3000, "c");
        assertViolations(Map.of(Violation.Kind.LOST, 1L));
    }

    /** Guards against a late answer reported of a dispatcher that answers before its resume is recorded. */
    @Test
    void answersRightAfterAResumeAreExcused() {
        EventRecorder recorder = new EventRecorder();
        sendRequest(0, "a");
        recorder.dispatcherPaused(ms(500), 0);
        recorder.answerReceived(ms(3010), "a", EventObserver.FinalAnswer.SHED, null);
        recorder.dispatcherResumed(ms(3000), ms(3050), 0);
        recorder.replayTo(judge);
        assertViolations(Map.of());
    }

    @Test
    void listEntriesSentDuringAPauseCountFromItsEnd() {
        judge.dispatcherPaused(ms(0), 0);
        judge.listEntryReceived(ms(100), 0, 1, EventObserver.ListedHealth.DRAINING, null);
        judge.dispatcherResumed(ms(3000), ms(3000), 0);
        sendRequest(3100, "a");
        receiveAttempt(3200, "a", 1);
        judge.answerReceived(ms(3300), "a", EventObserver.FinalAnswer.SHED, null);
        sendRequest(3600, "b");
        receiveAttempt(3700, "b", 1);
        judge.answerReceived(ms(3800), "b", EventObserver.FinalAnswer.SHED, null);
        assertViolations(Map.of(Violation.Kind.SENT_TO_DRAINING, 1L));
    }

    @Test
    void secondAttemptIsExcusedOnADisturbedLinkOnly() {
        sendRequest(0, "a");
        receiveAttempt(10, "a", 0);
        judge.linkChanged(ms(20), 0, 0, false); // the attempt can't be cancelled there
        receiveAttempt(30, "a", 1);
        judge.answerReceived(ms(40), "a", EventObserver.FinalAnswer.SHED, null);
        judge.linkChanged(ms(50), 0, 0, true);
        sendRequest(3000, "b");
        receiveAttempt(3010, "b", 0);
        receiveAttempt(3020, "b", 1);
        judge.answerReceived(ms(3040), "b", EventObserver.FinalAnswer.SHED, null);
        assertViolations(Map.of(Violation.Kind.TWO_OUT, 1L));
    }

    @Test
    void oneClosedNewConnectionInTwoHundredIsAllowed() {
        for (int i = 0; i < 400; i++) {
            sendRequest(i, "a" + i);
            if (i < 2) {
                judge.newConnectionClosed(ms(i), "a" + i);
            } else {
                judge.answerReceived(ms(i), "a" + i, EventObserver.FinalAnswer.SHED, null);
            }
        }
        judge.requestSent(ms(600), "killed", pure, 1, ms(1000));
        judge.newConnectionClosed(ms(600), "killed");
        judge.dispatcherKilled(ms(601), 1); // reported after the closed connection, as it can happen
        assertViolations(Map.of());
        sendRequest(1000, "b");
        judge.newConnectionClosed(ms(1000), "b");
        assertViolations(Map.of(Violation.Kind.LOST, 1L));
    }
}
