package saltdale.nodes.tree;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import saltdale.nodes.wire.ErrorCode;
import saltdale.nodes.wire.Event;
import saltdale.nodes.wire.Paths;
import saltdale.nodes.wire.Stat;

/**
 * The tree of nodes of a ZooKeeper server, without I/O or a clock. Each transaction has a number, the
 * zxid, and is applied completely or not at all. Its effects are returned as plain {@link Change}s, from
 * which the same tree can be rebuilt.
 */
public final class Tree {
    /** A change of one node, as recorded in the log. */
    public record Change(long zxid, Kind kind, String path, byte[] data, long owner, long atMillis) {
        /** The kind of change; written to disk by position. */
        public enum Kind {
            CREATE,
            DELETE,
            SET
        }
    }

    /** One operation of a write request; the operations of a multi are applied together or not at all. */
    public record Operation(Kind kind, String path, byte[] data, int version, boolean ephemeral, boolean sequential) {
        /** The kind of operation; CHECK only compares the version. */
        public enum Kind {
            CREATE,
            DELETE,
            SET,
            CHECK
        }

        public static Operation create(String path, byte[] data, boolean ephemeral, boolean sequential) {
            return new Operation(Kind.CREATE, path, data, -1, ephemeral, sequential);
        }

        public static Operation delete(String path, int version) {
            return new Operation(Kind.DELETE, path, null, version, false, false);
        }

        public static Operation set(String path, byte[] data, int version) {
            return new Operation(Kind.SET, path, data, version, false, false);
        }

        public static Operation check(String path, int version) {
            return new Operation(Kind.CHECK, path, null, version, false, false);
        }
    }

    /** Result of one operation: its error, or the created path, or the stat of the changed node. */
    public record OperationResult(ErrorCode error, String path, Stat stat) {}

    /** Results of all operations of a transaction, the changes made, and the watch events caused by it. */
    public record TransactionResult(
            boolean done, List<OperationResult> results, List<Change> changes, List<Event> events) {}

    private static final class Node {
        byte[] data;
        final long czxid;
        final long ctimeMillis;
        final long owner;
        long mzxid;
        long mtimeMillis;
        long pzxid;
        int version;
        int cversion;
        final Set<String> children = new TreeSet<>();

        Node(byte[] data, long zxid, long atMillis, long owner) {
            this.data = data;
            this.czxid = zxid;
            this.ctimeMillis = atMillis;
            this.owner = owner;
            mzxid = zxid;
            mtimeMillis = atMillis;
            pzxid = zxid;
        }

