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
 * The incident CONFIG of issue 52: control nodes are replaced one after the other, each by a new one at another
 * address, and proxies in touch have what was acknowledged in force in time all the while. Who cannot know what is in
 * force denies no route.
 */
class ControlNodeReplacementTest {
    private static final int ROUNDS = 8;
    private static final long GRACE = 6000;

    /** Replaces the oldest control node; every other time as planned, its successor first. */
    private static void replaceOldest(SimWorld world, int round) {
        SimMachine old = world.controlNodes.get(0);
        List<String> seeds = world.controlNodes.stream()
                .skip(1)
                .limit(3)
                .map(each -> each.host)
                .toList();
        SimMachine next = world.controlNode("10.0.1." + round, seeds, false);
        if (round % 2 == 0) {
            old.wipe();
            remove(world, old);
            world.run(500);
            next.start();
        } else {
            next.start();
            world.run(1500);
            old.terminate(GRACE, () -> remove(world, old));
            world.runUntil(GRACE + 100, () -> !world.controlNodes.contains(old));
        }
    }

    private static void remove(SimWorld world, SimMachine gone) {
        world.controlNodes.remove(gone);
        world.machines.remove(gone.host);
    }

    @Test
    void proxiesInTouchHaveTheNewestWhileControlNodesAreReplaced() {
        List<String> faults = new ArrayList<>();
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
            for (String fault : world.violations) {
                faults.add("seed " + seed + ", " + fault);
            }
        }
        assertThat(faults, is(empty()));
    }

    /** All control nodes that a proxy knew, the seeds too, are gone when it comes back; fellow proxies know others. */
    @Test
    void whoWasCutOffWhileAllWereReplacedFindsItsWayBack() {
        for (int seed = 0; seed < 6; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            SimMachine proxy = world.proxies.get(seed % 4);
            long revision = 1;
            for (int round = 0; round < 3; round++) {
                world.controlNodes.forEach(each -> world.cut(each, proxy));
                replaceOldest(world, round);
                world.controlNodes.forEach(each -> world.cut(each, proxy));
                world.run(6000);
                assertTrue(replaceUntilAcknowledged(world, revision, config(++revision), 5000));
            }
            assertThat(proxy.proxy().revision(), is(1L));
            world.cutLinks.clear();
            long newest = revision;
            assertTrue(world.runUntil(4000, () -> proxy.proxy().revision() == newest), "seed " + seed);
        }
    }

    /** The same with no other proxy to ask: the settings, read again, name control nodes that are there. */
    @Test
    void whoHasNobodyToAskFindsItsWayBackByItsSettings() {
        SimWorld world = servingCluster(1, 3, 1);
        SimMachine proxy = world.proxies.get(0);
        for (int round = 0; round < 3; round++) {
            world.controlNodes.forEach(each -> world.cut(each, proxy));
            replaceOldest(world, round);
            world.controlNodes.forEach(each -> world.cut(each, proxy));
            world.run(6000);
        }
        world.cutLinks.clear();
        assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
        world.run(5000);
        assertThat("knows nobody", proxy.proxy().revision(), is(1L));
        proxy.proxy()
                .updateSeeds(world.controlNodes.stream().map(each -> each.host).toList());
        assertTrue(world.runUntil(1000, () -> proxy.proxy().revision() == 2));
    }

    /** The only control node there is ends as planned and begins anew: its proxies do not wait for another one. */
    @Test
    void whoHasOneControlNodeGoesOnWithItAfterItsRestart() {
        SimWorld world = servingCluster(3, 1, 2);
        SimMachine only = world.controlNodes.get(0);
        only.terminate(GRACE, () -> {});
        world.runUntil(GRACE + 100, () -> only.process == null);
        only.start();
        assertTrue(replaceUntilAcknowledged(world, 1, config(2), 5000));
        assertTrue(world.runUntil(
                3000, () -> world.proxies.stream().allMatch(p -> p.proxy().revision() == 2)));
        long probes = probes(world);
        world.run(3000);
        assertThat("nobody looks for another one", probes(world), is(probes));
    }

    private static long probes(SimWorld world) {
        return world.proxies.stream()
                .mapToLong(each -> each.process.counters().get(Counter.CONTACT_PROBES))
                .sum();
    }

    /** How old the configuration of a proxy may become while its control node is lost in this way, in milliseconds. */
    private static long oldest(int seed, Consumer<SimMachine> loss) {
        SimWorld world = servingCluster(seed, 3, 4);
        world.run(1000);
        long[] most = new long[1];
        world.afterEachEvent = () -> world.proxies.forEach(
                each -> most[0] = Math.max(most[0], each.proxy().configurationAge() / 1_000_000));
        loss.accept(world.controlNodes.get(seed % 3));
        world.run(6000);
        return most[0];
    }

    @Test
    void aLossOfAControlNodeIsFoundOutSoon() {
        for (int seed = 0; seed < 12; seed++) {
            assertThat("leaves as planned", oldest(seed, node -> node.terminate(GRACE, () -> {})), lessThan(1000L));
            assertThat("killed", oldest(seed, SimMachine::kill), lessThan(1300L));
            assertThat("without power", oldest(seed, SimMachine::powerOff), lessThan(1800L));
        }
    }

    @Test
    void whoCannotKnowWhatIsInForceDeniesNoRoute() {
        for (int seed = 0; seed < 4; seed++) {
            SimWorld world = servingCluster(seed, 3, 4);
            SimMachine proxy = world.proxies.get(0);
            assertThat(world.platform.call(proxy, "h.example", "/x0/1", 3000).answers, contains(404));
            world.controlNodes.forEach(each -> world.cut(each, proxy));
            assertTrue(replaceUntilAcknowledged(world, 1, config(2, 1), 5000)); // adds the route
            world.run(4000);
            SimPlatform.OutgoingCall asked = world.platform.call(proxy, "h.example", "/x0/1", 3000);
            assertThat("seed " + seed, asked.answers, contains(503));
            world.cutLinks.clear();
            world.run(2000);
            SimPlatform.OutgoingCall again = world.platform.call(proxy, "h.example", "/x0/1", 3000);
            assertTrue(world.runUntil(3000, () -> !again.answers.isEmpty()));
            assertThat("seed " + seed, again.answers, contains(200));
        }
    }
}
