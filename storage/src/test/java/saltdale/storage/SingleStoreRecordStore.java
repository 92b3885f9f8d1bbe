package saltdale.storage;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.StringDataType;
import org.h2.store.fs.FilePath;

/** A record store as MVStore alone would keep it, in one file; see {@link PowerCutTest} for what it loses. */
final class SingleStoreRecordStore implements RecordStore {
    private static final String NAME = "vault";

    /** As MVStore names it. */
    private final String folder;

    private final Runnable syncFolder;
    private MVStore store;
    private MVMap<String, byte[]> records;
    private boolean closed;

    SingleStoreRecordStore(String folder, Runnable syncFolder) throws RecordStoreException {
        this.folder = folder;
        this.syncFolder = syncFolder;
        ensureOpen();
    }

    @Override
    public Map<String, byte[]> read() throws RecordStoreException {
        ensureOpen();
        try {
            Map<String, byte[]> all = new LinkedHashMap<>();
            records.forEach((name, record) -> all.put(name, record.clone()));
            return all;
        } catch (RuntimeException e) {
            throw failure("can't read", e);
        }
    }

    @Override
    public void write(Map<String, byte[]> changes) throws RecordStoreException {
        ensureOpen();
        try {
            for (Map.Entry<String, byte[]> change : changes.entrySet()) {
                if (change.getValue() == null) {
                    records.remove(change.getKey());
                } else {
                    records.put(change.getKey(), change.getValue().clone());
                }
            }
            store.commit();
            store.sync();
        } catch (RuntimeException e) {
            throw failure("can't write", e);
        }
    }

    @Override
    public void close() {
        closed = true;
        closeStore();
    }

    private void ensureOpen() throws RecordStoreException {
        if (closed) {
            throw new IllegalStateException("closed");
        }
        if (store != null && !store.isClosed()) {
            return;
        }
        try {
            FilePath file = FilePath.get(folder + "/" + NAME);
            if (!file.exists()) {
                createFile(file);
            }
            store = openStore(file.toString());
            if (!store.hasMap(NAME)) {
                throw new IOException("no record store: " + file);
            }
            records = openRecords(store);
            // Guards against trusting what an earlier process wrote and never synced.
            store.sync();
        } catch (IOException | RuntimeException e) {
            throw failure("can't open", e);
        }
    }

    /**
     * A record store gets its name when it is whole and synced, so that one with this name that can't be read
     * was lost.
     */
    private void createFile(FilePath file) {
        FilePath young = FilePath.get(file + ".new");
        young.delete();
        MVStore made = openStore(young.toString());
        try {
            openRecords(made);
            made.commit();
            made.sync();
        } finally {
            made.closeImmediately();
        }
        young.moveTo(file, true);
        syncFolder.run();
    }

    private static MVStore openStore(String file) {
        return new MVStore.Builder()
                .fileName(file)
                .autoCommitDisabled()
                .autoCommitBufferSize(0)
                .cacheSize(1)
                .open();
    }

    private static MVMap<String, byte[]> openRecords(MVStore store) {
        return store.openMap(
                NAME,
                new MVMap.Builder<String, byte[]>()
                        .keyType(StringDataType.INSTANCE)
                        .valueType(ByteArrayDataType.INSTANCE));
    }

    private RecordStoreException failure(String what, Exception cause) {
        closeStore();
        return new RecordStoreException(what + " " + folder, cause);
    }

    /** Lets go of the file as it is: what was synced needs no closing, and closing would write. */
    private void closeStore() {
        if (store != null) {
            try {
                store.closeImmediately();
            } catch (MVStoreException e) {
                // It is read anew in any case.
            }
            store = null;
        }
    }
}
