package saltdale.storage;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A simulated disk with one folder, which records every call and computes what may be left if the power fails after any
 * of them. What a file held at its last sync survives. Each later write may be applied, lost or torn. A new name
 * survives once its file was synced, any other change of a name once the folder was.
 */
final class SimulatedDisk {
    enum Kind {
        CREATE,
        WRITE,
        SET_LENGTH,
        SYNC,
        RENAME,
        DELETE,
        SYNC_FOLDER
    }

    /** A call to the disk; {@code file} is a number that identifies the file under all its names. */
    record DiskCall(Kind kind, int file, String name, String newName, long position, byte[] bytes) {}

    /** What happens on a power loss to calls that no sync has covered. */
    enum UnsyncedCalls {
        /** None of them takes effect. */
        LOST,
        /** All of them take effect. */
        APPLIED,
        /** Each one takes effect, is lost or is torn at random. */
        MIXED
    }

    /** The contents of a file; the array may be longer than the file. */
    static final class Contents {
        byte[] bytes = new byte[0];
        int length;

        Contents() {}

        Contents(byte[] bytes) {
            this.bytes = bytes.clone();
            length = bytes.length;
        }

        void write(long position, byte[] source, int offset, int count) {
            int end = Math.toIntExact(position + count);
            if (end > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
            }
            System.arraycopy(source, offset, bytes, (int) position, count);
            length = Math.max(length, end);
        }

        void setLength(long newLength) {
            int end = (int) newLength;
            if (end < length) {
                Arrays.fill(bytes, end, length, (byte) 0);
            } else if (end > bytes.length) {
                bytes = Arrays.copyOf(bytes, end);
            }
            length = end;
        }

        byte[] toBytes() {
            return Arrays.copyOf(bytes, length);
        }
    }

    final List<DiskCall> calls = new ArrayList<>();
    private final Map<String, byte[]> initialFiles;
    private final Map<String, Integer> names = new TreeMap<>();
    private final Map<Integer, Contents> files = new HashMap<>();
    private int nextFile;

    /** The capacity of the disk. */
    long capacityBytes = Long.MAX_VALUE;
    /** The largest number of bytes that was ever on the disk. */
    long peakBytes;
    /** Whether calls are recorded in {@link #calls}. */
    boolean recording = true;

    /** How many syncs of files have succeeded. */
    int syncCount;
    /** The number of the first call that fails (a write fails after half of its bytes), or -1 for none. */
    int failingCall = -1;
    /** How many consecutive calls fail, starting with {@link #failingCall}. */
    int failureCount = 1;

    private int attemptedCalls;

    SimulatedDisk() {
        this(Map.of());
    }

    /** Creates a disk with these files, which are already synced. */
    SimulatedDisk(Map<String, byte[]> base) {
        this.initialFiles = new TreeMap<>(base);
        this.initialFiles.forEach((name, bytes) -> {
            names.put(name, nextFile);
            files.put(nextFile++, new Contents(bytes));
        });
    }

    /** Returns the files as a process finds them that starts now, without a power loss. */
    Map<String, byte[]> currentFiles() {
        Map<String, byte[]> all = new TreeMap<>();
        names.forEach((name, file) -> all.put(name, files.get(file).toBytes()));
        return all;
    }

    long usedBytes() {
        return names.values().stream().mapToLong(file -> files.get(file).length).sum();
    }

    boolean exists(String name) {
        return names.containsKey(name);
    }

    int open(String name) throws IOException {
        Integer file = names.get(name);
        if (file == null) {
            failIfScheduled();
            file = nextFile++;
            names.put(name, file);
            files.put(file, new Contents());
            record(new DiskCall(Kind.CREATE, file, name, null, 0, null));
        }
        return file;
    }

    Contents contents(int file) {
        return files.get(file);
    }

    void write(int file, long position, byte[] bytes) throws IOException {
        int count = bytes.length;
        IOException failure = null;
        try {
            failIfScheduled();
        } catch (IOException e) {
            failure = e;
            count /= 2;
        }
        long room = capacityBytes - usedBytes() + files.get(file).length - position;
        if (count > room) {
            failure = new IOException("no space left on the disk");
            count = (int) Math.max(0, room);
        }
        byte[] part = Arrays.copyOf(bytes, count);
        files.get(file).write(position, part, 0, count);
        peakBytes = Math.max(peakBytes, usedBytes());
        record(new DiskCall(Kind.WRITE, file, null, null, position, part));
        if (failure != null) {
            throw failure;
        }
    }

    void setLength(int file, long length) throws IOException {
        failIfScheduled();
        files.get(file).setLength(length);
        record(new DiskCall(Kind.SET_LENGTH, file, null, null, length, null));
    }

    void sync(int file) throws IOException {
        failIfScheduled();
        syncCount++;
        record(new DiskCall(Kind.SYNC, file, null, null, 0, null));
    }

    void rename(String from, String to) throws IOException {
        failIfScheduled();
        Integer file = names.remove(from);
        if (file == null) {
            throw new FileNotFoundException(from);
        }
        names.put(to, file);
        record(new DiskCall(Kind.RENAME, file, from, to, 0, null));
    }

    void delete(String name) throws IOException {
        failIfScheduled();
        Integer file = names.remove(name);
        if (file == null) {
            throw new FileNotFoundException(name);
        }
        record(new DiskCall(Kind.DELETE, file, name, null, 0, null));
    }