        Stat stat() {
            return new Stat(
                    czxid,
                    mzxid,
                    ctimeMillis,
                    mtimeMillis,
                    version,
                    cversion,
                    0,
                    owner,
                    data == null ? 0 : data.length,
                    children.size(),
                    pzxid);
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<Long, Set<String>> ephemerals = new TreeMap<>();
    private final int maxDataBytes;
    private long zxid;

    /** {@code maxDataBytes}: upper bound of the data of a node. */
    public Tree(int maxDataBytes) {
        this.maxDataBytes = maxDataBytes;
        nodes.put("/", new Node(new byte[0], 0, 0, 0));
    }

    /** The zxid of the last transaction. */
    public long zxid() {
        return zxid;
    }

    /** Number of nodes, including the root. */
    public int size() {
        return nodes.size();
    }

    // ---- Reads.

    /** The stat of a node; null if it does not exist. */
    public Stat stat(String path) {
        Node node = nodes.get(path);
        return node == null ? null : node.stat();
    }

    /** The data of an existing node. */
    public byte[] data(String path) {
        return nodes.get(path).data;
    }

    /** Names of the children of an existing node. */
    public List<String> children(String path) {
        return List.copyOf(nodes.get(path).children);
    }

    /** The ephemeral nodes owned by this session. */
    public List<String> ephemerals(long session) {
        return List.copyOf(ephemerals.getOrDefault(session, Set.of()));
    }

    // ---- Writes.

    /** Applies all operations as one transaction with one zxid, or none of them. */
    public TransactionResult apply(List<Operation> operations, long session, long atMillis) {
        List<OperationResult> results = new ArrayList<>();
        List<Change> done = new ArrayList<>();
        List<Event> events = new ArrayList<>();
        List<Runnable> undo = new ArrayList<>();
        long nextZxid = zxid + 1;
        for (Operation operation : operations) {
            OperationResult result = applyOne(operation, session, nextZxid, atMillis, done, events, undo);
            if (result.error() != ErrorCode.OK) {
                for (int i = undo.size() - 1; i >= 0; i--) {
                    undo.get(i).run();
                }
                int failed = results.size();
                results.clear();
                // As in ZooKeeper's reply to a failed multi: the operations after the failed one were not
                // examined.
                for (int i = 0; i < operations.size(); i++) {
                    results.add(
                            i == failed
                                    ? result
                                    : new OperationResult(
                                            i < failed ? ErrorCode.OK : ErrorCode.RUNTIME_INCONSISTENCY, null, null));
                }
                return new TransactionResult(false, results, List.of(), List.of());
            }
            results.add(result);
        }
        zxid = done.isEmpty() ? zxid : nextZxid;
        return new TransactionResult(true, results, done, events);
    }

    private OperationResult applyOne(
            Operation operation,
            long session,
            long nextZxid,
            long atMillis,
            List<Change> done,
            List<Event> events,
            List<Runnable> undo) {
        ErrorCode error = validate(operation);
        if (error != ErrorCode.OK) {
            return new OperationResult(error, null, null);
        }
        switch (operation.kind()) {
            case CREATE -> {
                Node parent = nodes.get(Paths.parent(operation.path()));
                String path = operation.sequential()
                        ? operation.path() + String.format("%010d", parent.cversion)
                        : operation.path();
                if (nodes.containsKey(path)) {
                    return new OperationResult(ErrorCode.NODE_EXISTS, null, null);
                }
                Change change = new Change(
                        nextZxid,
                        Change.Kind.CREATE,
                        path,
                        operation.data(),
                        operation.ephemeral() ? session : 0,
                        atMillis);
                undo.add(create(change));
                done.add(change);
                events.add(new Event(Event.Kind.CREATED, path));
                events.add(new Event(Event.Kind.CHILDREN_CHANGED, Paths.parent(path)));
                return new OperationResult(ErrorCode.OK, path, nodes.get(path).stat());
            }
            case DELETE -> {
                Change change = new Change(nextZxid, Change.Kind.DELETE, operation.path(), null, 0, atMillis);
                undo.add(delete(change));
                done.add(change);
                events.add(new Event(Event.Kind.DELETED, operation.path()));
                events.add(new Event(Event.Kind.CHILDREN_CHANGED, Paths.parent(operation.path())));
                return new OperationResult(ErrorCode.OK, operation.path(), null);
            }
            case SET -> {
                Change change = new Change(nextZxid, Change.Kind.SET, operation.path(), operation.data(), 0, atMillis);
                undo.add(set(change));
                done.add(change);
                events.add(new Event(Event.Kind.DATA_CHANGED, operation.path()));
                return new OperationResult(
                        ErrorCode.OK,
                        operation.path(),
                        nodes.get(operation.path()).stat());
            }
            default -> {
                return new OperationResult(ErrorCode.OK, operation.path(), null);
            }
        }
    }

    private ErrorCode validate(Operation operation) {
        if (Paths.validationError(operation.path()) != null && !operation.sequential()
                || operation.data() != null && operation.data().length > maxDataBytes) {
            return ErrorCode.BAD_ARGUMENTS;
        }
        if (operation.kind() == Operation.Kind.CREATE) {
            if (Paths.validationError(operation.path() + (operation.sequential() ? "0" : "")) != null
                    || operation.path().equals("/")) {
                return ErrorCode.BAD_ARGUMENTS;
            }
            Node parent = nodes.get(Paths.parent(operation.path()));
            return parent == null
                    ? ErrorCode.NO_NODE
                    : parent.owner != 0 ? ErrorCode.NO_CHILDREN_FOR_EPHEMERALS : ErrorCode.OK;
        }
        Node node = nodes.get(operation.path());
        if (node == null) {
            return ErrorCode.NO_NODE;
        } else if (operation.version() != -1 && operation.version() != node.version) {
            return ErrorCode.BAD_VERSION;
        } else if (operation.kind() == Operation.Kind.DELETE) {
            return operation.path().equals("/")
                    ? ErrorCode.BAD_ARGUMENTS
                    : node.children.isEmpty() ? ErrorCode.OK : ErrorCode.NOT_EMPTY;
        }
        return ErrorCode.OK;
    }

    /** Ends a session: its ephemeral nodes are deleted in one transaction. */
    public TransactionResult closeSession(long session, long atMillis) {
        List<Operation> operations = new ArrayList<>();
        ephemerals(session).forEach(path -> operations.add(Operation.delete(path, -1)));
        return apply(operations, session, atMillis);
    }

    /** The changes that rebuild the nodes and data of this tree, parents first. Versions start again at 0. */
    public List<Change> changes() {
        List<Change> all = new ArrayList<>();
        new TreeMap<>(nodes).forEach((path, node) -> {
            if (!path.equals("/")) {
                all.add(new Change(node.czxid, Change.Kind.CREATE, path, node.data, node.owner, node.ctimeMillis));
            }
        });
        if (zxid > 0) { // so that no zxid is used twice
            all.add(new Change(zxid, Change.Kind.SET, "/", nodes.get("/").data, 0, 0));
        }
        return all;
    }

    /** Applies a change again, as recorded in the log. */
    public void replay(Change change) {
        switch (change.kind()) {
            case CREATE -> create(change);
            case DELETE -> delete(change);
            case SET -> set(change);
        }
        zxid = Math.max(zxid, change.zxid());
    }

    private Runnable create(Change c) {
        Node parent = nodes.get(Paths.parent(c.path()));
        long pzxid = parent.pzxid;
        nodes.put(c.path(), new Node(c.data(), c.zxid(), c.atMillis(), c.owner()));
        parent.children.add(Paths.name(c.path()));
        parent.cversion++;
        parent.pzxid = c.zxid();
        if (c.owner() != 0) {
            ephemerals.computeIfAbsent(c.owner(), k -> new TreeSet<>()).add(c.path());
        }
        return () -> {
            remove(c.path(), c.owner());
            parent.cversion--;
            parent.pzxid = pzxid;
        };
    }

    private void remove(String path, long owner) {
        nodes.remove(path);
        nodes.get(Paths.parent(path)).children.remove(Paths.name(path));
        if (owner != 0) {
            Set<String> its = ephemerals.get(owner);
            its.remove(path);
            if (its.isEmpty()) {
                ephemerals.remove(owner);
            }
        }
    }

    private Runnable delete(Change c) {
        Node node = nodes.get(c.path());
        Node parent = nodes.get(Paths.parent(c.path()));
        long pzxid = parent.pzxid;
        remove(c.path(), node.owner);
        parent.cversion++;
        parent.pzxid = c.zxid();
        return () -> {
            nodes.put(c.path(), node);
            parent.children.add(Paths.name(c.path()));
            parent.cversion--;
            parent.pzxid = pzxid;
            if (node.owner != 0) {
                ephemerals.computeIfAbsent(node.owner, k -> new TreeSet<>()).add(c.path());
            }
        };
    }

    private Runnable set(Change c) {
        Node node = nodes.get(c.path());
        byte[] data = node.data;
        long mzxid = node.mzxid;
        long mtimeMillis = node.mtimeMillis;
        node.data = c.data();
        node.mzxid = c.zxid();
        node.mtimeMillis = c.atMillis();
        node.version++;
        return () -> {
            node.data = data;
            node.mzxid = mzxid;
            node.mtimeMillis = mtimeMillis;
            node.version--;
        };
    }

    /** The whole readable state, for comparing two trees. */
    @Override
    public String toString() {
        StringBuilder all = new StringBuilder();
        new TreeMap<>(nodes)
                .forEach((path, node) -> all.append(path)
                        .append(' ')
                        .append(Arrays.toString(node.data))
                        .append(' ')
                        .append(node.stat())
                        .append('\n'));
        return all.append(new HashSet<>(ephemerals.entrySet()))
                .append(' ')
                .append(zxid)
                .toString();
    }
}
