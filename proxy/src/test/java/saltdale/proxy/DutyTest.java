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
 * One control node at a time starts and stops instances, within the platform's rates, and the next one knows what was
 * begun.
 */
class DutyTest {
    /** The machine of the control node that holds the duty, as the newest chosen state says. */
    static SimMachine holder(SimWorld world) {
        String name = world.newestChosen.duty("starting").name();
        return world.controlNodes.stream()
                .filter(k -> ("n-" + k.host).equals(name))
                .findAny()
                .orElseThrow();
    }

    static long fence(SimWorld world) {
        return world.newestChosen.duty("starting").fence();
    }

    private static List<SimPlatform.Duty> stale(SimWorld world) {
        return world.platform.duties.stream().filter(d -> d.status() == 403).toList();
    }

    @Test
    void aFrozenHolderDoesNothingUntilItKnowsThatItStillHolds() {
        int changes = 0;
        for (int seed = 0; seed < 7; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            load(world, 15, 12_000);
            world.run(500 + world.random.nextInt(1500));
            SimMachine frozen = holder(world);
            long before = fence(world);
            frozen.freeze();
            world.run(300 + world.random.nextInt(5000));
            changes += fence(world) > before ? 1 : 0;
            frozen.thaw();
            world.run(3000);
            // Once more, now from load to none: there is something to stop.
            SimMachine next = holder(world);
            next.freeze();
            world.run(3500);
            next.thaw();
            world.run(2000);
            assertThat("seed " + seed, stale(world), is(empty()));
            assertThat("seed " + seed, world.violations, is(empty()));
        }
        assertThat("in most of them another took over", changes, greaterThan(2));
    }

    @Test
    void fencesOnlyGrowAndNoTwoHoldersPassWithOne() {
        for (int seed = 0; seed < 7; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            world.platform.lostResponseProbability = 0.1;
            load(world, 40, 14_000);
            long highest = 0;
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
                assertThat(fence(world), greaterThanOrEqualTo(highest));
                highest = fence(world);
            }
            long passed = 0;
            for (SimPlatform.Duty duty : world.platform.duties) {
                assertThat(duty.status() == 403 || duty.fence() >= passed, is(true));
                passed = Math.max(passed, duty.status() == 403 ? 0 : duty.fence());
            }
            assertThat("seed " + seed, world.violations, is(empty()));
        }
    }

    @Test
    void whoTakesOverLearnsWhatWasBegun() {
        for (int seed = 0; seed < 8; seed++) {
            SimWorld world = servingCluster(seed, 3, 3);
            world.platform.bootMs = 6000; // it is not in the list before another has taken over
            SimMachine holder = holder(world);
            world.platform.call(world.proxies.get(0), "h.example", "/a/1", 20_000);
            assertTrue(world.runUntil(1000, () -> !world.platform.instances.isEmpty()));
            holder.powerOff();
            world.run(5000);
            assertThat(holder(world), is(not(holder)));
            List<String> asked = world.platform.duties.stream()
                    .map(SimPlatform.Duty::target)
                    .distinct()
                    .toList();
            assertThat("the same nonce", asked, hasSize(1));
            assertThat(world.platform.duties.size(), greaterThan(1));
            assertThat("seed " + seed, world.platform.instances.values(), hasSize(1));
        }
    }

    /**
     * Few calls allowed, a list of many pages, answers lost, holders that change: never more than the platform
     * takes.
     */
    @ParameterizedTest
    @CsvSource({"26,105,4,60", "26,105,1,300", "26,20,4,60", "5,5,4,20", "12,50,1,150"})
    void thePlatformsRatesAreKept(double lists, double duties, int slots, double perSecond) {
        SimWorld world = new SimWorld(7);
        world.rates = new Platform.Rates(lists, duties, List.of("starting"));
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
        int most = world.platform.liveInstances("fn").size();
        holder(world).kill();
        world.run(4000);
        world.controlNodes.forEach(SimMachine::start);
        world.run(3000);
        world.platform.lostResponseProbability = 0.3;
        world.run(5000);
        assertThat(most, greaterThan(2));
        assertThat(world.platform.rateViolations, is(empty()));
    }

    /** Workers without room: starts are refused, and that is no reason to ask more often than allowed. */
    @Test
    void thePlatformsRatesAreKeptWhereItHasNoRoom() {
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
