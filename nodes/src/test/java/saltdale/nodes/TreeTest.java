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
import saltdale.nodes.tree.Tree.Operation;
import saltdale.nodes.tree.Watches;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;

class TreeTest {
    private final Tree tree = new Tree(100);

    private Tree.TransactionResult apply(Operation... operations) {
        return tree.apply(List.of(operations), 7, 1000);
    }

    private ErrorCode error(Operation operation) {
        return apply(operation).results().get(0).error();
    }

    @Test
    void createsUpdatesAndDeletesNodesByVersion() {
        assertEquals(ErrorCode.OK, error(Operation.create("/a", new byte[] {1}, false, false)));
        assertEquals(ErrorCode.NODE_EXISTS, error(Operation.create("/a", null, false, false)));
        assertEquals(ErrorCode.NO_NODE, error(Operation.create("/b/c", null, false, false)));
        assertEquals(ErrorCode.BAD_VERSION, error(Operation.set("/a", null, 3)));
        assertEquals(ErrorCode.OK, error(Operation.set("/a", new byte[] {2}, 0)));
        assertEquals(1, tree.stat("/a").version());
        assertEquals(ErrorCode.OK, error(Operation.create("/a/b", null, false, false)));
        assertEquals(ErrorCode.NOT_EMPTY, error(Operation.delete("/a", -1)));
        assertEquals(ErrorCode.BAD_ARGUMENTS, error(Operation.set("/a", new byte[101], -1)));
        assertEquals(ErrorCode.BAD_ARGUMENTS, error(Operation.delete("/", -1)));
        assertEquals(3, tree.zxid());
    }

    @Test
    void numbersSequentialNodesAndDeletesEphemeralsWithTheirSession() {
        apply(Operation.create("/a", null, false, false));
        assertEquals(
                "/a/n-0000000000",
                apply(Operation.create("/a/n-", null, true, true))
                        .results()
                        .get(0)
                        .path());
        assertEquals(
                "/a/n-0000000001",
                apply(Operation.create("/a/n-", null, true, true))
                        .results()
                        .get(0)
                        .path());
        assertEquals(
                ErrorCode.NO_CHILDREN_FOR_EPHEMERALS, error(Operation.create("/a/n-0000000000/x", null, false, false)));
        Tree.TransactionResult end = tree.closeSession(7, 2000);
        assertEquals(2, end.changes().size());
        assertEquals(List.of(), tree.children("/a"));
        assertEquals(List.of(), tree.ephemerals(7));
    }

    @Test
    void appliesAllOperationsOfATransactionOrNone() {
        apply(Operation.create("/a", null, false, false));
        String before = tree.toString();
        Tree.TransactionResult transaction = apply(
                Operation.create("/b", null, true, false),
                Operation.set("/a", new byte[] {1}, 0),
                Operation.delete("/a", 9),
                Operation.create("/c", null, false, false));
        assertTrue(!transaction.done());
        assertEquals(
                List.of(ErrorCode.OK, ErrorCode.OK, ErrorCode.BAD_VERSION, ErrorCode.RUNTIME_INCONSISTENCY),
                transaction.results().stream().map(Tree.OperationResult::error).toList());
        assertEquals(before, tree.toString());
        assertEquals(List.of(), transaction.events());
    }

    /**
     * For any sequence of operations, a failed transaction leaves the tree unchanged, and replaying the
     * changes rebuilds the same tree.
     */
    @Property(tries = 300, seed = "11")
    void replayedChangesRebuildTheSameTree(@ForAll @Size(max = 150) int[] actions) {
        Tree original = new Tree(100);
        Tree replayed = new Tree(100);
        String[] paths = {"/a", "/b", "/a/x", "/a/y", "/b/z", "/a/x/q"};
        for (int action : actions) {
            List<Operation> operations = new ArrayList<>();
            for (int i = 0; i <= Math.floorMod(action, 3); i++) {
                int bits = Math.floorMod(action >> (4 * i), 1 << 12);
                String path = paths[bits % paths.length];
                operations.add(
                        switch (bits / 8 % 5) {
                            case 0, 1 ->
                                Operation.create(path, new byte[] {(byte) bits}, bits % 2 == 0, bits % 16 == 3);
                            case 2 -> Operation.delete(path, bits % 4 == 0 ? 0 : -1);
                            case 3 -> Operation.set(path, new byte[bits % 120], bits % 5 - 1);
                            default -> Operation.check(path, bits % 3 - 1);
                        });
            }
            String before = original.toString();
            Tree.TransactionResult transaction = action % 17 == 0
                    ? original.closeSession(action % 3, action)
                    : original.apply(operations, 1 + Math.floorMod(action, 2), action);
            if (!transaction.done()) {
                assertEquals(before, original.toString());
            }
            transaction.changes().forEach(replayed::replay);
            assertEquals(original.toString(), replayed.toString());
        }
    }

    @Test
    void watchesFireOnceOrRepeatedlyByKind() {
        Watches<String> watches = new Watches<>();
        watches.add(Watches.Kind.DATA, "/a/x", "data");
        watches.add(Watches.Kind.CHILDREN, "/a", "children");
        watches.add(Watches.Kind.PERSISTENT, "/a", "stays");
        watches.add(Watches.Kind.RECURSIVE, "/", "all");
        List<Event> created =
                List.of(new Event(Event.Kind.CREATED, "/a/x"), new Event(Event.Kind.CHILDREN_CHANGED, "/a"));
        assertEquals(created.subList(0, 1), watches.trigger(created).get("data"));
        assertEquals(2, watches.size());
        assertEquals(created.subList(1, 2), watches.trigger(created).get("stays"));
        assertEquals(created.subList(0, 1), watches.trigger(created).get("all"));
        assertNull(watches.trigger(created).get("children"));
        watches.removeWatcher("all");
        assertEquals(1, watches.size());
    }
}