    void syncFolder() {
        record(new DiskCall(Kind.SYNC_FOLDER, 0, null, null, 0, null));
    }

    private void record(DiskCall call) {
        if (recording) {
            calls.add(call);
        }
    }

    private void failIfScheduled() throws IOException {
        int call = attemptedCalls++;
        if (failingCall >= 0 && call >= failingCall && call < failingCall + failureCount) {
            throw new IOException("simulated disk failure");
        }
    }

    /** Returns how many calls have been made, including failed ones. */
    int attemptedCalls() {
        return attemptedCalls;
    }

    /** Steps through the recorded calls and computes what a power loss after each of them may leave. */
    final class Replay {
        private final Map<Integer, Contents> synced = new HashMap<>();
        private final Map<Integer, List<DiskCall>> unsyncedCalls = new HashMap<>();
        private final Map<String, Integer> durableNames = new LinkedHashMap<>();
        private final List<DiskCall> unsyncedNameCalls = new ArrayList<>();
        private int position;

        Replay() {
            int file = 0;
            for (Map.Entry<String, byte[]> entry : initialFiles.entrySet()) {
                durableNames.put(entry.getKey(), file);
                synced.put(file++, new Contents(entry.getValue()));
            }
        }

        int position() {
            return position;
        }

        void step() {
            DiskCall call = calls.get(position++);
            switch (call.kind) {
                case WRITE, SET_LENGTH ->
                    unsyncedCalls
                            .computeIfAbsent(call.file, file -> new ArrayList<>())
                            .add(call);
                case SYNC -> {
                    Contents contents = synced.computeIfAbsent(call.file, file -> new Contents());
                    unsyncedCalls.getOrDefault(call.file, List.of()).forEach(each -> apply(contents, each));
                    unsyncedCalls.remove(call.file);
                    unsyncedNameCalls.removeIf(each -> {
                        boolean createsSyncedFile = each.kind == Kind.CREATE && each.file == call.file;
                        if (createsSyncedFile) {
                            durableNames.put(each.name, each.file);
                        }
                        return createsSyncedFile;
                    });
                }
                case SYNC_FOLDER -> {
                    unsyncedNameCalls.forEach(each -> apply(durableNames, each));
                    unsyncedNameCalls.clear();
                }
                default -> unsyncedNameCalls.add(call);
            }
        }

        /** Returns how many calls are not covered by a sync. */
        int unsyncedCount() {
            return unsyncedNameCalls.size()
                    + unsyncedCalls.values().stream().mapToInt(List::size).sum();
        }

        /** Returns the files that a power loss leaves at the current position. */
        Map<String, byte[]> filesAfterCut(UnsyncedCalls fate, Random random) {
            Map<String, Integer> namesLeft = new LinkedHashMap<>(durableNames);
            for (DiskCall call : unsyncedNameCalls) {
                if (fate == UnsyncedCalls.APPLIED || fate == UnsyncedCalls.MIXED && random.nextBoolean()) {
                    apply(namesLeft, call);
                }
            }
            Map<String, byte[]> all = new TreeMap<>();
            namesLeft.forEach((name, file) -> {
                Contents contents =
                        new Contents(synced.getOrDefault(file, new Contents()).toBytes());
                for (DiskCall call : unsyncedCalls.getOrDefault(file, List.of())) {
                    if (fate == UnsyncedCalls.APPLIED) {
                        apply(contents, call);
                    } else if (fate == UnsyncedCalls.MIXED) {
                        applyTorn(contents, call, random);
                    }
                }
                all.put(name, contents.toBytes());
            });
            return all;
        }

        private static void apply(Map<String, Integer> names, DiskCall call) {
            if (call.kind == Kind.CREATE) {
                names.put(call.name, call.file);
            } else {
                // Another file may have become durable under this name since.
                names.remove(call.name, call.file);
                if (call.kind == Kind.RENAME) {
                    names.put(call.newName, call.file);
                }
            }
        }

        private static void apply(Contents contents, DiskCall call) {
            if (call.kind == Kind.WRITE) {
                contents.write(call.position, call.bytes, 0, call.bytes.length);
            } else {
                contents.setLength(call.position);
            }
        }

        /** Applies the call in full, in part or not at all. */
        private static void applyTorn(Contents contents, DiskCall call, Random random) {
            int count = call.bytes == null ? 0 : call.bytes.length;
            switch (random.nextInt(8)) {
                case 0, 1 -> apply(contents, call);
                case 2, 3 -> {}
                case 4 -> writePart(contents, call, 0, random.nextInt(count + 1));
                case 5 -> {
                    int from = random.nextInt(count + 1);
                    writePart(contents, call, from, count - from);
                }
                case 6 -> {
                    for (int from = 0; from < count; from += 512) {
                        if (random.nextInt(4) > 0) {
                            writePart(contents, call, from, Math.min(512, count - from));
                        }
                    }
                }
                default -> {
                    // The new length takes effect before the bytes do.
                    if (count > 0 && call.position + count > contents.length) {
                        contents.setLength(call.position + count);
                    }
                    int from = random.nextInt(count + 1);
                    writePart(contents, call, from, random.nextInt(count - from + 1));
                }
            }
        }

        private static void writePart(Contents contents, DiskCall call, int from, int count) {
            if (count > 0) {
                contents.write(call.position + from, call.bytes, from, count);
            }
        }
    }
}
