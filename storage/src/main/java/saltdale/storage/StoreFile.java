package saltdale.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.h2.mvstore.DataUtils;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.SingleFileStore;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.StringDataType;
import org.h2.store.fs.FilePath;

/**
 * One of the two files of a {@link MirroredRecordStore}: an MVStore of all records, under a seal that is checked
 * on opening.
 */
final class StoreFile {
    /** The name of the seal among the records. */
    static final String SEAL_NAME = "";

    private static final String MAP_NAME = "records";
    private static final int COMMIT_BATCH_BYTES = 1 << 19;
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    /** The turn in which a record was written, and the checksum and size of what was. */
    private record Stamp(long generation, int checksum, int size) {}

    /** The file of the store. */
    private static final class UnshrinkingFileStore extends SingleFileStore {
        /**
         * With the smallest cache. Guards against all records in one page, which each write would write anew: MVStore
         * bounds its pages by the cache, and without one by nothing.
         */
        UnshrinkingFileStore() {
            super(Map.of("cacheSize", 1, "autoCommitBufferSize", 0));
        }

        /**
         * Guards against a second sync after every other write; {@link MirroredRecordStore} keeps the file short
         * enough.
         */
        @Override
        protected void shrinkStoreIfPossible(int leastPercent) {}
    }

    private final FilePath file;
    private MVStore store;
    private MVMap<String, byte[]> records;
    private boolean openedReadOnly;
    private Map<String, Stamp> stamps = new TreeMap<>();
    private long generation = -1;
    private String flaw;

    StoreFile(FilePath file) {
        this.file = file;
    }

    /** Reads and checks it; fails where the disk can't be read, and else says by whole() whether it is a copy. */
    void open() throws IOException {
        close();
        generation = -1;
        stamps.clear();
        if (!file.exists() || file.size() == 0) {
            flaw = "missing";
            return;
        }
        // Guards against trusting what an earlier process wrote and never synced.
        try (FileChannel channel = file.open("rw")) {
            channel.force(true);
        }
        try {
            openStore(true);
            long sealed = verifyRecords();
            if (sealed < 0) {
                throw new IllegalStateException("no match for the seal");
            }
            generation = sealed;
        } catch (RuntimeException | AssertionError | StackOverflowError e) {
            // MVStore's own assertions see some of the tears first, where they are enabled.
            markInvalid(e);
        } catch (OutOfMemoryError e) {
            // Torn lengths ask for absurd sizes; where there is hardly room for anything it is no fault of the copy.
            if (canAllocate(file.size())) {
                markInvalid(e);
            } else {
                throw new IOException("no memory for " + file, e);
            }
        }
    }

    private static boolean canAllocate(long size) {
        try {
            return new byte[(int) Math.min(size, Integer.MAX_VALUE / 4)].length > 0;
        } catch (OutOfMemoryError e) {
            return false;
        }
    }

    private void markInvalid(Throwable cause) throws IOException {
        for (Throwable each = cause; each != null; each = each.getCause()) {
            boolean locked = each instanceof MVStoreException
                    && ((MVStoreException) each).getErrorCode() == DataUtils.ERROR_FILE_LOCKED;
            if (locked || each instanceof IOException && !(each instanceof EOFException)) {
                throw new IOException("can't read " + file, cause);
            }
        }
        flaw = cause.toString();
        stamps.clear();
        close();
    }

    private void openStore(boolean readOnly) {
        openedReadOnly = readOnly;
        UnshrinkingFileStore chunks = new UnshrinkingFileStore();
        MVStore.Builder builder = new MVStore.Builder()
                .adoptFileStore(chunks)
                .autoCommitDisabled()
                .autoCommitBufferSize(0);
        boolean open = false;
        try {
            chunks.open(file.toString(), readOnly, null);
            store = readOnly ? builder.readOnly().open() : builder.open();
            open = true;
        } finally {
            if (!open) {
                closeHalfOpen(chunks);
            }
        }
        store.setVersionsToKeep(0);
        store.setRetentionTime(0);
        records = store.openMap(
                MAP_NAME,
                new MVMap.Builder<String, byte[]>()
                        .keyType(StringDataType.INSTANCE)
                        .valueType(ByteArrayDataType.INSTANCE));
    }

    /** Guards against a store that fails to close since it was never open: that hides why. */
    private static void closeHalfOpen(UnshrinkingFileStore chunks) {
        try {
            chunks.close();
        } catch (RuntimeException e) {
            // what is told is why it could not be opened
        }
    }

