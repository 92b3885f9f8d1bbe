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

class RunnerRegistryTest {
    private static final Duration EPOCH = Duration.ZERO;

    private final RunnerRegistry registry = new RunnerRegistry(
            address -> new ConnectionPool(null, null, address, EPOCH, EPOCH), 1_000_000, Duration.ofSeconds(10));

    private static HostListUpdate list(boolean complete, String hostJson) {
        return HostListUpdate.parse(("{\"seq\":1,\"whole\":" + complete + ",\"hosts\":[" + hostJson + "]}")
                .getBytes(StandardCharsets.UTF_8));
    }

    private static String host(String name, String address, String health, long startedUnixMillis) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"health\":\"" + health + "\",\"born_ms\":"
                + startedUnixMillis + "}";
    }

    @Test
    void keepsTheRunnerWhenItsAddressChanges() {
        RunnerListEntry first = registry.update(EPOCH, list(true, host("s-1", "10.0.0.1:1", "up", 0)))
                .get(0);
        ConnectionPool pool = registry.endpointOf(first.runner()).pool;
        registry.update(EPOCH, list(false, host("s-1", "10.0.0.1:1", "draining", 0)));
        assertSame(pool, registry.endpointNamed("s-1").pool);
        RunnerListEntry moved = registry.update(EPOCH, list(false, host("s-1", "10.0.0.2:1", "up", 0)))
                .get(0);
        assertSame(first.runner(), moved.runner());
        assertNotSame(pool, registry.endpointNamed("s-1").pool);
    }

    @Test
    void convertsStartTimesFromUnixTimeToTheLoopClock() {
        RunnerListEntry withoutStart = registry.update(EPOCH, list(true, host("s-1", "10.0.0.1:1", "up", 0)))
                .get(0);
        assertNull(withoutStart.startedAt());
        RunnerListEntry withStart = registry.update(EPOCH, list(false, host("s-1", "10.0.0.1:1", "up", 999_000)))
                .get(0);
        assertEquals(Duration.ofSeconds(-1), withStart.startedAt());
    }

    @Test
    void reportsRemovedRunnersAndForgetsThemAfterTheRetention() {
        registry.update(EPOCH, list(true, host("s-1", "10.0.0.1:1", "up", 0)));
        List<RunnerListEntry> removed = registry.update(EPOCH, list(false, host("s-1", "10.0.0.1:1", "removed", 0)));
        assertEquals(Runner.Mode.GONE, removed.get(0).mode());
        registry.update(Duration.ofSeconds(10), list(false, ""));
        assertSame(removed.get(0).runner(), registry.endpointNamed("s-1").runner);
        removed.get(0).runner().mode = Runner.Mode.READY;
        registry.update(Duration.ofSeconds(60), list(false, ""));
        assertSame(
                removed.get(0).runner(),
                registry.endpointNamed("s-1").runner,
                "a runner that the dispatcher still uses is kept");
        removed.get(0).runner().mode = Runner.Mode.GONE;
        registry.update(Duration.ofSeconds(11), list(false, ""));
        assertNull(registry.endpointNamed("s-1"));
        assertNull(registry.endpointOf(removed.get(0).runner()));
    }

    @Test
    void skipsUnknownRunnersThatAreRemovedOrLackANumericAddress() {
        assertTrue(registry.update(EPOCH, list(true, host("s-1", "a-name:1", "up", 0)))
                .isEmpty());
        assertTrue(registry.update(EPOCH, list(false, host("s-2", "10.0.0.1:1", "removed", 0)))
                .isEmpty());
    }
}
