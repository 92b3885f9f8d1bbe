package saltdale.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import saltdale.nodes.membership.Box;
import saltdale.nodes.membership.Membership;
import saltdale.nodes.membership.Membership.Change;
import saltdale.nodes.membership.Membership.Health;
import saltdale.nodes.membership.Membership.Link;
import saltdale.nodes.membership.Membership.Rules;
import saltdale.nodes.membership.ReadPlan;

class MembershipTest {
    private final Membership membership = new Membership(Rules.of(Duration.ofSeconds(6)));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private static byte[] box(int number, long born, boolean draining) {
        return new Box("127.0.0.1:" + (7000 + number), "a", "m", 0, 1, born, draining).data();
    }

    /** So many nodes are there, and have been told. */
    private void known(int count) {
        membership.link(at(0), Link.CONNECTED);
        IntStream.range(0, count).forEach(i -> membership.seen(at(0), "n" + i, box(i, 1000, false)));
        assertEquals(count, membership.changes().size());
    }

    private List<String> told() {
        return membership.changes().stream()
                .map(c -> c.name() + " " + c.health())
                .toList();
    }

    @Test
    void aVanishedNodeIsGoneAtOnceAndADrainMarkDrains() {
        known(10);
        membership.vanished(at(100), "n1");
        assertEquals(List.of("n1 GONE"), told());
        membership.seen(at(200), "n2", box(2, 1000, true));
        assertEquals(List.of("n2 DRAINING"), told());
        membership.vanished(at(300), "n2");
        assertEquals(List.of("n2 GONE"), told());
    }

    @Test
    void returnedUnderANewSessionItIsTheSameBoxUnlessItWasBornLater() {
        known(10);
        membership.vanished(at(100), "n1");
        membership.seen(at(150), "n1", box(1, 1000, false));
        List<Change> same = membership.changes();
        assertEquals(1000, same.get(1).box().bornMillis());
        membership.vanished(at(200), "n1");
        membership.seen(at(900), "n1", box(1, 5000, false));
        assertEquals(5000, membership.changes().get(1).box().bornMillis());
        membership.seen(at(950), "n1", box(1, 1000, false)); // an old tree
        assertEquals(List.of(), told());
    }

    @Test
    void aLostLinkTakesNobodyForGoneAndItsTrustFades() {
        known(5);
        membership.link(at(1000), Link.SUSPENDED);
        membership.tick(at(50_000));
        membership.link(at(60_000), Link.EXPIRED);
        membership.tick(at(61_000));
        assertEquals(List.of(), told());
        assertEquals(0.5, membership.trust(at(61_000)), 1e-9);
        assertEquals(0, membership.trust(at(500_000)));
        membership.link(at(500_000), Link.CONNECTED);
        assertEquals(1, membership.trust(at(500_001)));
    }

    @Test
    void aMassVanishingIsHeldAndProbesDecide() {
        known(10);
        IntStream.range(0, 5).forEach(i -> membership.vanished(at(100 + i), "n" + i));
        assertTrue(membership.isMassVanishing());
        // The first ones went before it could be told for a mass; all of the wave stand as draining until
        // probed.
        assertEquals(
                List.of(
                        "n0 GONE",
                        "n1 GONE",
                        "n2 GONE",
                        "n0 DRAINING",
                        "n1 DRAINING",
                        "n2 DRAINING",
                        "n3 DRAINING",
                        "n4 DRAINING"),
                told());
        assertEquals(List.of("n0", "n1", "n2", "n3", "n4"), membership.toProbe());
        membership.probed(at(200), "n0", true);
        membership.probed(at(200), "n1", false);
        assertEquals(List.of("n0 UP", "n1 GONE"), told());
        membership.seen(at(300), "n3", box(3, 1000, false));
        assertEquals(List.of("n3 UP"), told());
        membership.tick(at(20_000));
        assertEquals(List.of("n0 GONE", "n2 GONE", "n4 GONE"), told());
        membership.tick(at(20_001));
        assertFalse(membership.isMassVanishing());
    }

