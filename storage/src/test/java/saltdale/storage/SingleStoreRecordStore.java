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
        opened();
    }

    @Override
    public Map<String, byte[]> read() throws RecordStoreException {
        opened();
        try {
            Map<String, byte[]> all = new LinkedHashMap<>();
            records.forEach((name, record) -> all.put(name, record.clone()));
            return all;
        } catch (RuntimeException e) {
            throw failed("can't read", e);
        }
    }

    @Override
    public void write(Map<String, byte[]> changes) throws RecordStoreException {
        opened();
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
            throw failed("can't write", e);
        }
    }

    @Override
    public void close() {
        closed = true;
        drop();
    }

    private void opened() throws RecordStoreException {
        if (closed) {
            throw new IllegalStateException("closed");
        }
        if (store != null && !store.isClosed()) {
            return;
        }
        try {
            FilePath file = FilePath.get(folder + "/" + NAME);
            if (!file.exists()) {
                make(file);
            }
            store = store(file.toString());
            if (!store.hasMap(NAME)) {
                throw new IOException("no record store: " + file);
            }
            records = records(store);
            // Guards against trusting what an earlier process wrote and never synced.
            store.sync();
        } catch (IOException | RuntimeException e) {
            throw failed("can't open", e);
        }
    }

    /**
     * A record store gets its name when it is whole and synced, so that one with this name that can't be read
     * was lost.
     */
    private void make(FilePath file) {
        FilePath young = FilePath.get(file + ".new");
        young.delete();
        MVStore made = store(young.toString());
        try {
            records(made);
            made.commit();
            made.sync();
        } finally {
            made.closeImmediately();
        }
        young.moveTo(file, true);
        syncFolder.run();
    }

    private static MVStore store(String file) {
        return new MVStore.Builder()
                .fileName(file)
                .autoCommitDisabled()
                .autoCommitBufferSize(0)
                .cacheSize(1)
                .open();
    }

    private static MVMap<String, byte[]> records(MVStore store) {
        return store.openMap(
                NAME,
                new MVMap.Builder<String, byte[]>()
                        .keyType(StringDataType.INSTANCE)
                        .valueType(ByteArrayDataType.INSTANCE));
    }

    private RecordStoreException failed(String what, Exception cause) {
        drop();
        return new RecordStoreException(what + " " + folder, cause);
    }

    /** Lets go of the file as it is: what was synced needs no closing, and closing would write. */
    private void drop() {
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
