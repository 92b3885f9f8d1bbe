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
final class PowerCutRuns {
    interface StoreOpener {
        RecordStore open(SimulatedDisk disk) throws Exception;
    }

    /** From this many calls on, one of these states is to be read. */
    private record ExpectedStates(int fromCall, List<Map<String, ByteBuffer>> states) {}

    private final StoreOpener opener;
    private final Random random;
    private final int bigRecordBytes;
    /** How many images were opened. */
    int imageCount;

    int cutCount;
    final Map<String, Integer> faults = new TreeMap<>();
    final List<String> examples = new ArrayList<>();

    /** Whether the disk also refuses calls now and then, and processes are killed in a write. */
    boolean injectFailures = true;
    /** Of a thousand calls, how many are followed by a cut. */
    int cutPermille = 1000;
    /** The disk of the first generation. */
    SimulatedDisk firstDisk = new SimulatedDisk();

    int failedWrites;

    PowerCutRuns(StoreOpener opener, long seed, int bigRecord) {
        this.opener = opener;
        this.random = new Random(seed);
        this.bigRecordBytes = bigRecord;
    }

    static Map<String, ByteBuffer> state(Map<String, byte[]> records) {
        Map<String, ByteBuffer> state = new HashMap<>();
        records.forEach((name, bytes) -> state.put(name, ByteBuffer.wrap(bytes)));
        return state;
    }

