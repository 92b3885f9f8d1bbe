package saltdale.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltdale.proxy.SimOperator.config;
import static saltdale.proxy.SimOperator.load;
import static saltdale.proxy.SimOperator.replaceUntilAcknowledged;
import static saltdale.proxy.SimOperator.servingCluster;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltdale.control.Platform;

/**
 * One control node at a time holds the duty to start and stop instances. It keeps within the platform's rate limits,
 * and its successor knows which starts were already requested.
 */
class DutyTest {
    /** Returns the machine of the control node that holds the duty according to the newest chosen state. */
    static SimMachine holder(SimWorld world) {
        String name = world.newestChosen.duty("starting").name();
        return world.controlNodes.stream()
                .filter(node -> ("n-" + node.host).equals(name))
                .findAny()
                .orElseThrow();
    }

    /** Returns the fencing token of the duty according to the newest chosen state. */
    static long fence(SimWorld world) {
        return world.newestChosen.duty("starting").fence();
    }

    private static List<SimPlatform.Duty> staleRequests(SimWorld world) {
        return world.platform.duties.stream().filter(d -> d.status() == 403).toList();
    }

    @Test
    void resumedHolderSendsNoCommandBeforeItConfirmsTheDuty() {
        int takeovers = 0;
        for (int seed = 0; seed < 7; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            load(world, 15, 12_000);
            world.run(500 + world.random.nextInt(1500));
            SimMachine frozen = holder(world);
            long fenceBefore = fence(world);
            frozen.freeze();
            world.run(300 + world.random.nextInt(5000));
            takeovers += fence(world) > fenceBefore ? 1 : 0;
            frozen.thaw();
            world.run(3000);
            // Repeats the freeze after the load has ended, when there are instances to stop.
            SimMachine successor = holder(world);
            successor.freeze();
            world.run(3500);
            successor.thaw();
            world.run(2000);
            assertThat("seed " + seed, staleRequests(world), is(empty()));
            assertThat("seed " + seed, world.violations, is(empty()));
        }
        assertThat("runs in which another control node took over", takeovers, greaterThan(2));
    }

    @Test
    void fencingTokensNeverDecreaseAndStaleOnesAreRejected() {
        for (int seed = 0; seed < 7; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            world.platform.lostResponseProbability = 0.1;
            load(world, 40, 14_000);
            long highestFence = 0;
            for (int i = 0; i < 6; i++) {
                SimMachine holder = holder(world);
                switch (world.random.nextInt(5)) {
                    case 0 -> holder.kill();
                    case 1 -> holder.freeze();
                    case 2 -> world.isolate(holder);
                    case 3 -> world.cut(holder, world.controlNodes.get((world.controlNodes.indexOf(holder) + 1) % 3));
                    default ->
                        world.cutOneWay(holder, world.controlNodes.get((world.controlNodes.indexOf(holder) + 1) % 3));
                }
                world.run(world.random.nextInt(4000));
                world.cutLinks.clear();
                if (holder.frozen) {
                    holder.thaw();
                }
                holder.start();
                world.run(world.random.nextInt(1500));
                assertThat(fence(world), greaterThanOrEqualTo(highestFence));
                highestFence = fence(world);
            }
            long highestAccepted = 0;
            for (SimPlatform.Duty duty : world.platform.duties) {
                assertThat(duty.status() == 403 || duty.fence() >= highestAccepted, is(true));
                highestAccepted = Math.max(highestAccepted, duty.status() == 403 ? 0 : duty.fence());
            }
            assertThat("seed " + seed, world.violations, is(empty()));
        }
    }

    @Test
    void successorLearnsWhichStartsWereRequested() {
        for (int seed = 0; seed < 8; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            world.platform.bootMs = 6000; // the instance is listed only after another control node has taken over
            SimMachine holder = holder(world);
            world.platform.call(world.proxies.get(0), "h.example", "/a/1", 20_000);
            assertTrue(world.runUntil(1000, () -> !world.platform.instances.isEmpty()));
            holder.powerOff();
            world.run(5000);
            assertThat(holder(world), is(not(holder)));
            List<String> targets = world.platform.duties.stream()
                    .map(SimPlatform.Duty::target)
                    .distinct()
                    .toList();
            assertThat("distinct request nonces", targets, hasSize(1));
            assertThat(world.platform.duties.size(), greaterThan(1));
            assertThat("seed " + seed, world.platform.instances.values(), hasSize(1));
        }
    }

    /**
     * The limits of the platform are never exceeded with few permitted calls, an instance list of many pages, lost
     * responses and changes of the duty holder.
     */
    @ParameterizedTest
    @CsvSource({"26,105,4,60", "26,105,1,300", "26,20,4,60", "5,5,4,20", "12,50,1,150"})
    void keepsThePlatformsRates(double listsPerSecond, double dutiesPerSecond, int slots, double perSecond) {
        SimWorld world = new SimWorld(7);
        world.rates = new Platform.Rates(listsPerSecond, dutiesPerSecond, List.of("starting"));
        servingCluster(world, 3, 6);
        world.platform.slots.put("fn", slots);
        assertTrue(replaceUntilAcknowledged(
                world,
                1,
                config(2)
                        .replace("\"max_concurrency\":4", "\"max_concurrency\":" + slots)
                        .replace("\"memory_mb\":128", "\"memory_mb\":16"),
                5000));
        world.platform.memory.put("fn", 16);
        world.platform.workMs = 600;
        load(world, perSecond, 12_000);
        world.run(5000);
        int liveInstances = world.platform.liveInstances("fn").size();
        holder(world).kill();
        world.run(4000);
        world.controlNodes.forEach(SimMachine::start);
        world.run(3000);
        world.platform.lostResponseProbability = 0.3;
        world.run(5000);
        assertThat(liveInstances, greaterThan(2));
        assertThat(world.platform.rateViolations, is(empty()));
    }

    /** Workers without capacity refuse starts; the control node must not retry more often than the limits permit. */
    @Test
    void keepsThePlatformsRatesWhenItHasNoCapacity() {
        SimWorld world = new SimWorld(8);
        world.rates = new Platform.Rates(6, 10, List.of("starting"));
        servingCluster(world, 3, 3);
        world.platform.workers.values().forEach(w -> w.draining = true);
        load(world, 100, 8000);
        world.run(9000);
        assertThat(world.platform.duties.size(), greaterThan(0));
        assertThat(world.platform.rateViolations, is(empty()));
    }
}
