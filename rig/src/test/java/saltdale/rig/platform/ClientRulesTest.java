package saltdale.rig.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which front clients connect to, and when they retry. */
class ClientRulesTest {
    private static final Duration REMAINING = Duration.ofSeconds(3);

    private static Duration delayAfterFirstTry(boolean idempotent, int status, boolean notSent) {
        return RetryPolicy.delayBeforeNextTry(idempotent, 1, status, notSent, null, REMAINING);
    }

    @Test
    void retriesNonIdempotentRequestsOnlyIfTheyWereNotExecuted() {
        assertThat(delayAfterFirstTry(false, 503, false), notNullValue());
        assertThat(delayAfterFirstTry(false, 421, false), notNullValue());
        assertThat(delayAfterFirstTry(false, 0, true), notNullValue());
        assertThat(delayAfterFirstTry(false, 0, false), nullValue());
        assertThat(delayAfterFirstTry(false, 502, false), nullValue());
        assertThat(delayAfterFirstTry(true, 502, false), notNullValue());
        assertThat(delayAfterFirstTry(true, 0, false), notNullValue());
        for (int status : List.of(200, 400, 401, 404, 413, 431)) {
            assertThat(delayAfterFirstTry(true, status, false), nullValue());
        }
        assertThat(RetryPolicy.delayBeforeNextTry(true, 3, 503, false, null, REMAINING), nullValue());
    }

    @Test
    void honoursRetryAfterUpToAThirdOfTheRemainingTime() {
        assertThat(
                RetryPolicy.delayBeforeNextTry(true, 1, 503, false, Duration.ofMillis(700), REMAINING),
                is(Duration.ofMillis(700)));
        assertThat(
                RetryPolicy.delayBeforeNextTry(true, 1, 503, false, Duration.ofSeconds(9), REMAINING),
                is(Duration.ofSeconds(1)));
    }

    @Test
    void frontLeavesRotationAfterTwoMissedProbesAndFurtherTriesReachOtherFronts() {
        Deployment deployment = Deployment.small(77, 6, 3);
        EntryPoint entryPoint = new EntryPoint(deployment.proxies());
        deployment.proxies().forEach(front -> entryPoint.recordProbe(front, true));
        Machine first = entryPoint.choose("north", 0, 0);
        assertThat(first.zone(), equalTo("north"));
        assertThat(entryPoint.choose("north", 0, 1), not(equalTo(first)));
        entryPoint.recordProbe(first, false);
        assertThat(entryPoint.isInRotation(first), is(true));
        entryPoint.recordProbe(first, false);
        assertThat(entryPoint.choose("north", 0, 0), not(equalTo(first)));
        assertThat(entryPoint.choose("north", 0, 0).zone(), equalTo("north"));
        deployment.proxies().stream()
                .filter(front -> front.zone().equals("north"))
                .forEach(front -> {
                    entryPoint.recordProbe(front, false);
                    entryPoint.recordProbe(front, false);
                });
        assertThat(entryPoint.choose("north", 0, 0).zone(), not(equalTo("north")));
        entryPoint.recordProbe(first, true);
        assertThat(entryPoint.choose("north", 0, 0).zone(), equalTo("north"));
    }
}