    static Map<String, ByteBuffer> withChanges(Map<String, ByteBuffer> state, Map<String, byte[]> changes) {
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

    static Map<String, byte[]> randomChanges(Random random, int bigRecord) {
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
    PowerCutRuns run(int generations, int writes, int mixes) throws Exception {
        SimulatedDisk disk = firstDisk;
        List<Map<String, ByteBuffer>> states = List.of(Map.of());
        for (int i = 0; i < generations; i++) {
            List<ExpectedStates> marks = new ArrayList<>(List.of(new ExpectedStates(0, states)));
            if (!runProcesses(disk, marks, writes)) {
                return this;
            }
            checkCuts(disk, marks, mixes);
            int at = random.nextInt(disk.calls.size() + 1);
            SimulatedDisk.Replay replay = disk.new Replay();
            while (replay.position() < at) {
                replay.step();
            }
            states = expectedAt(marks, at);
            disk = new SimulatedDisk(replay.filesAfterCut(SimulatedDisk.UnsyncedCalls.MIXED, random));
        }
        return this;
    }

    /** Some processes after one another on this disk, while the power stays; false where one could not go on. */
    private boolean runProcesses(SimulatedDisk disk, List<ExpectedStates> marks, int writes) throws Exception {
        int left = writes;
        while (left > 0) {
            RecordStore recordStore = callOrRecordFault("start", () -> opener.open(disk));
            if (recordStore == null || !readAndCheck(recordStore, disk, marks)) {
                return false;
            }
            boolean killed = false;
            for (int i = 1 + random.nextInt(writes); i > 0 && left > 0 && !killed; i--, left--) {
                int sort = injectFailures ? random.nextInt(12) : 11;
                killed = sort == 0;
                if (sort < 2) {
                    disk.failingCall = disk.attemptedCalls() + random.nextInt(8);
                    disk.failureCount = killed ? Integer.MAX_VALUE : 1 + random.nextInt(2);
                } else if (sort == 2) {
                    disk.capacityBytes = disk.usedBytes() + random.nextInt(8000);
                }
                Map<String, byte[]> changes = randomChanges(random, bigRecordBytes);
                Map<String, ByteBuffer> before =
                        marks.get(marks.size() - 1).states.get(0);
                Map<String, ByteBuffer> after = withChanges(before, changes);
                marks.add(new ExpectedStates(disk.calls.size(), List.of(before, after)));
                try {
                    recordStore.write(changes);
                    marks.add(new ExpectedStates(disk.calls.size(), List.of(after)));
                } catch (RecordStoreException e) {
                    failedWrites++;
                }
                disk.failingCall = -1;
                disk.capacityBytes = Long.MAX_VALUE;
                if (!killed
                        && marks.get(marks.size() - 1).states.size() > 1
                        && !readAndCheck(recordStore, disk, marks)) {
                    return false;
                }
            }
            if (!killed && random.nextBoolean()) {
                recordStore.close();
            }
        }
        return true;
    }

    private boolean readAndCheck(RecordStore recordStore, SimulatedDisk disk, List<ExpectedStates> marks) {
        List<Map<String, ByteBuffer>> states = marks.get(marks.size() - 1).states;
        Map<String, byte[]> records = callOrRecordFault("read", recordStore::read);
        if (records != null && checkState("live", state(records), states)) {
            marks.add(new ExpectedStates(disk.calls.size(), List.of(state(records))));
            return true;
        }
        return false;
    }

    private void checkCuts(SimulatedDisk disk, List<ExpectedStates> marks, int mixes) {
        SimulatedDisk.Replay replay = disk.new Replay();
        while (true) {
            if (random.nextInt(1000) >= cutPermille && replay.position() < disk.calls.size()) {
                replay.step();
                continue;
            }
            cutCount++;
            List<Map<String, ByteBuffer>> states = expectedAt(marks, replay.position());
            openAndCheck(replay.filesAfterCut(SimulatedDisk.UnsyncedCalls.LOST, random), states, "gone");
            if (replay.unsyncedCount() > 0) {
                openAndCheck(replay.filesAfterCut(SimulatedDisk.UnsyncedCalls.APPLIED, random), states, "there");
                for (int i = 0; i < mixes; i++) {
                    openAndCheck(replay.filesAfterCut(SimulatedDisk.UnsyncedCalls.MIXED, random), states, "mixed");
                }
            }
            if (replay.position() == disk.calls.size()) {
                return;
            }
            replay.step();
        }
    }

    private void openAndCheck(Map<String, byte[]> image, List<Map<String, ByteBuffer>> states, String what) {
        imageCount++;
        Map<String, byte[]> records = callOrRecordFault(what, () -> {
            try (RecordStore recordStore = opener.open(new SimulatedDisk(image))) {
                return recordStore.read();
            }
        });
        if (records != null) {
            checkState(what, state(records), states);
        }
    }

    private <T> T callOrRecordFault(String what, Callable<T> call) {
        try {
            return call.call();
        } catch (Exception | LinkageError | OutOfMemoryError | StackOverflowError | AssertionError e) {
            recordFault(what + ": could not be opened", e);
            return null;
        }
    }

    private boolean checkState(String what, Map<String, ByteBuffer> found, List<Map<String, ByteBuffer>> states) {
        if (states.contains(found)) {
            return true;
        }
        recordFault(what + (found.isEmpty() ? ": all lost, read as empty" : ": not what was written"), null);
        return false;
    }

    private void recordFault(String what, Throwable cause) {
        faults.merge(what, 1, Integer::sum);
        if (cause != null && examples.size() < 12) {
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            examples.add(what + "\n" + trace);
        }
    }

    private static List<Map<String, ByteBuffer>> expectedAt(List<ExpectedStates> marks, int call) {
        List<Map<String, ByteBuffer>> states = null;
        for (ExpectedStates mark : marks) {
            if (mark.fromCall <= call) {
                states = mark.states;
            }
        }
        return states;
    }

    PowerCutRuns add(PowerCutRuns more) {
        if (more != null) {
            cutCount += more.cutCount;
            imageCount += more.imageCount;
            failedWrites += more.failedWrites;
            more.faults.forEach((what, count) -> faults.merge(what, count, Integer::sum));
        }
        return this;
    }

    @Override
    public String toString() {
        return cutCount + " cuts, " + imageCount + " images, " + failedWrites + " writes refused, faults " + faults;
    }
}
