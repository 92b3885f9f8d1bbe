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
import saltdale.nodes.membership.Membership;
import saltdale.nodes.membership.Membership.Change;
import saltdale.nodes.membership.Membership.Health;
import saltdale.nodes.membership.Membership.Link;
import saltdale.nodes.membership.Membership.Rules;
import saltdale.nodes.membership.ReadPlan;
import saltdale.nodes.membership.RunnerInfo;

class MembershipTest {
    private final Membership membership = new Membership(Rules.of(Duration.ofSeconds(6)));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private static byte[] runnerData(int number, long born, boolean draining) {
        return new RunnerInfo("127.0.0.1:" + (7000 + number), "a", "m", 0, 1, born, draining).data();
    }

    /** Adds this many nodes and discards the changes reported for them. */
    private void addNodes(int count) {
        membership.linkChanged(at(0), Link.CONNECTED);
        IntStream.range(0, count).forEach(i -> membership.nodeRead(at(0), "n" + i, runnerData(i, 1000, false)));
        assertEquals(count, membership.changes().size());
    }

    private List<String> reportedChanges() {
        return membership.changes().stream()
                .map(c -> c.name() + " " + c.health())
                .toList();
    }

    @Test
    void reportsDeletedNodesAndDrainMarksAtOnce() {
        addNodes(10);
        membership.nodeDeleted(at(100), "n1");
        assertEquals(List.of("n1 GONE"), reportedChanges());
        membership.nodeRead(at(200), "n2", runnerData(2, 1000, true));
        assertEquals(List.of("n2 DRAINING"), reportedChanges());
        membership.nodeDeleted(at(300), "n2");
        assertEquals(List.of("n2 GONE"), reportedChanges());
    }

    @Test
    void recreatedNodeIsTheSameRunnerUnlessItStartedLater() {
        addNodes(10);
        membership.nodeDeleted(at(100), "n1");
        membership.nodeRead(at(150), "n1", runnerData(1, 1000, false));
        List<Change> same = membership.changes();
        assertEquals(1000, same.get(1).runner().bornMillis());
        membership.nodeDeleted(at(200), "n1");
        membership.nodeRead(at(900), "n1", runnerData(1, 5000, false));
        assertEquals(5000, membership.changes().get(1).runner().bornMillis());
        membership.nodeRead(at(950), "n1", runnerData(1, 1000, false)); // read from an outdated tree
        assertEquals(List.of(), reportedChanges());
    }

    @Test
    void lostConnectionReportsNoRunnerAsGoneAndReducesTrust() {
        addNodes(5);
        membership.linkChanged(at(1000), Link.SUSPENDED);
        membership.tick(at(50_000));
        membership.linkChanged(at(60_000), Link.EXPIRED);
        membership.tick(at(61_000));
        assertEquals(List.of(), reportedChanges());
        assertEquals(0.5, membership.trust(at(61_000)), 1e-9);
        assertEquals(0, membership.trust(at(500_000)));
        membership.linkChanged(at(500_000), Link.CONNECTED);
        assertEquals(1, membership.trust(at(500_001)));
    }

