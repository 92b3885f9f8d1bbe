package saltdale.rig.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import saltdale.rig.platform.Judge.Rule;

/** Tests each rule with a minimal breach, and with a similar case that is no breach. */
class JudgeTest {
    private final Deployment deployment = Deployment.small(77, 3, 3);
    private final Judge judge = new Judge(deployment.bounds());
    private final Route nonIdempotent = deployment.routes().get(0);
    private final Route idempotent = deployment.routes().get(1);
    private final Route movedRoute = deployment.routes().get(deployment.routes().size() - 2);

    @BeforeEach
    void acknowledgeFirstConfiguration() {
        judge.recordChangeAcknowledged(at(0), judge.recordChangeSent(deployment.routes()));
    }

    private static Duration at(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private void recordTry(double seconds, String id, Route route) {
        judge.recordTrySent(at(seconds), id, route, "GET /x ", "p");
    }

    private void recordRun(double seconds, String id, String service, String seal) {
        judge.recordRun(at(seconds), id, service, seal, "GET /x ", true);
    }

    private void assertOnlyBreaches(Rule rule, int count) {
        assertThat(judge.breachMessages().toString(), judge.breachCount(), is(count));
        assertThat(judge.breachCount(rule), is(count));
    }

    @Test
    void acceptsSuccessWithTheSealAndBodyOfItsRun() {
        recordTry(1, "a", nonIdempotent);
        recordRun(1, "a", nonIdempotent.service(), "s1");
        judge.recordAnswer(at(1), "a", 200, "s1", "a", Judge.bodyFor("s1"));
        assertOnlyBreaches(Rule.MIXED, 0);
    }

    @Test
    void secondRunIsABreachForNonIdempotentRequestsOnly() {
        recordTry(1, "a", idempotent);
        recordRun(1, "a", idempotent.service(), "s1");
        recordRun(1, "a", idempotent.service(), "s2");
        assertOnlyBreaches(Rule.TWICE, 0);
        recordTry(1, "b", nonIdempotent);
        recordRun(1, "b", nonIdempotent.service(), "s3");
        recordRun(1, "b", nonIdempotent.service(), "s4");
        assertOnlyBreaches(Rule.TWICE, 1);
    }

    @Test
    void successWithForeignSealForeignBodyOrFailedRunIsMixed() {
        recordTry(1, "a", idempotent);
        recordTry(1, "b", idempotent);
        recordRun(1, "a", idempotent.service(), "s1");
        judge.recordRun(at(1), "b", idempotent.service(), "s2", "GET /x ", false);
        judge.recordAnswer(at(1), "a", 200, null, null, Judge.bodyFor("s1"));
        judge.recordAnswer(at(1), "b", 200, "s1", null, Judge.bodyFor("s1"));
        judge.recordAnswer(at(1), "a", 200, "s1", null, Judge.bodyFor("s2"));
        judge.recordAnswer(at(1), "b", 200, "s2", null, Judge.bodyFor("s2"));
        judge.recordAnswer(at(1), "a", 502, null, "b", new byte[0]);
        assertOnlyBreaches(Rule.MIXED, 5);
    }

    @Test
    void malformedAnswerIsABreachUnlessTheRunnerBrokeItOff() {
        recordTry(1, "a", idempotent);
        judge.expectBrokenAnswer("a");
        judge.recordMalformedAnswer(at(1), "a");
        assertOnlyBreaches(Rule.MIXED, 0);
        recordTry(1, "b", idempotent);
        judge.recordMalformedAnswer(at(1), "b");
        judge.recordMalformedAnswer(at(1), null);
        assertOnlyBreaches(Rule.MIXED, 2);
    }

    @Test
    void refusedRequestMayNotRunBeforeOrAfterTheRefusal() {
        recordTry(1, "a", nonIdempotent);
        judge.recordAnswer(at(1), "a", 503, null, null, new byte[0]);
        assertOnlyBreaches(Rule.REFUSED, 0);
        recordRun(1.1, "a", nonIdempotent.service(), "s1");
        assertOnlyBreaches(Rule.REFUSED, 1);
        recordTry(1, "b", nonIdempotent);
        recordRun(1, "b", nonIdempotent.service(), "s2");
        judge.recordAnswer(at(1), "b", 429, null, null, new byte[0]);
        assertOnlyBreaches(Rule.REFUSED, 2);
        recordTry(1, "c", nonIdempotent);
        recordRun(1, "c", nonIdempotent.service(), "s3");
        judge.recordAnswer(at(1), "c", 504, null, null, new byte[0]);
        assertOnlyBreaches(Rule.REFUSED, 2);
    }

    @Test
    void serviceMayRunOnlyRequestsRoutedToItBySomeConfiguration() {
        recordTry(1, "a", idempotent);
        recordRun(1, "a", nonIdempotent.service(), "s1");
        assertOnlyBreaches(Rule.ROUTE, 1);
    }

    @Test
    void oldServiceMayRunUntilTheNewVersionHasToBeInForce() {
        judge.recordChangeAcknowledged(at(10), judge.recordChangeSent(deployment.amendedRoutes()));
        recordTry(12.9, "a", movedRoute);
        recordRun(14, "a", movedRoute.service(), "s1");
        recordTry(13.1, "b", movedRoute);
        recordRun(13.2, "b", "press-2", "s2");
        assertOnlyBreaches(Rule.CONFIG, 0);
        recordTry(13.1, "c", movedRoute);
        recordRun(13.2, "c", movedRoute.service(), "s3");
        assertOnlyBreaches(Rule.CONFIG, 1);
    }

    @Test
    void machineOutOfContactMayUseAnOlderVersion() {
        judge.recordChangeAcknowledged(at(10), judge.recordChangeSent(deployment.amendedRoutes()));
        judge.beginDisturbance("p", at(12));
        recordTry(13.1, "a", movedRoute);
        recordRun(13.2, "a", movedRoute.service(), "s1");
        assertOnlyBreaches(Rule.CONFIG, 0);
        recordTry(16.1, "b", movedRoute);
        recordRun(16.2, "b", movedRoute.service(), "s2");
        assertOnlyBreaches(Rule.CONFIG, 1);
    }

    @Test
    void moreFullRejectionsThanTheSlackWithinFiveSecondsBreakTheLimit() {
        for (int i = 0; i < 30; i++) {
            judge.recordRejectedAsFull(at(i * 0.6), "press-1");
        }
        assertOnlyBreaches(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(30 + i * 0.4), i % 2 == 0 ? "press-1" : "press-2");
        }
        assertOnlyBreaches(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(40 + i * 0.4), "press-1");
        }
        assertOnlyBreaches(Rule.LIMIT, 1);
    }

    @Test
    void limitDoesNotApplyDuringADisturbanceNorShortlyAfterIt() {
        judge.beginDisturbance("p", at(20));
        judge.endDisturbance("p", at(10));
        for (int i = 0; i < 40; i++) {
            judge.recordRejectedAsFull(at(10 + i * 0.1), "press-1");
        }
        assertOnlyBreaches(Rule.LIMIT, 0);
        for (int i = 0; i < 11; i++) {
            judge.recordRejectedAsFull(at(14 + i * 0.1), "press-1");
        }
        assertOnlyBreaches(Rule.LIMIT, 1);
    }

    @Test
    void runWithoutAMatchingSentRequestIsABreach() {
        recordRun(1, "nobody's", idempotent.service(), "s1");
        recordTry(1, "a", idempotent);
        judge.recordRun(at(1), "a", idempotent.service(), "s2", "GET /y ", true);
        assertOnlyBreaches(Rule.UNASKED, 2);
    }

    @Test
    void toleratesAFewDeniedValidRequests() {
        for (int i = 0; i < 5; i++) {
            recordTry(1, "a" + i, idempotent);
            judge.recordAnswer(at(1), "a" + i, 404, null, null, new byte[0]);
        }
        assertOnlyBreaches(Rule.DENIED, 0);
        recordTry(1, "b", idempotent);
        judge.recordAnswer(at(1), "b", 400, null, null, new byte[0]);
        assertOnlyBreaches(Rule.DENIED, 1);
    }
}
