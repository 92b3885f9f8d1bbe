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
 * Writes to a record store on a simulated disk, cuts the power after each call to the disk, reopens the store and
 * counts what was lost.
 */
final class PowerCutRuns {
    /** Opens the record store under test on a disk. */
    interface StoreOpener {
        RecordStore open(SimulatedDisk disk) throws Exception;
    }

    /** The states of which one must be read once this number of disk calls has been made. */
    private record ExpectedStates(int fromCall, List<Map<String, ByteBuffer>> states) {}

    private final StoreOpener opener;
    private final Random random;
    private final int bigRecordBytes;
    /** How many disk images after a power cut were opened. */
    int imageCount;

    /** How many power cuts were simulated. */
    int cutCount;
    /** How often each kind of fault was found. */
    final Map<String, Integer> faults = new TreeMap<>();
    /** Stack traces of the first faults that were caused by an exception. */
    final List<String> examples = new ArrayList<>();

    /** Whether disk calls also fail occasionally, and processes are killed during a write. */
    boolean injectFailures = true;
    /** How many of 1000 calls are followed by a power cut. */
    int cutPermille = 1000;
    /** The disk that the first generation starts from. */
    SimulatedDisk firstDisk = new SimulatedDisk();

    int failedWrites;

    PowerCutRuns(StoreOpener opener, long seed, int bigRecordBytes) {
        this.opener = opener;
        this.random = new Random(seed);
        this.bigRecordBytes = bigRecordBytes;
    }

    /** Returns the records in a form that can be compared with {@code equals}. */
    static Map<String, ByteBuffer> state(Map<String, byte[]> records) {
        Map<String, ByteBuffer> state = new HashMap<>();
        records.forEach((name, bytes) -> state.put(name, ByteBuffer.wrap(bytes)));
        return state;
    }

    /** Returns the state after the changes were written. */
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

