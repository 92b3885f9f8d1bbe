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
 * The nodes of a coordination service, without I/O or a clock. Each change has its number, the zxid, and
 * either happens whole or not at all; what it is that happens is told as plain {@link Change}s, by which the
 * same tree can be made again.
 */
public final class Tree {
    /** One node's change, as a log keeps it. */
    public record Change(long zxid, Kind kind, String path, byte[] data, long owner, long atMillis) {
        /** What happened to the node. */
        public enum Kind {
            CREATE,
            DELETE,
            SET
        }
    }

    /** One operation of a request that changes something; several are transaction together or not at all. */
    public record Operation(Kind kind, String path, byte[] data, int version, boolean ephemeral, boolean sequential) {
        /** What the operation does, or checks. */
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

    /** What became of a operation: its error, or the path that was created or the node as it is now. */
    public record OperationResult(ErrorCode error, String path, Stat stat) {}

    /** What became of all of them, and the events that follow. */
    public record TransactionResult(
            boolean done, List<OperationResult> results, List<Change> changes, List<Event> events) {}

    private static final class Node {
        byte[] data;
        final long created;
        final long createdAt;
        final long owner;
        long modified;
        long modifiedAt;
        long childrenChanged;
        int version;
        int childVersion;
        final Set<String> children = new TreeSet<>();

        Node(byte[] data, long zxid, long atMillis, long owner) {
            this.data = data;
            this.created = zxid;
            this.createdAt = atMillis;
            this.owner = owner;
            modified = zxid;
            modifiedAt = atMillis;
            childrenChanged = zxid;
        }

        Stat stat() {
            return new Stat(
                    created,
                    modified,
                    createdAt,
                    modifiedAt,
                    version,
                    childVersion,
                    0,
                    owner,
                    data == null ? 0 : data.length,
                    children.size(),
                    childrenChanged);
        }
    }

    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<Long, Set<String>> ephemerals = new TreeMap<>();
    private final int maxDataBytes;
    private long zxid;

    /** {@code maxDataBytes}: bytes that a node may hold. */
    public Tree(int maxDataBytes) {
        this.maxDataBytes = maxDataBytes;
        nodes.put("/", new Node(new byte[0], 0, 0, 0));
    }

    public long zxid() {
        return zxid;
    }

    public int size() {
        return nodes.size();
    }

    // ---- Reading.

    /** Null where there is no such node. */
    public Stat stat(String path) {
        Node node = nodes.get(path);
        return node == null ? null : node.stat();
    }

    public byte[] data(String path) {
        return nodes.get(path).data;
    }

    public List<String> children(String path) {
        return List.copyOf(nodes.get(path).children);
    }

    /** The nodes that go with this session. */
    public List<String> ephemerals(long session) {
        return List.copyOf(ephemerals.getOrDefault(session, Set.of()));
    }

    // ---- Changing.

    /** Takes all these operations as one change with one zxid, or none of them. */
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
                // as the protocol tells it: those after it were not looked at
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
                        ? operation.path() + String.format("%010d", parent.childVersion)
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

    /** A session is over: its nodes go with it, as one change. */
    public TransactionResult closeSession(long session, long atMillis) {
        List<Operation> operations = new ArrayList<>();
        ephemerals(session).forEach(path -> operations.add(Operation.delete(path, -1)));
        return apply(operations, session, atMillis);
    }

    /** Changes that make this tree's nodes and data, parents first; versions begin anew with them. */
    public List<Change> changes() {
        List<Change> all = new ArrayList<>();
        new TreeMap<>(nodes).forEach((path, node) -> {
            if (!path.equals("/")) {
                all.add(new Change(node.created, Change.Kind.CREATE, path, node.data, node.owner, node.createdAt));
            }
        });
        if (zxid > 0) { // so that no number comes twice
            all.add(new Change(zxid, Change.Kind.SET, "/", nodes.get("/").data, 0, 0));
        }
        return all;
    }

    /** Makes a change again, as a log has it. */
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
        long childrenChanged = parent.childrenChanged;
        nodes.put(c.path(), new Node(c.data(), c.zxid(), c.atMillis(), c.owner()));
        parent.children.add(Paths.name(c.path()));
        parent.childVersion++;
        parent.childrenChanged = c.zxid();
        if (c.owner() != 0) {
            ephemerals.computeIfAbsent(c.owner(), k -> new TreeSet<>()).add(c.path());
        }
        return () -> {
            remove(c.path(), c.owner());
            parent.childVersion--;
            parent.childrenChanged = childrenChanged;
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
        long childrenChanged = parent.childrenChanged;
        remove(c.path(), node.owner);
        parent.childVersion++;
        parent.childrenChanged = c.zxid();
        return () -> {
            nodes.put(c.path(), node);
            parent.children.add(Paths.name(c.path()));
            parent.childVersion--;
            parent.childrenChanged = childrenChanged;
            if (node.owner != 0) {
                ephemerals.computeIfAbsent(node.owner, k -> new TreeSet<>()).add(c.path());
            }
        };
    }

    private Runnable set(Change c) {
        Node node = nodes.get(c.path());
        byte[] data = node.data;
        long modified = node.modified;
        long modifiedAt = node.modifiedAt;
        node.data = c.data();
        node.modified = c.zxid();
        node.modifiedAt = c.atMillis();
        node.version++;
        return () -> {
            node.data = data;
            node.modified = modified;
            node.modifiedAt = modifiedAt;
            node.version--;
        };
    }

    /** All that can be read of it, for comparing two trees. */
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
