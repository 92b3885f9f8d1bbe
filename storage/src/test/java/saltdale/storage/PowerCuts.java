package saltdale.storage;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;

/**
 * Runs of writes with the power cut after every call to the disk, and what was seen when the record store was
 * opened anew.
 */
final class PowerCuts {
    interface Opener {
        RecordStore open(CutDisk disk) throws Exception;
    }

    /** From this many calls on, one of these states is to be read. */
    private record Mark(int call, List<Map<String, ByteBuffer>> states) {}

    private final Opener opener;
    private final Random random;
    private final int bigRecord;
    /** How many images were opened. */
    int images;

    int cuts;
    final Map<String, Integer> faults = new TreeMap<>();
    final List<String> examples = new ArrayList<>();

    /** Whether the disk also refuses calls now and then, and processes are killed in a write. */
    boolean troubles = true;
    /** Of a thousand calls, how many are followed by a cut. */
    int share = 1000;
    /** The disk of the first generation. */
    CutDisk start = new CutDisk();

    int failedWrites;

    PowerCuts(Opener opener, long seed, int bigRecord) {
        this.opener = opener;
        this.random = new Random(seed);
        this.bigRecord = bigRecord;
    }

    static Map<String, ByteBuffer> state(Map<String, byte[]> records) {
        Map<String, ByteBuffer> state = new HashMap<>();
        records.forEach((name, bytes) -> state.put(name, ByteBuffer.wrap(bytes)));
        return state;
    }

    static Map<String, ByteBuffer> put(Map<String, ByteBuffer> state, Map<String, byte[]> changes) {
        Map<String, ByteBuffer> next = new HashMap<>(state);
        changes.forEach((name, bytes) -> {
            if (bytes == null) {
                next.remove(name);
            } else {
                next.put(name, ByteBuffer.wrap(bytes));
            }
        });
        return next;
    }

