package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.servingCluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import saltdale.control.Counter;

/**
 * Guards against the incident CONFIG of issue 52. Control nodes are replaced one after the other, each by a new one at
 * another address; meanwhile connected proxies must apply acknowledged configurations in time. A proxy that cannot know
 * the current configuration must not deny a route.
 */
class ControlNodeReplacementTest {
    private static final int ROUNDS = 8;
    private static final long TERMINATION_GRACE_MS = 6000;

    /** Replaces the oldest control node; in odd rounds as a planned replacement that starts the successor first. */
    private static void replaceOldest(SimWorld world, int round) {
        SimMachine replaced = world.controlNodes.get(0);
        List<String> seeds = world.controlNodes.stream()
                .skip(1)
                .limit(3)
                .map(machine -> machine.host)
                .toList();
        SimMachine successor = world.controlNode("10.0.1." + round, seeds, false);
        if (round % 2 == 0) {
            replaced.wipe();
            remove(world, replaced);
            world.run(500);
            successor.start();
        } else {
            successor.start();
            world.run(1500);
            replaced.terminate(TERMINATION_GRACE_MS, () -> remove(world, replaced));
            world.runUntil(TERMINATION_GRACE_MS + 100, () -> !world.controlNodes.contains(replaced));
        }
    }

    private static void remove(SimWorld world, SimMachine machine) {
        world.controlNodes.remove(machine);
        world.machines.remove(machine.host);
    }

    @Test
    void connectedProxiesStayUpToDateWhileControlNodesAreReplaced() {
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < 8; seed++) {
            SimWorld world = servingCluster(seed, seed % 4 == 3 ? 5 : 3, 4);
            ContactChecks checks = new ContactChecks(world);
            checks.start();
            for (int round = 0; round < ROUNDS; round++) {
                replaceOldest(world, round);
                world.run(4500 + world.random.nextInt(3000));
            }
            checks.stop();
            assertThat(checks.acknowledged.lastEntry().getValue(), greaterThan(50L));
            for (String violation : world.violations) {
                violations.add("seed " + seed + ", " + violation);
            }
        }
        assertThat(violations, is(empty()));
    }

    /** All control nodes that a proxy knew, including seeds, are gone when it reconnects; others know new ones. */
    @Test
    void isolatedProxyFindsReplacedControlNodesThroughOtherProxies() {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            SimMachine proxy = world.proxies.get(seed % 4);
            long revision = 1;
            for (int round = 0; round < 3; round++) {
                world.controlNodes.forEach(machine -> world.cut(machine, proxy));
                replaceOldest(world, round);
                world.controlNodes.forEach(machine -> world.cut(machine, proxy));
                world.run(6000);
                assertTrue(replaceUntilAcknowledged(world, revision, config(++revision), 5000));
            }
            assertThat(proxy.proxy().revision(), is(1L));
            world.cutLinks.clear();
            long newestRevision = revision;
            assertTrue(world.runUntil(4000, () -> proxy.proxy().revision() == newestRevision), "seed " + seed);
        }
    }

    /** As above, but without other proxies to ask: the reloaded settings name control nodes that exist. */
    @Test
    void isolatedSingleProxyFindsControlNodesThroughReloadedSettings() {
        SimWorld world = servingCluster(1, 3, 1);
        SimMachine proxy = world.proxies.get(0);
        for (int round = 0; round < 3; round++) {
            world.controlNodes.forEach(machine -> world.cut(machine, proxy));
            replaceOldest(world, round);
            world.controlNodes.forEach(machine -> world.cut(machine, proxy));
            world.run(6000);
        }
        world.cutLinks.clear();
        assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
        world.run(5000);
        assertThat(
                "revision of a proxy that knows no reachable control node",
                proxy.proxy().revision(),
                is(1L));
        proxy.proxy()
                .updateSeeds(
                        world.controlNodes.stream().map(machine -> machine.host).toList());
        assertTrue(world.runUntil(1000, () -> proxy.proxy().revision() == 2));
    }

    /** The only control node shuts down as planned and restarts: its proxies do not wait for another one. */
    @Test
    void proxiesReconnectToTheirOnlyControlNodeAfterItsRestart() {
        SimWorld world = servingCluster(3, 1, 2);
        SimMachine onlyNode = world.controlNodes.get(0);
        onlyNode.terminate(TERMINATION_GRACE_MS, () -> {});
        world.runUntil(TERMINATION_GRACE_MS + 100, () -> onlyNode.process == null);
        onlyNode.start();
        assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
        assertTrue(world.runUntil(
                3000,
                () -> world.proxies.stream().allMatch(proxy -> proxy.proxy().revision() == 2)));
        long probes = probes(world);
        world.run(3000);
        assertThat("probes for another control node", probes(world), is(probes));
    }

    private static long probes(SimWorld world) {
        return world.proxies.stream()
                .mapToLong(machine -> machine.process.counters().get(Counter.CONTACT_PROBES))
                .sum();
    }

    /** Returns the greatest age of any proxy's configuration, in ms, while a control node is lost in the given way. */
    private static long maxConfigurationAgeMs(int seed, Consumer<SimMachine> loss) {
        SimWorld world = servingCluster(seed, 3, 4);
        world.run(1000);
        long[] maxAgeMs = new long[1];
        world.afterEachEvent = () -> world.proxies.forEach(
                machine -> maxAgeMs[0] = Math.max(maxAgeMs[0], machine.proxy().configurationAge() / 1_000_000));
        loss.accept(world.controlNodes.get(seed % 3));
        world.run(6000);
        return maxAgeMs[0];
    }

    @Test
    void lossOfAControlNodeIsDetectedSoon() {
        for (int seed = 0; seed < 12; seed++) {
            assertThat(
                    "planned shutdown",
                    maxConfigurationAgeMs(seed, node -> node.terminate(TERMINATION_GRACE_MS, () -> {})),
                    lessThan(1000L));
            assertThat("killed", maxConfigurationAgeMs(seed, SimMachine::kill), lessThan(1300L));
            assertThat("power loss", maxConfigurationAgeMs(seed, SimMachine::powerOff), lessThan(1800L));
        }
    }

    @Test
    void proxyWithOutdatedConfigurationDeniesNoRoute() {
        for (int seed = 0; seed < 4; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            SimMachine proxy = world.proxies.get(0);
            assertThat(world.platform.call(proxy, "h.example", "/x0/1", 3000).answers, contains(404));
            world.controlNodes.forEach(machine -> world.cut(machine, proxy));
            assertTrue(replaceUntilAcknowledged(world, 1, config(2, 1), 5000)); // adds the route
            world.run(4000);
            SimPlatform.OutgoingCall callWhileIsolated = world.platform.call(proxy, "h.example", "/x0/1", 3000);
            assertThat("seed " + seed, callWhileIsolated.answers, contains(503));
            world.cutLinks.clear();
            world.run(2000);
            SimPlatform.OutgoingCall callAfterReconnect = world.platform.call(proxy, "h.example", "/x0/1", 3000);
            assertTrue(world.runUntil(3000, () -> !callAfterReconnect.answers.isEmpty()));
            assertThat("seed " + seed, callAfterReconnect.answers, contains(200));
        }
    }
}