    static Map<String, byte[]> randomChanges(Random random, int bigRecordBytes) {
        Map<String, byte[]> changes = new LinkedHashMap<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            int choice = random.nextInt(20);
            byte[] record = new byte
                    [choice == 0 ? bigRecordBytes : choice < 4 ? random.nextInt(20_000) : random.nextInt(2_000)];
            random.nextBytes(record);
            changes.put("record " + random.nextInt(12), choice == 19 ? null : record);
        }
        return changes;
    }

    /**
     * Runs generations of writes; each one starts from what a random power cut left of the generation before.
     *
     * @param mixes how many images with randomly torn writes are opened for each power cut
     */
    PowerCutRuns run(int generations, int writes, int mixes) throws Exception {
        SimulatedDisk disk = firstDisk;
        List<Map<String, ByteBuffer>> states = List.of(Map.of());
        for (int i = 0; i < generations; i++) {
            List<ExpectedStates> expected = new ArrayList<>(List.of(new ExpectedStates(0, states)));
            if (!runProcesses(disk, expected, writes)) {
                return this;
            }
            checkCuts(disk, expected, mixes);
            int cutPosition = random.nextInt(disk.calls.size() + 1);
            SimulatedDisk.Replay replay = disk.new Replay();
            while (replay.position() < cutPosition) {
                replay.step();
            }
            states = expectedAt(expected, cutPosition);
            disk = new SimulatedDisk(replay.filesAfterCut(SimulatedDisk.UnsyncedCalls.MIXED, random));
        }
        return this;
    }

    /** Runs several processes in sequence without a power cut; returns false if one failed unexpectedly. */
    private boolean runProcesses(SimulatedDisk disk, List<ExpectedStates> expected, int writes) throws Exception {
        int remaining = writes;
        while (remaining > 0) {
            RecordStore recordStore = callOrRecordFault("start", () -> opener.open(disk));
            if (recordStore == null || !readAndCheck(recordStore, disk, expected)) {
                return false;
            }
            boolean killed = false;
            for (int i = 1 + random.nextInt(writes); i > 0 && remaining > 0 && !killed; i--, remaining--) {
                int choice = injectFailures ? random.nextInt(12) : 11;
                killed = choice == 0;
                if (choice < 2) {
                    disk.failingCall = disk.attemptedCalls() + random.nextInt(8);
                    disk.failureCount = killed ? Integer.MAX_VALUE : 1 + random.nextInt(2);
                } else if (choice == 2) {
                    disk.capacityBytes = disk.usedBytes() + random.nextInt(8000);
                }
                Map<String, byte[]> changes = randomChanges(random, bigRecordBytes);
                Map<String, ByteBuffer> before =
                        expected.get(expected.size() - 1).states.get(0);
                Map<String, ByteBuffer> after = withChanges(before, changes);
                expected.add(new ExpectedStates(disk.calls.size(), List.of(before, after)));
                try {
                    recordStore.write(changes);
                    expected.add(new ExpectedStates(disk.calls.size(), List.of(after)));
                } catch (RecordStoreException e) {
                    failedWrites++;
                }
                disk.failingCall = -1;
                disk.capacityBytes = Long.MAX_VALUE;
                if (!killed
                        && expected.get(expected.size() - 1).states.size() > 1
                        && !readAndCheck(recordStore, disk, expected)) {
                    return false;
                }
            }
            if (!killed && random.nextBoolean()) {
                recordStore.close();
            }
        }
        return true;
    }

    private boolean readAndCheck(RecordStore recordStore, SimulatedDisk disk, List<ExpectedStates> expected) {
        List<Map<String, ByteBuffer>> states = expected.get(expected.size() - 1).states;
        Map<String, byte[]> records = callOrRecordFault("read", recordStore::read);
        if (records != null && checkState("live", state(records), states)) {
            expected.add(new ExpectedStates(disk.calls.size(), List.of(state(records))));
            return true;
        }
        return false;
    }

    /** Cuts the power after the calls to the disk and checks what the store reads in each case. */
    private void checkCuts(SimulatedDisk disk, List<ExpectedStates> expected, int mixes) {
        SimulatedDisk.Replay replay = disk.new Replay();
        while (true) {
            if (random.nextInt(1000) >= cutPermille && replay.position() < disk.calls.size()) {
                replay.step();
                continue;
            }
            cutCount++;
            List<Map<String, ByteBuffer>> states = expectedAt(expected, replay.position());
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

    private void openAndCheck(Map<String, byte[]> image, List<Map<String, ByteBuffer>> states, String label) {
        imageCount++;
        Map<String, byte[]> records = callOrRecordFault(label, () -> {
            try (RecordStore recordStore = opener.open(new SimulatedDisk(image))) {
                return recordStore.read();
            }
        });
        if (records != null) {
            checkState(label, state(records), states);
        }
    }

    private <T> T callOrRecordFault(String label, Callable<T> call) {
        try {
            return call.call();
        } catch (Exception | LinkageError | OutOfMemoryError | StackOverflowError | AssertionError e) {
            recordFault(label + ": could not be opened", e);
            return null;
        }
    }

    private boolean checkState(String label, Map<String, ByteBuffer> found, List<Map<String, ByteBuffer>> states) {
        if (states.contains(found)) {
            return true;
        }
        recordFault(label + (found.isEmpty() ? ": all lost, read as empty" : ": not what was written"), null);
        return false;
    }

    private void recordFault(String description, Throwable cause) {
        faults.merge(description, 1, Integer::sum);
        if (cause != null && examples.size() < 12) {
            StringWriter trace = new StringWriter();
            cause.printStackTrace(new PrintWriter(trace));
            examples.add(description + "\n" + trace);
        }
    }

    private static List<Map<String, ByteBuffer>> expectedAt(List<ExpectedStates> expected, int call) {
        List<Map<String, ByteBuffer>> states = null;
        for (ExpectedStates entry : expected) {
            if (entry.fromCall <= call) {
                states = entry.states;
            }
        }
        return states;
    }

    PowerCutRuns add(PowerCutRuns other) {
        if (other != null) {
            cutCount += other.cutCount;
            imageCount += other.imageCount;
            failedWrites += other.failedWrites;
            other.faults.forEach((description, count) -> faults.merge(description, count, Integer::sum));
        }
        return this;
    }

    @Override
    public String toString() {
        return cutCount + " cuts, " + imageCount + " disk images, " + failedWrites + " failed writes, faults " + faults;
    }
}
