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
 * One of the two files of a {@link MirroredRecordStore}: an MVStore with all records and a seal, a checksum over all
 * records that is verified when the file is opened.
 */
final class StoreFile {
    /** The name of the entry with the seal. */
    static final String SEAL_NAME = "";

    private static final String MAP_NAME = "records";
    private static final int COMMIT_BATCH_BYTES = 1 << 19;
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    /** The generation in which a record was written, and the checksum and the size of the entry. */
    private record Stamp(long generation, int checksum, int size) {}

    /** The MVStore file store. */
    private static final class UnshrinkingFileStore extends SingleFileStore {
        /**
         * Uses the smallest cache. MVStore limits its pages by the cache size, and without a cache not at all; then all
         * records would be in one page, and each write would rewrite all of them.
         */
        UnshrinkingFileStore() {
            super(Map.of("cacheSize", 1, "autoCommitBufferSize", 0));
        }

        /**
         * Does nothing, which avoids a second sync after every other write.
         * {@link MirroredRecordStore} keeps the file small enough.
         */
        @Override
        protected void shrinkStoreIfPossible(int minPercent) {}
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

    /**
     * Reads and verifies the file; {@link #isValid} returns the result. An exception is thrown only if the file cannot
     * be read at all, which says nothing about its contents.
     */
    void open() throws IOException {
        close();
        generation = -1;
        stamps.clear();
        if (!file.exists() || file.size() == 0) {
            flaw = "missing";
            return;
        }
        // Data that an earlier process wrote but never synced must not be trusted before it is synced.
        try (FileChannel channel = file.open("rw")) {
            channel.force(true);
        }
        try {
            openStore(true);
            long sealedGeneration = verifyRecords();
            if (sealedGeneration < 0) {
                throw new IllegalStateException("records do not match the seal");
            }
            generation = sealedGeneration;
        } catch (RuntimeException | AssertionError | StackOverflowError e) {
            // Where assertions are enabled, those of MVStore detect some torn files first.
            markInvalid(e);
        } catch (OutOfMemoryError e) {
            // A torn length field can request an absurd allocation. If there is hardly any memory left, though, the
            // error says nothing about the file.
            if (canAllocate(file.size())) {
                markInvalid(e);
            } else {
                throw new IOException("out of memory while reading " + file, e);
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
                throw new IOException("cannot read " + file, cause);
            }
        }
        flaw = cause.toString();
        stamps.clear();
        close();
    }