    private long verifyRecords() {
        List<String> names = new ArrayList<>();
        records.keyIterator(null).forEachRemaining(names::add);
        byte[] seal = null;
        for (String name : names) {
            // Looked up, as later: a torn inner page may hide what going from one to the next still finds.
            byte[] framed = records.get(name);
            if (framed == null) {
                return -1;
            }
            if (name.equals(SEAL_NAME)) {
                seal = framed;
                continue;
            }
            ByteBuffer head = ByteBuffer.wrap(framed);
            Stamp stamp = new Stamp(head.getLong(), head.getInt(), framed.length);
            if (stamp.checksum != checksum(name, framed)) {
                return -1;
            }
            stamps.put(name, stamp);
        }
        if (seal == null || seal.length != HEADER_BYTES) {
            return -1;
        }
        long sealed = ByteBuffer.wrap(seal).getLong();
        return Arrays.equals(seal, computeSeal(sealed, stamps)) ? sealed : -1;
    }

    boolean isValid() {
        return generation >= 0;
    }

    /** The number of the write that it holds as the last one. */
    long generation() {
        return generation;
    }

    String flawDescription() {
        return file.getName() + " " + flaw;
    }

    long size() {
        return file.size();
    }

    /** The bytes of its records. */
    long recordBytes() {
        return stamps.values().stream().mapToLong(Stamp::size).sum();
    }

    Map<String, byte[]> read() {
        Map<String, byte[]> all = new TreeMap<>();
        for (String name : stamps.keySet()) {
            byte[] framed = records.get(name);
            all.put(name, Arrays.copyOfRange(framed, HEADER_BYTES, framed.length));
        }
        return all;
    }

    /** Whether it can be written as it stands; what was found on the disk is cleared first. */
    boolean isWritable() {
        return isValid() && !openedReadOnly;
    }

    /**
     * Begins anew with an empty file. Guards against a write that was cut and found torn, yet whose bytes lie in the
     * file still and would be whole again once a later one is torn elsewhere: they are gone before that begins.
     */
    void clear() throws IOException {
        close();
        try (FileChannel channel = file.open("rw")) {
            channel.truncate(0);
            channel.force(true);
        }
        generation = -1;
        stamps.clear();
        openStore(false);
    }

    /** Takes over what the other one holds (null: nothing), puts these records (null value removes), and syncs. */
    void update(StoreFile from, Map<String, byte[]> changes) {
        long next = from == null ? 0 : from.generation + 1;
        Map<String, Stamp> target = new TreeMap<>(from == null ? Map.of() : from.stamps);
        generation = -1;
        for (String name : stamps.keySet()) {
            if (!target.containsKey(name) && !changes.containsKey(name)) {
                records.remove(name);
            }
        }
        long unsaved = 0;
        for (Map.Entry<String, Stamp> entry : target.entrySet()) {
            String name = entry.getKey();
            if (!entry.getValue().equals(stamps.get(name)) && !changes.containsKey(name)) {
                records.put(name, from.records.get(name));
                unsaved += entry.getValue().size;
            }
            if (unsaved > COMMIT_BATCH_BYTES) {
                // Guards against all records in memory at once; without a new seal this is no copy yet.
                store.commit();
                unsaved = 0;
            }
        }
        changes.forEach((name, bytes) -> {
            if (bytes == null) {
                target.remove(name);
                records.remove(name);
            } else {
                byte[] framed = ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                        .putLong(next)
                        .putInt(0)
                        .put(bytes)
                        .array();
                Stamp stamp = new Stamp(next, checksum(name, framed), framed.length);
                ByteBuffer.wrap(framed).putInt(Long.BYTES, stamp.checksum);
                target.put(name, stamp);
                records.put(name, framed);
            }
        });
        records.put(SEAL_NAME, computeSeal(next, target));
        store.commit();
        store.sync();
        stamps = target;
        generation = next;
    }

    private static int checksum(String name, byte[] framed) {
        CRC32C sum = new CRC32C();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        sum.update(framed, 0, Long.BYTES);
        sum.update(framed, HEADER_BYTES, framed.length - HEADER_BYTES);
        return (int) sum.getValue();
    }

    private static byte[] computeSeal(long turn, Map<String, Stamp> stamps) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Long.BYTES).putLong(0, turn));
        stamps.forEach((name, stamp) -> {
            sum.update(name.getBytes(StandardCharsets.UTF_8));
            sum.update(ByteBuffer.allocate(HEADER_BYTES)
                    .putLong(0, stamp.generation)
                    .putInt(Long.BYTES, stamp.checksum));
        });
        return ByteBuffer.allocate(HEADER_BYTES)
                .putLong(turn)
                .putInt((int) sum.getValue())
                .array();
    }

    /** Lets go of the file without writing to it. */
    void close() {
        if (store != null) {
            try {
                store.closeImmediately();
            } catch (RuntimeException e) {
                // It is read anew in any case.
            }
            store = null;
        }
    }
}
