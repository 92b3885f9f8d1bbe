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
        return Retrying.next(idempotent, 1, status, unread, null, LEFT);
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
        assertThat(Retrying.next(true, 3, 503, false, null, LEFT), nullValue());
    }

    @Test
    void retryAfterIsHonouredUpToAThirdOfTheTimeLeft() {
        assertThat(Retrying.next(true, 1, 503, false, Duration.ofMillis(700), LEFT), is(Duration.ofMillis(700)));
        assertThat(Retrying.next(true, 1, 503, false, Duration.ofSeconds(9), LEFT), is(Duration.ofSeconds(1)));
    }

    @Test
    void aFrontThatMissesTwiceGetsNoConnectionsAndFurtherTriesReachOthers() {
        Site site = Site.small(77, 6, 3);
        EntryPoint entry = new EntryPoint(site.proxies());
        site.proxies().forEach(front -> entry.probed(front, true));
        Machine first = entry.choose("north", 0, 0);
        assertThat(first.zone(), equalTo("north"));
        assertThat(entry.choose("north", 0, 1), not(equalTo(first)));
        entry.probed(first, false);
        assertThat(entry.isIn(first), is(true));
        entry.probed(first, false);
        assertThat(entry.choose("north", 0, 0), not(equalTo(first)));
        assertThat(entry.choose("north", 0, 0).zone(), equalTo("north"));
        site.proxies().stream().filter(front -> front.zone().equals("north")).forEach(front -> {
            entry.probed(front, false);
            entry.probed(front, false);
        });
        assertThat(entry.choose("north", 0, 0).zone(), not(equalTo("north")));
        entry.probed(first, true);
        assertThat(entry.choose("north", 0, 0).zone(), equalTo("north"));
    }
}
