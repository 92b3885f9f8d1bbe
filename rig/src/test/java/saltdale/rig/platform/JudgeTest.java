package saltdale.rig.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import saltdale.rig.platform.Judge.Rule;

/** Each rule by the least that breaks it, and beside it what does not. */
class JudgeTest {
    private final Deployment deployment = Deployment.small(77, 3, 3);
    private final Judge judge = new Judge(deployment.bounds());
    private final Route unrepeatable = deployment.routes().get(0);
    private final Route repeatable = deployment.routes().get(1);
    private final Route moved = deployment.routes().get(deployment.routes().size() - 2);

    @BeforeEach
    void theFirstConfiguration() {
        judge.recordChangeAcknowledged(at(0), judge.recordChangeSent(deployment.routes()));
    }

    private static Duration at(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void sent(double when, String id, Route route) {
        judge.recordTrySent(at(when), id, route, "GET /x ", "p");
    }

    private void ran(double when, String id, String service, String seal) {
        judge.recordRun(at(when), id, service, seal, "GET /x ", true);
    }

    private void only(Rule rule, int times) {
        assertThat(judge.breachMessages().toString(), judge.breachCount(), is(times));
        assertThat(judge.breachCount(rule), is(times));
    }

    @Test
    void aRunItsSealAndItsBodyAreAsTheyShouldBe() {
        sent(1, "a", unrepeatable);
        ran(1, "a", unrepeatable.service(), "s1");
        judge.recordAnswer(at(1), "a", 200, "s1", "a", Judge.bodyFor("s1"));
        only(Rule.MIXED, 0);
    }

    @Test
    void twiceIsOnlyOfWhatMayNotBeRepeated() {
        sent(1, "a", repeatable);
        ran(1, "a", repeatable.service(), "s1");
        ran(1, "a", repeatable.service(), "s2");
        only(Rule.TWICE, 0);
        sent(1, "b", unrepeatable);
        ran(1, "b", unrepeatable.service(), "s3");
        ran(1, "b", unrepeatable.service(), "s4");
        only(Rule.TWICE, 1);
    }

    @Test
    void successesAreMixedByTheirSealTheirBodyAndTheRunnersFailure() {
        sent(1, "a", repeatable);
        sent(1, "b", repeatable);
        ran(1, "a", repeatable.service(), "s1");
        judge.recordRun(at(1), "b", repeatable.service(), "s2", "GET /x ", false);
        judge.recordAnswer(at(1), "a", 200, null, null, Judge.bodyFor("s1"));
        judge.recordAnswer(at(1), "b", 200, "s1", null, Judge.bodyFor("s1"));
        judge.recordAnswer(at(1), "a", 200, "s1", null, Judge.bodyFor("s2"));
        judge.recordAnswer(at(1), "b", 200, "s2", null, Judge.bodyFor("s2"));
        judge.recordAnswer(at(1), "a", 502, null, "b", new byte[0]);
        only(Rule.MIXED, 5);
    }

    @Test
    void bytesThatAreNoAnswerAreTheRunnersWhereItBrokeOff() {
        sent(1, "a", repeatable);
        judge.expectBrokenAnswer("a");
        judge.recordMalformedAnswer(at(1), "a");
        only(Rule.MIXED, 0);
        sent(1, "b", repeatable);
        judge.recordMalformedAnswer(at(1), "b");
        judge.recordMalformedAnswer(at(1), null);
        only(Rule.MIXED, 2);
    }

    @Test
    void aRefusalIsAPromiseWhetherTheRunComesBeforeOrAfter() {
        sent(1, "a", unrepeatable);
        judge.recordAnswer(at(1), "a", 503, null, null, new byte[0]);
        only(Rule.REFUSED, 0);
        ran(1.1, "a", unrepeatable.service(), "s1");
        only(Rule.REFUSED, 1);
        sent(1, "b", unrepeatable);
        ran(1, "b", unrepeatable.service(), "s2");
        judge.recordAnswer(at(1), "b", 429, null, null, new byte[0]);
        only(Rule.REFUSED, 2);
        sent(1, "c", unrepeatable);
        ran(1, "c", unrepeatable.service(), "s3");
        judge.recordAnswer(at(1), "c", 504, null, null, new byte[0]);
        only(Rule.REFUSED, 2);
    }

    @Test
    void aServiceRunsOnlyWhatSomeConfigurationSendsIt() {
        sent(1, "a", repeatable);
        ran(1, "a", unrepeatable.service(), "s1");
        only(Rule.ROUTE, 1);
    }

    @Test
    void theOldServiceMayRunUntilTheNewVersionHasHadItsTime() {
        judge.recordChangeAcknowledged(at(10), judge.recordChangeSent(deployment.amendedRoutes()));
        sent(12.9, "a", moved);
        ran(14, "a", moved.service(), "s1");
        sent(13.1, "b", moved);
        ran(13.2, "b", "press-2", "s2");
        only(Rule.CONFIG, 0);
        sent(13.1, "c", moved);
        ran(13.2, "c", moved.service(), "s3");
        only(Rule.CONFIG, 1);
    }

    @Test
    void aMachineOutOfTouchMayLagBehind() {
        judge.recordChangeAcknowledged(at(10), judge.recordChangeSent(deployment.amendedRoutes()));
        judge.beginDisturbance("p", at(12));
        sent(13.1, "a", moved);
        ran(13.2, "a", moved.service(), "s1");
        only(Rule.CONFIG, 0);
        sent(16.1, "b", moved);
        ran(16.2, "b", moved.service(), "s2");
        only(Rule.CONFIG, 1);
    }

    @Test
    void moreThanTheSlackTurnedAwayWithinFiveSecondsIsALimitBroken() {
        for (int i = 0; i < 30; i++) {
            judge.recordRejectedAsFull(at(i * 0.6), "press-1");
        }
        only(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(30 + i * 0.4), i % 2 == 0 ? "press-1" : "press-2");
        }
        only(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(40 + i * 0.4), "press-1");
        }
        only(Rule.LIMIT, 1);
    }

    @Test
    void theLimitIsNotCountedInTroubleNorShortlyAfter() {
        judge.beginDisturbance("p", at(20));
        judge.endDisturbance("p", at(10));
        for (int i = 0; i < 40; i++) {
            judge.recordRejectedAsFull(at(10 + i * 0.1), "press-1");
        }
        only(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(14 + i * 0.1), "press-1");
        }
        only(Rule.LIMIT, 1);
    }

    @Test
    void whatIsRunWasAskedForAndUnchanged() {
        ran(1, "nobody's", repeatable.service(), "s1");
        sent(1, "a", repeatable);
        judge.recordRun(at(1), "a", repeatable.service(), "s2", "GET /y ", true);
        only(Rule.UNASKED, 2);
    }

    @Test
    void someProperRequestsMayBeDenied() {
        for (int i = 0; i < 5; i++) {
            sent(1, "a" + i, repeatable);
            judge.recordAnswer(at(1), "a" + i, 404, null, null, new byte[0]);
        }
        only(Rule.DENIED, 0);
        sent(1, "b", repeatable);
        judge.recordAnswer(at(1), "b", 400, null, null, new byte[0]);
        only(Rule.DENIED, 1);
    }
}