    @Test
    void aDrainMarkCountsWithinAMassVanishingToo() {
        known(10);
        IntStream.range(0, 5).forEach(i -> membership.vanished(at(100), "n" + i));
        membership.changes();
        membership.seen(at(150), "n7", box(7, 1000, true));
        membership.vanished(at(200), "n7");
        assertEquals(List.of("n7 DRAINING", "n7 GONE"), told());
    }

    @Test
    void badDataIsPassedOverAndTheNodeBeforeItStands() {
        known(2);
        byte[] bad = "{\"dial\":7}".getBytes(StandardCharsets.UTF_8);
        assertFalse(membership.seen(at(10), "n1", bad));
        assertEquals(List.of(), told());
        assertEquals(1, membership.bad());
        assertTrue(membership.worthLogging("n1", bad));
        assertFalse(membership.worthLogging("n1", bad));
        for (String each : List.of(
                "",
                "[]",
                "{}",
                "{\"dial\":\"host:1\"}",
                "{\"dial\":\"1.2.3.4:5\",\"share\":-1}",
                "{\"dial\":\"1.2.3.4:5\",\"born_ms\":\"x\"}",
                "{\"dial\":\"1.2.3.4:5\",\"draining\":1}")) {
            assertNull(Box.read(each.getBytes(StandardCharsets.UTF_8)), each);
        }
    }

    /**
     * Whatever comes in whatever order: what was told last of a node agrees with it, and a drain is never
     * told as up.
     */
    @Property(tries = 500, seed = "3")
    void whatIsToldAgreesWithTheNodes(@ForAll @Size(max = 200) int[] deeds) {
        Membership each = new Membership(Rules.of(Duration.ofSeconds(2)));
        boolean[] there = new boolean[6];
        boolean[] drains = new boolean[6];
        Map<String, Health> last = new HashMap<>();
        Duration now = Duration.ZERO;
        for (int deed : deeds) {
            int node = Math.floorMod(deed, 6);
            now = now.plusMillis(Math.floorMod(deed / 64, 700));
            switch (Math.floorMod(deed / 6, 5)) {
                case 0, 1 -> {
                    drains[node] = Math.floorMod(deed / 6, 5) == 1;
                    there[node] = true;
                    each.seen(now, "n" + node, box(node, 1000, drains[node]));
                }
                case 2 -> {
                    there[node] = false;
                    each.vanished(now, "n" + node);
                }
                case 3 -> each.probed(now, "n" + node, deed > 0);
                default -> each.tick(now);
            }
            each.changes().forEach(c -> last.put(c.name(), c.health()));
            Health told = last.get("n" + node);
            if (there[node]) {
                assertEquals(drains[node] ? Health.DRAINING : Health.UP, told);
            } else {
                assertTrue(told != Health.UP || each.toProbe().contains("n" + node));
            }
        }
        each.tick(now.plusSeconds(100));
        each.changes().forEach(c -> last.put(c.name(), c.health()));
        for (int i = 0; i < 6; i++) {
            assertTrue(there[i] || last.getOrDefault("n" + i, Health.GONE) == Health.GONE);
        }
    }

    @Test
    void aPassReadsEachNodeOnceWithinItsCap() {
        ReadPlan plan = new ReadPlan(3);
        List<String> names = IntStream.range(0, 100).mapToObj(i -> "n" + i).toList();
        plan.add(names);
        ArrayDeque<String> flying = new ArrayDeque<>();
        while (!plan.isOver()) {
            for (String next = plan.next(); next != null; next = plan.next()) {
                flying.add(next);
            }
            assertTrue(flying.size() <= 3);
            plan.add(List.of("n99", flying.peek())); // told of again meanwhile
            plan.read(flying.poll());
        }
        assertEquals(100, plan.reads(), 1);
    }
}
