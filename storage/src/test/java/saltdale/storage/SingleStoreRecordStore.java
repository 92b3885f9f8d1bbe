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

/** A record store in a single MVStore file; {@link PowerCutTest} shows what it loses. */
final class SingleStoreRecordStore implements RecordStore {
    private static final String NAME = "vault";

    /** The folder as an MVStore path. */
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
            throw failure("cannot read", e);
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
            throw failure("cannot write", e);
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
                throw new IOException("file is not a record store: " + file);
            }
            records = openRecords(store);
            // Data that an earlier process wrote but never synced must not be trusted before it is synced.
            store.sync();
        } catch (IOException | RuntimeException e) {
            throw failure("cannot open", e);
        }
    }

    /**
     * Renames the file to its name only when it is complete and synced. A file of this name that cannot be read has
     * therefore been lost.
     */
    private void createFile(FilePath file) {
        FilePath newFile = FilePath.get(file + ".new");
        newFile.delete();
        MVStore newStore = openStore(newFile.toString());
        try {
            openRecords(newStore);
            newStore.commit();
            newStore.sync();
        } finally {
            newStore.closeImmediately();
        }
        newFile.moveTo(file, true);
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

    private RecordStoreException failure(String message, Exception cause) {
        closeStore();
        return new RecordStoreException(message + " " + folder, cause);
    }

    /** Closes the file without writing: synced data needs no orderly close, which would write. */
    private void closeStore() {
        if (store != null) {
            try {
                store.closeImmediately();
            } catch (MVStoreException e) {
                // the file is opened again in any case
            }
            store = null;
        }
    }
}