    @Test
    void massDisappearanceHoldsRunnersUntilProbed() {
        addNodes(10);
        IntStream.range(0, 5).forEach(i -> membership.nodeDeleted(at(100 + i), "n" + i));
        assertTrue(membership.isMassDisappearance());
        // The first three were deleted before the mass disappearance could be recognized; all five are
        // reported as draining until probed.
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
                reportedChanges());
        assertEquals(List.of("n0", "n1", "n2", "n3", "n4"), membership.toProbe());
        membership.probeCompleted(at(200), "n0", true);
        membership.probeCompleted(at(200), "n1", false);
        assertEquals(List.of("n0 UP", "n1 GONE"), reportedChanges());
        membership.nodeRead(at(300), "n3", runnerData(3, 1000, false));
        assertEquals(List.of("n3 UP"), reportedChanges());
        membership.tick(at(20_000));
        assertEquals(List.of("n0 GONE", "n2 GONE", "n4 GONE"), reportedChanges());
        membership.tick(at(20_001));
        assertFalse(membership.isMassDisappearance());
    }

    @Test
    void drainMarkTakesEffectDuringAMassDisappearance() {
        addNodes(10);
        IntStream.range(0, 5).forEach(i -> membership.nodeDeleted(at(100), "n" + i));
        membership.changes();
        membership.nodeRead(at(150), "n7", runnerData(7, 1000, true));
        membership.nodeDeleted(at(200), "n7");
        assertEquals(List.of("n7 DRAINING", "n7 GONE"), reportedChanges());
    }

    @Test
    void ignoresInvalidDataAndKeepsTheLastValidData() {
        addNodes(2);
        byte[] invalid = "{\"dial\":7}".getBytes(StandardCharsets.UTF_8);
        assertFalse(membership.nodeRead(at(10), "n1", invalid));
        assertEquals(List.of(), reportedChanges());
        assertEquals(1, membership.unreadableNodes());
        assertTrue(membership.isNewBadData("n1", invalid));
        assertFalse(membership.isNewBadData("n1", invalid));
        for (String each : List.of(
                "",
                "[]",
                "{}",
                "{\"dial\":\"host:1\"}",
                "{\"dial\":\"1.2.3.4:5\",\"share\":-1}",
                "{\"dial\":\"1.2.3.4:5\",\"born_ms\":\"x\"}",
                "{\"dial\":\"1.2.3.4:5\",\"draining\":1}")) {
            assertNull(RunnerInfo.read(each.getBytes(StandardCharsets.UTF_8)), each);
        }
    }

    /**
     * For any sequence of observations, the last reported health of a node agrees with its state, and a
     * draining runner is never reported as up.
     */
    @Property(tries = 500, seed = "3")
    void reportedHealthAgreesWithTheNodes(@ForAll @Size(max = 200) int[] actions) {
        Membership each = new Membership(Rules.of(Duration.ofSeconds(2)));
        boolean[] exists = new boolean[6];
        boolean[] draining = new boolean[6];
        Map<String, Health> last = new HashMap<>();
        Duration now = Duration.ZERO;
        for (int action : actions) {
            int node = Math.floorMod(action, 6);
            now = now.plusMillis(Math.floorMod(action / 64, 700));
            switch (Math.floorMod(action / 6, 5)) {
                case 0, 1 -> {
                    draining[node] = Math.floorMod(action / 6, 5) == 1;
                    exists[node] = true;
                    each.nodeRead(now, "n" + node, runnerData(node, 1000, draining[node]));
                }
                case 2 -> {
                    exists[node] = false;
                    each.nodeDeleted(now, "n" + node);
                }
                case 3 -> each.probeCompleted(now, "n" + node, action > 0);
                default -> each.tick(now);
            }
            each.changes().forEach(c -> last.put(c.name(), c.health()));
            Health reported = last.get("n" + node);
            if (exists[node]) {
                assertEquals(draining[node] ? Health.DRAINING : Health.UP, reported);
            } else {
                assertTrue(reported != Health.UP || each.toProbe().contains("n" + node));
            }
        }
        each.tick(now.plusSeconds(100));
        each.changes().forEach(c -> last.put(c.name(), c.health()));
        for (int i = 0; i < 6; i++) {
            assertTrue(exists[i] || last.getOrDefault("n" + i, Health.GONE) == Health.GONE);
        }
    }

    @Test
    void readsEachNodeOnceWithinTheConcurrencyLimit() {
        ReadPlan plan = new ReadPlan(3);
        List<String> names = IntStream.range(0, 100).mapToObj(i -> "n" + i).toList();
        plan.add(names);
        ArrayDeque<String> inFlight = new ArrayDeque<>();
        while (!plan.isOver()) {
            for (String next = plan.next(); next != null; next = plan.next()) {
                inFlight.add(next);
            }
            assertTrue(inFlight.size() <= 3);
            plan.add(List.of("n99", inFlight.peek())); // reported as changed again meanwhile
            plan.completed(inFlight.poll());
        }
        assertEquals(100, plan.reads(), 1);
    }
}
