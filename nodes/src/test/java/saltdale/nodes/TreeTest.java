package saltdale.nodes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import saltdale.nodes.tree.Tree;
import saltdale.nodes.tree.Tree.Step;
import saltdale.nodes.tree.Watches;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Fault;

class TreeTest {
    private final Tree tree = new Tree(100);

    private Tree.Taken take(Step... steps) {
        return tree.take(List.of(steps), 7, 1000);
    }

    private Fault fault(Step step) {
        return take(step).results().get(0).fault();
    }

    @Test
    void nodesAreMadeChangedAndRemovedByTheirVersions() {
        assertEquals(Fault.OK, fault(Step.create("/a", new byte[] {1}, false, false)));
        assertEquals(Fault.NODE_EXISTS, fault(Step.create("/a", null, false, false)));
        assertEquals(Fault.NO_NODE, fault(Step.create("/b/c", null, false, false)));
        assertEquals(Fault.BAD_VERSION, fault(Step.set("/a", null, 3)));
        assertEquals(Fault.OK, fault(Step.set("/a", new byte[] {2}, 0)));
        assertEquals(1, tree.stat("/a").version());
        assertEquals(Fault.OK, fault(Step.create("/a/b", null, false, false)));
        assertEquals(Fault.NOT_EMPTY, fault(Step.delete("/a", -1)));
        assertEquals(Fault.BAD_ARGUMENTS, fault(Step.set("/a", new byte[101], -1)));
        assertEquals(Fault.BAD_ARGUMENTS, fault(Step.delete("/", -1)));
        assertEquals(3, tree.zxid());
    }

    @Test
    void sequentialNodesCountUpAndEphemeralsGoWithTheirSession() {
        take(Step.create("/a", null, false, false));
        assertEquals(
                "/a/n-0000000000",
                take(Step.create("/a/n-", null, true, true)).results().get(0).path());
        assertEquals(
                "/a/n-0000000001",
                take(Step.create("/a/n-", null, true, true)).results().get(0).path());
        assertEquals(Fault.NO_CHILDREN_FOR_EPHEMERALS, fault(Step.create("/a/n-0000000000/x", null, false, false)));
        Tree.Taken end = tree.end(7, 2000);
        assertEquals(2, end.changes().size());
        assertEquals(List.of(), tree.children("/a"));
        assertEquals(List.of(), tree.ephemerals(7));
    }

    @Test
    void severalStepsHappenTogetherOrNotAtAll() {
        take(Step.create("/a", null, false, false));
        String before = tree.toString();
        Tree.Taken taken = take(
                Step.create("/b", null, true, false),
                Step.set("/a", new byte[] {1}, 0),
                Step.delete("/a", 9),
                Step.create("/c", null, false, false));
        assertTrue(!taken.done());
        assertEquals(
                List.of(Fault.OK, Fault.OK, Fault.BAD_VERSION, Fault.RUNTIME_INCONSISTENCY),
                taken.results().stream().map(Tree.Result::fault).toList());
        assertEquals(before, tree.toString());
        assertEquals(List.of(), taken.events());
    }

    /**
     * Whatever is asked: a change that fails leaves no trace, and the changes alone make the same tree again.
     */
    @Property(tries = 300, seed = "11")
    void theChangesMakeTheSameTree(@ForAll @Size(max = 150) int[] deeds) {
        Tree one = new Tree(100);
        Tree other = new Tree(100);
        String[] paths = {"/a", "/b", "/a/x", "/a/y", "/b/z", "/a/x/q"};
        for (int deed : deeds) {
            List<Step> steps = new ArrayList<>();
            for (int i = 0; i <= Math.floorMod(deed, 3); i++) {
                int part = Math.floorMod(deed >> (4 * i), 1 << 12);
                String path = paths[part % paths.length];
                steps.add(
                        switch (part / 8 % 5) {
                            case 0, 1 -> Step.create(path, new byte[] {(byte) part}, part % 2 == 0, part % 16 == 3);
                            case 2 -> Step.delete(path, part % 4 == 0 ? 0 : -1);
                            case 3 -> Step.set(path, new byte[part % 120], part % 5 - 1);
                            default -> Step.check(path, part % 3 - 1);
                        });
            }
            String before = one.toString();
            Tree.Taken taken =
                    deed % 17 == 0 ? one.end(deed % 3, deed) : one.take(steps, 1 + Math.floorMod(deed, 2), deed);
            if (!taken.done()) {
                assertEquals(before, one.toString());
            }
            taken.changes().forEach(other::again);
            assertEquals(one.toString(), other.toString());
        }
    }

    @Test
    void watchesAreToldOnceOrAlwaysByTheirKind() {
        Watches<String> watches = new Watches<>();
        watches.add(Watches.Kind.DATA, "/a/x", "data");
        watches.add(Watches.Kind.CHILDREN, "/a", "children");
        watches.add(Watches.Kind.PERSISTENT, "/a", "stays");
        watches.add(Watches.Kind.RECURSIVE, "/", "all");
        List<Event> created =
                List.of(new Event(Event.Kind.CREATED, "/a/x"), new Event(Event.Kind.CHILDREN_CHANGED, "/a"));
        assertEquals(created.subList(0, 1), watches.told(created).get("data"));
        assertEquals(2, watches.size());
        assertEquals(created.subList(1, 2), watches.told(created).get("stays"));
        assertEquals(created.subList(0, 1), watches.told(created).get("all"));
        assertNull(watches.told(created).get("children"));
        watches.forget("all");
        assertEquals(1, watches.size());
    }
}
