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
 * A disk with one folder that writes down every call and says what may be left of it when the power goes after any of
 * them: what the last sync of a file covered; each later write there, missing or torn; a new name once its file was
 * synced, and other changes of names once the folder was.
 */
final class CutDisk {
    enum Kind {
        CREATE,
        WRITE,
        LENGTH,
        SYNC,
        RENAME,
        DELETE,
        SYNC_FOLDER
    }

    /** One call; the file is a number that stays with it under all its names. */
    record Request(Kind kind, int file, String name, String to, long position, byte[] bytes) {}

    /** What is left to later writes. */
    enum Later {
        GONE,
        THERE,
        MIXED
    }

    static final class Contents {
        byte[] bytes = new byte[0];
        int length;

        Contents() {}

        Contents(byte[] bytes) {
            this.bytes = bytes.clone();
            length = bytes.length;
        }

        void write(long position, byte[] from, int offset, int count) {
            int end = Math.toIntExact(position + count);
            if (end > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(end, bytes.length * 2));
            }
            System.arraycopy(from, offset, bytes, (int) position, count);
            length = Math.max(length, end);
        }

        void length(long to) {
            int end = (int) to;
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

    final List<Request> calls = new ArrayList<>();
    private final Map<String, byte[]> base;
    private final Map<String, Integer> names = new TreeMap<>();
    private final Map<Integer, Contents> files = new HashMap<>();
    private int nextFile;

    /** Bytes that fit on it. */
    long capacity = Long.MAX_VALUE;
    /** The most bytes that were ever on it. */
    long peak;
    /** Whether the calls are written down. */
    boolean recording = true;

    int syncs;
    /** The number of the call that fails, of a write after half of it; -1 for none. */
    int failingCall = -1;
    /** How many calls fail from there on. */
    int failures = 1;

    private int changes;

    CutDisk() {
        this(Map.of());
    }

    /** A disk on which these files have been for long. */
    CutDisk(Map<String, byte[]> base) {
        this.base = new TreeMap<>(base);
        this.base.forEach((name, bytes) -> {
            names.put(name, nextFile);
            files.put(nextFile++, new Contents(bytes));
        });
    }

    /** What a process that starts now would find, if the power stayed. */
    Map<String, byte[]> live() {
        Map<String, byte[]> all = new TreeMap<>();
        names.forEach((name, file) -> all.put(name, files.get(file).toBytes()));
        return all;
    }

    long used() {
        return names.values().stream().mapToLong(file -> files.get(file).length).sum();
    }

    boolean exists(String name) {
        return names.containsKey(name);
    }

    int open(String name) throws IOException {
        Integer file = names.get(name);
        if (file == null) {
            mayFail();
            file = nextFile++;
            names.put(name, file);
            files.put(file, new Contents());
            note(new Request(Kind.CREATE, file, name, null, 0, null));
        }
        return file;
    }

    Contents contents(int file) {
        return files.get(file);
    }

    void write(int file, long position, byte[] bytes) throws IOException {
        int count = bytes.length;
        IOException trouble = null;
        try {
            mayFail();
        } catch (IOException e) {
            trouble = e;
            count /= 2;
        }
        long room = capacity - used() + files.get(file).length - position;
        if (count > room) {
            trouble = new IOException("no space left");
            count = (int) Math.max(0, room);
        }
        byte[] part = Arrays.copyOf(bytes, count);
        files.get(file).write(position, part, 0, count);
        peak = Math.max(peak, used());
        note(new Request(Kind.WRITE, file, null, null, position, part));
        if (trouble != null) {
            throw trouble;
        }
    }

    void length(int file, long length) throws IOException {
        mayFail();
        files.get(file).length(length);
        note(new Request(Kind.LENGTH, file, null, null, length, null));
    }

    void sync(int file) throws IOException {
        mayFail();
        syncs++;
        note(new Request(Kind.SYNC, file, null, null, 0, null));
    }

    void rename(String from, String to) throws IOException {
        mayFail();
        Integer file = names.remove(from);
        if (file == null) {
            throw new FileNotFoundException(from);
        }
        names.put(to, file);
        note(new Request(Kind.RENAME, file, from, to, 0, null));
    }

    void delete(String name) throws IOException {
        mayFail();
        Integer file = names.remove(name);
        if (file == null) {
            throw new FileNotFoundException(name);
        }
        note(new Request(Kind.DELETE, file, name, null, 0, null));
    }

    void syncFolder() {
        note(new Request(Kind.SYNC_FOLDER, 0, null, null, 0, null));
    }

    private void note(Request call) {
        if (recording) {
            calls.add(call);
        }
    }

    private void mayFail() throws IOException {
        int change = changes++;
        if (failingCall >= 0 && change >= failingCall && change < failingCall + failures) {
            throw new IOException("disk in trouble");
        }
    }

    /** How many calls have been made, those that failed among them. */
    int changes() {
        return changes;
    }

    /** Steps through the calls, and tells at each what a loss of power may leave. */
    final class Replay {
        private final Map<Integer, Contents> synced = new HashMap<>();
        private final Map<Integer, List<Request>> later = new HashMap<>();
        private final Map<String, Integer> lasting = new LinkedHashMap<>();
        private final List<Request> laterNames = new ArrayList<>();
        private int at;

        Replay() {
            int file = 0;
            for (Map.Entry<String, byte[]> entry : base.entrySet()) {
                lasting.put(entry.getKey(), file);
                synced.put(file++, new Contents(entry.getValue()));
            }
        }

        int at() {
            return at;
        }

        void step() {
            Request call = calls.get(at++);
            switch (call.kind) {
                case WRITE, LENGTH ->
                    later.computeIfAbsent(call.file, file -> new ArrayList<>()).add(call);
                case SYNC -> {
                    Contents contents = synced.computeIfAbsent(call.file, file -> new Contents());
                    later.getOrDefault(call.file, List.of()).forEach(each -> apply(contents, each));
                    later.remove(call.file);
                    laterNames.removeIf(each -> {
                        boolean own = each.kind == Kind.CREATE && each.file == call.file;
                        if (own) {
                            lasting.put(each.name, each.file);
                        }
                        return own;
                    });
                }
                case SYNC_FOLDER -> {
                    laterNames.forEach(each -> apply(lasting, each));
                    laterNames.clear();
                }
                default -> laterNames.add(call);
            }
        }

        /** How many calls are not covered by a sync. */
        int open() {
            return laterNames.size()
                    + later.values().stream().mapToInt(List::size).sum();
        }

        Map<String, byte[]> left(Later what, Random random) {
            Map<String, Integer> found = new LinkedHashMap<>(lasting);
            for (Request call : laterNames) {
                if (what == Later.THERE || what == Later.MIXED && random.nextBoolean()) {
                    apply(found, call);
                }
            }
            Map<String, byte[]> all = new TreeMap<>();
            found.forEach((name, file) -> {
                Contents contents =
                        new Contents(synced.getOrDefault(file, new Contents()).toBytes());
                for (Request call : later.getOrDefault(file, List.of())) {
                    if (what == Later.THERE) {
                        apply(contents, call);
                    } else if (what == Later.MIXED) {
                        tear(contents, call, random);
                    }
                }
                all.put(name, contents.toBytes());
            });
            return all;
        }

        private static void apply(Map<String, Integer> names, Request call) {
            if (call.kind == Kind.CREATE) {
                names.put(call.name, call.file);
            } else {
                // Another file of this name may have been made to last since.
                names.remove(call.name, call.file);
                if (call.kind == Kind.RENAME) {
                    names.put(call.to, call.file);
                }
            }
        }

        private static void apply(Contents contents, Request call) {
            if (call.kind == Kind.WRITE) {
                contents.write(call.position, call.bytes, 0, call.bytes.length);
            } else {
                contents.length(call.position);
            }
        }

        private static void tear(Contents contents, Request call, Random random) {
            int count = call.bytes == null ? 0 : call.bytes.length;
            switch (random.nextInt(8)) {
                case 0, 1 -> apply(contents, call);
                case 2, 3 -> {}
                case 4 -> part(contents, call, 0, random.nextInt(count + 1));
                case 5 -> {
                    int from = random.nextInt(count + 1);
                    part(contents, call, from, count - from);
                }
                case 6 -> {
                    for (int from = 0; from < count; from += 512) {
                        if (random.nextInt(4) > 0) {
                            part(contents, call, from, Math.min(512, count - from));
                        }
                    }
                }
                default -> {
                    // The length was there before the bytes.
                    if (count > 0 && call.position + count > contents.length) {
                        contents.length(call.position + count);
                    }
                    int from = random.nextInt(count + 1);
                    part(contents, call, from, random.nextInt(count - from + 1));
                }
            }
        }

        private static void part(Contents contents, Request call, int from, int count) {
            if (count > 0) {
                contents.write(call.position + from, call.bytes, from, count);
            }
        }
    }
}