    static Map<String, byte[]> changes(Random random, int bigRecord) {
        Map<String, byte[]> changes = new LinkedHashMap<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            int sort = random.nextInt(20);
            byte[] record = new byte[sort == 0 ? bigRecord : sort < 4 ? random.nextInt(20_000) : random.nextInt(2_000)];
            random.nextBytes(record);
            changes.put("record " + random.nextInt(12), sort == 19 ? null : record);
        }
        return changes;
    }

    /** Each generation starts from what a random cut of the one before has left. */
    PowerCuts run(int generations, int writes, int mixes) throws Exception {
        CutDisk disk = start;
        List<Map<String, ByteBuffer>> states = List.of(Map.of());
        for (int i = 0; i < generations; i++) {
            List<Mark> marks = new ArrayList<>(List.of(new Mark(0, states)));
            if (!play(disk, marks, writes)) {
                return this;
            }
            cut(disk, marks, mixes);
            int at = random.nextInt(disk.calls.size() + 1);
            CutDisk.Replay replay = disk.new Replay();
            while (replay.at() < at) {
                replay.step();
            }
            states = at(marks, at);
            disk = new CutDisk(replay.left(CutDisk.Later.MIXED, random));
        }
        return this;
    }

    /** Some processes after one another on this disk, while the power stays; false where one could not go on. */
    private boolean play(CutDisk disk, List<Mark> marks, int writes) throws Exception {
        int left = writes;
        while (left > 0) {
            RecordStore recordStore = tried("start", () -> opener.open(disk));
            if (recordStore == null || !read(recordStore, disk, marks)) {
                return false;
            }
            boolean killed = false;
            for (int i = 1 + random.nextInt(writes); i > 0 && left > 0 && !killed; i--, left--) {
                int sort = troubles ? random.nextInt(12) : 11;
                killed = sort == 0;
                if (sort < 2) {
                    disk.failingCall = disk.changes() + random.nextInt(8);
                    disk.failures = killed ? Integer.MAX_VALUE : 1 + random.nextInt(2);
                } else if (sort == 2) {
                    disk.capacity = disk.used() + random.nextInt(8000);
                }
                Map<String, byte[]> changes = changes(random, bigRecord);
                Map<String, ByteBuffer> before =
                        marks.get(marks.size() - 1).states.get(0);
                Map<String, ByteBuffer> after = put(before, changes);
                marks.add(new Mark(disk.calls.size(), List.of(before, after)));
                try {
                    recordStore.write(changes);
                    marks.add(new Mark(disk.calls.size(), List.of(after)));
                } catch (RecordStoreException e) {
                    failedWrites++;
                }
                disk.failingCall = -1;
                disk.capacity = Long.MAX_VALUE;
                if (!killed && marks.get(marks.size() - 1).states.size() > 1 && !read(recordStore, disk, marks)) {
                    return false;
                }
            }
            if (!killed && random.nextBoolean()) {
                recordStore.close();
            }
        }
        return true;
    }

    private boolean read(RecordStore recordStore, CutDisk disk, List<Mark> marks) {
        List<Map<String, ByteBuffer>> states = marks.get(marks.size() - 1).states;
        Map<String, byte[]> records = tried("read", recordStore::read);
        if (records != null && judge("live", state(records), states)) {
            marks.add(new Mark(disk.calls.size(), List.of(state(records))));
            return true;
        }
        return false;
    }

    private void cut(CutDisk disk, List<Mark> marks, int mixes) {
        CutDisk.Replay replay = disk.new Replay();
        while (true) {
            if (random.nextInt(1000) >= share && replay.at() < disk.calls.size()) {
                replay.step();
                continue;
            }
            cuts++;
            List<Map<String, ByteBuffer>> states = at(marks, replay.at());
            open(replay.left(CutDisk.Later.GONE, random), states, "gone");
            if (replay.open() > 0) {
                open(replay.left(CutDisk.Later.THERE, random), states, "there");
                for (int i = 0; i < mixes; i++) {
                    open(replay.left(CutDisk.Later.MIXED, random), states, "mixed");
                }
            }
            if (replay.at() == disk.calls.size()) {
                return;
            }
            replay.step();
        }
    }

    private void open(Map<String, byte[]> image, List<Map<String, ByteBuffer>> states, String what) {
        images++;
        Map<String, byte[]> records = tried(what, () -> {
            try (RecordStore recordStore = opener.open(new CutDisk(image))) {
                return recordStore.read();
            }
        });
        if (records != null) {
            judge(what, state(records), states);
        }
    }

    private <T> T tried(String what, Callable<T> call) {
        try {
            return call.call();
        } catch (Exception | LinkageError | OutOfMemoryError | StackOverflowError | AssertionError e) {
            fault(what + ": could not be opened", e);
            return null;
        }
    }

    private boolean judge(String what, Map<String, ByteBuffer> found, List<Map<String, ByteBuffer>> states) {
        if (states.contains(found)) {
            return true;
        }
        fault(what + (found.isEmpty() ? ": all lost, read as empty" : ": not what was written"), null);
        return false;
    }

    private void fault(String what, Throwable cause) {
        faults.merge(what, 1, Integer::sum);
        if (cause != null && examples.size() < 12) {
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            examples.add(what + "\n" + trace);
        }
    }

    private static List<Map<String, ByteBuffer>> at(List<Mark> marks, int call) {
        List<Map<String, ByteBuffer>> states = null;
        for (Mark mark : marks) {
            if (mark.call <= call) {
                states = mark.states;
            }
        }
        return states;
    }

    PowerCuts plus(PowerCuts more) {
        if (more != null) {
            cuts += more.cuts;
            images += more.images;
            failedWrites += more.failedWrites;
            more.faults.forEach((what, count) -> faults.merge(what, count, Integer::sum));
        }
        return this;
    }

    @Override
    public String toString() {
        return cuts + " cuts, " + images + " images, " + failedWrites + " writes refused, faults " + faults;
    }
}
