package saltdale.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.protocol.HostListUpdate;
import saltdale.transport.ConnectionPool;

class FleetTest {
    private static final Duration START = Duration.ZERO;

    private final Fleet fleet = new Fleet(
            address -> new ConnectionPool(null, null, address, START, START), 1_000_000, Duration.ofSeconds(10));

    private static HostListUpdate list(boolean whole, String host) {
        return HostListUpdate.parse(
                ("{\"seq\":1,\"whole\":" + whole + ",\"hosts\":[" + host + "]}").getBytes(StandardCharsets.UTF_8));
    }

    private static String host(String name, String dial, String health, long born) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + dial + "\",\"health\":\"" + health + "\",\"born_ms\":" + born
                + "}";
    }

    @Test
    void aRunnerKeepsItsRecordWhenItsAddressChanges() {
        RunnerListEntry first = fleet.sightings(START, list(true, host("s-1", "10.0.0.1:1", "up", 0)))
                .get(0);
        ConnectionPool pool = fleet.of(first.runner()).pool;
        fleet.sightings(START, list(false, host("s-1", "10.0.0.1:1", "draining", 0)));
        assertSame(pool, fleet.named("s-1").pool);
        RunnerListEntry moved = fleet.sightings(START, list(false, host("s-1", "10.0.0.2:1", "up", 0)))
                .get(0);
        assertSame(first.runner(), moved.runner());
        assertNotSame(pool, fleet.named("s-1").pool);
    }

    @Test
    void birthsAreUnixTimeAndBecomeSpansSinceTheStart() {
        RunnerListEntry old = fleet.sightings(START, list(true, host("s-1", "10.0.0.1:1", "up", 0)))
                .get(0);
        assertNull(old.startedAt());
        RunnerListEntry born = fleet.sightings(START, list(false, host("s-1", "10.0.0.1:1", "up", 999_000)))
                .get(0);
        assertEquals(Duration.ofSeconds(-1), born.startedAt());
    }

    @Test
    void removedRunnersAreToldOfAndForgottenAfterAWhile() {
        fleet.sightings(START, list(true, host("s-1", "10.0.0.1:1", "up", 0)));
        List<RunnerListEntry> removed = fleet.sightings(START, list(false, host("s-1", "10.0.0.1:1", "removed", 0)));
        assertEquals(Runner.Mode.GONE, removed.get(0).mode());
        fleet.sightings(Duration.ofSeconds(10), list(false, ""));
        assertSame(removed.get(0).runner(), fleet.named("s-1").runner);
        removed.get(0).runner().mode = Runner.Mode.READY;
        fleet.sightings(Duration.ofSeconds(60), list(false, ""));
        assertSame(removed.get(0).runner(), fleet.named("s-1").runner, "the dispatcher counts on it");
        removed.get(0).runner().mode = Runner.Mode.GONE;
        fleet.sightings(Duration.ofSeconds(11), list(false, ""));
        assertNull(fleet.named("s-1"));
        assertNull(fleet.of(removed.get(0).runner()));
    }

    @Test
    void aRunnerWithoutAnAddressIsPassedOver() {
        assertTrue(fleet.sightings(START, list(true, host("s-1", "a-name:1", "up", 0)))
                .isEmpty());
        assertTrue(fleet.sightings(START, list(false, host("s-2", "10.0.0.1:1", "removed", 0)))
                .isEmpty());
    }
}