    private void openStore(boolean readOnly) {
        openedReadOnly = readOnly;
        UnshrinkingFileStore fileStore = new UnshrinkingFileStore();
        MVStore.Builder builder = new MVStore.Builder()
                .adoptFileStore(fileStore)
                .autoCommitDisabled()
                .autoCommitBufferSize(0);
        boolean open = false;
        try {
            fileStore.open(file.toString(), readOnly, null);
            store = readOnly ? builder.readOnly().open() : builder.open();
            open = true;
        } finally {
            if (!open) {
                closeHalfOpen(fileStore);
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

    /** Closes a store that was not opened; a failure to do so must not hide the failure to open it. */
    private static void closeHalfOpen(UnshrinkingFileStore fileStore) {
        try {
            fileStore.close();
        } catch (RuntimeException e) {
            // the caller reports why the store could not be opened
        }
    }

    /** Verifies all records against their checksums and the seal; returns the sealed generation, or -1 if invalid. */
    private long verifyRecords() {
        List<String> names = new ArrayList<>();
        records.keyIterator(null).forEachRemaining(names::add);
        byte[] seal = null;
        for (String name : names) {
            // Looks up each record by name, as later reads do, because a torn inner page may hide a record from a
            // lookup that the iteration still finds.
            byte[] entry = records.get(name);
            if (entry == null) {
                return -1;
            }
            if (name.equals(SEAL_NAME)) {
                seal = entry;
                continue;
            }
            ByteBuffer header = ByteBuffer.wrap(entry);
            Stamp stamp = new Stamp(header.getLong(), header.getInt(), entry.length);
            if (stamp.checksum != checksum(name, entry)) {
                return -1;
            }
            stamps.put(name, stamp);
        }
        if (seal == null || seal.length != HEADER_BYTES) {
            return -1;
        }
        long sealedGeneration = ByteBuffer.wrap(seal).getLong();
        return Arrays.equals(seal, computeSeal(sealedGeneration, stamps)) ? sealedGeneration : -1;
    }

    /** Returns whether the file is a complete and verified copy of the records. */
    boolean isValid() {
        return generation >= 0;
    }

    /** Returns the number of the last write that the file holds, or -1 if it is invalid. */
    long generation() {
        return generation;
    }

    /** Returns the file name and the reason why the file is invalid. */
    String flawDescription() {
        return file.getName() + " " + flaw;
    }

    long size() {
        return file.size();
    }

    /** Returns the total size of the records in the file. */
    long recordBytes() {
        return stamps.values().stream().mapToLong(Stamp::size).sum();
    }

    Map<String, byte[]> read() {
        Map<String, byte[]> all = new TreeMap<>();
        for (String name : stamps.keySet()) {
            byte[] entry = records.get(name);
            all.put(name, Arrays.copyOfRange(entry, HEADER_BYTES, entry.length));
        }
        return all;
    }

    /** Returns whether the file can be updated in place; a file that was found on the disk must be cleared first. */
    boolean isWritable() {
        return isValid() && !openedReadOnly;
    }

    /**
     * Replaces the file by an empty one, and syncs this before the file is written again. Otherwise the bytes of an
     * interrupted and torn write would still be in the file, and could become valid again if a later write is torn in
     * another place.
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

    /**
     * Copies the records of the source (none if it is null), applies the changes and syncs the file. A null value in
     * the changes removes the record.
     */
    void update(StoreFile source, Map<String, byte[]> changes) {
        long next = source == null ? 0 : source.generation + 1;
        Map<String, Stamp> target = new TreeMap<>(source == null ? Map.of() : source.stamps);
        generation = -1;
        for (String name : stamps.keySet()) {
            if (!target.containsKey(name) && !changes.containsKey(name)) {
                records.remove(name);
            }
        }
        long uncommittedBytes = 0;
        for (Map.Entry<String, Stamp> entry : target.entrySet()) {
            String name = entry.getKey();
            if (!entry.getValue().equals(stamps.get(name)) && !changes.containsKey(name)) {
                records.put(name, source.records.get(name));
                uncommittedBytes += entry.getValue().size;
            }
            if (uncommittedBytes > COMMIT_BATCH_BYTES) {
                // Limits the records held in memory. The file is not a valid copy until its seal is updated.
                store.commit();
                uncommittedBytes = 0;
            }
        }
        changes.forEach((name, bytes) -> {
            if (bytes == null) {
                target.remove(name);
                records.remove(name);
            } else {
                byte[] entry = ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                        .putLong(next)
                        .putInt(0)
                        .put(bytes)
                        .array();
                Stamp stamp = new Stamp(next, checksum(name, entry), entry.length);
                ByteBuffer.wrap(entry).putInt(Long.BYTES, stamp.checksum);
                target.put(name, stamp);
                records.put(name, entry);
            }
        });
        records.put(SEAL_NAME, computeSeal(next, target));
        store.commit();
        store.sync();
        stamps = target;
        generation = next;
    }

    /** Computes the checksum of a record: of its name, its generation and its contents. */
    private static int checksum(String name, byte[] entry) {
        CRC32C crc = new CRC32C();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        crc.update(entry, 0, Long.BYTES);
        crc.update(entry, HEADER_BYTES, entry.length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    private static byte[] computeSeal(long generation, Map<String, Stamp> stamps) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Long.BYTES).putLong(0, generation));
        stamps.forEach((name, stamp) -> {
            crc.update(name.getBytes(StandardCharsets.UTF_8));
            crc.update(ByteBuffer.allocate(HEADER_BYTES)
                    .putLong(0, stamp.generation)
                    .putInt(Long.BYTES, stamp.checksum));
        });
        return ByteBuffer.allocate(HEADER_BYTES)
                .putLong(generation)
                .putInt((int) crc.getValue())
                .array();
    }

    /** Closes the file without writing to it. */
    void close() {
        if (store != null) {
            try {
                store.closeImmediately();
            } catch (RuntimeException e) {
                // the file is verified when it is opened again in any case
            }
            store = null;
        }
    }
}
