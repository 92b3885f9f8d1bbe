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

/** Where clients connect, and when they try again. */
class ClientRulesTest {
    private static final Duration LEFT = Duration.ofSeconds(3);

    private static Duration next(boolean idempotent, int status, boolean unread) {
        return RetryPolicy.delayBeforeNextTry(idempotent, 1, status, unread, null, LEFT);
    }

    @Test
    void whatMayNotBeRepeatedIsTriedAgainOnlyAfterAPromiseOrUnread() {
        assertThat(next(false, 503, false), notNullValue());
        assertThat(next(false, 421, false), notNullValue());
        assertThat(next(false, 0, true), notNullValue());
        assertThat(next(false, 0, false), nullValue());
        assertThat(next(false, 502, false), nullValue());
        assertThat(next(true, 502, false), notNullValue());
        assertThat(next(true, 0, false), notNullValue());
        for (int status : List.of(200, 400, 401, 404, 413, 431)) {
            assertThat(next(true, status, false), nullValue());
        }
        assertThat(RetryPolicy.delayBeforeNextTry(true, 3, 503, false, null, LEFT), nullValue());
    }

    @Test
    void retryAfterIsHonouredUpToAThirdOfTheTimeLeft() {
        assertThat(
                RetryPolicy.delayBeforeNextTry(true, 1, 503, false, Duration.ofMillis(700), LEFT),
                is(Duration.ofMillis(700)));
        assertThat(
                RetryPolicy.delayBeforeNextTry(true, 1, 503, false, Duration.ofSeconds(9), LEFT),
                is(Duration.ofSeconds(1)));
    }

    @Test
    void aFrontThatMissesTwiceGetsNoConnectionsAndFurtherTriesReachOthers() {
        Deployment deployment = Deployment.small(77, 6, 3);
        EntryPoint entry = new EntryPoint(deployment.proxies());
        deployment.proxies().forEach(front -> entry.recordProbe(front, true));
        Machine first = entry.choose("north", 0, 0);
        assertThat(first.zone(), equalTo("north"));
        assertThat(entry.choose("north", 0, 1), not(equalTo(first)));
        entry.recordProbe(first, false);
        assertThat(entry.isInRotation(first), is(true));
        entry.recordProbe(first, false);
        assertThat(entry.choose("north", 0, 0), not(equalTo(first)));
        assertThat(entry.choose("north", 0, 0).zone(), equalTo("north"));
        deployment.proxies().stream()
                .filter(front -> front.zone().equals("north"))
                .forEach(front -> {
                    entry.recordProbe(front, false);
                    entry.recordProbe(front, false);
                });
        assertThat(entry.choose("north", 0, 0).zone(), not(equalTo("north")));
        entry.recordProbe(first, true);
        assertThat(entry.choose("north", 0, 0).zone(), equalTo("north"));
    }
}
