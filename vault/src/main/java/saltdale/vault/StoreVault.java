package saltdale.vault;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.h2.mvstore.type.ByteArrayDataType;
import org.h2.mvstore.type.StringDataType;

/** A vault in one MVStore file. */
final class StoreVault implements Vault {
    private static final String NAME = "vault";

    private final Path folder;
    private MVStore store;
    private MVMap<String, byte[]> records;
    private boolean closed;

    StoreVault(Path folder) throws VaultException {
        this.folder = folder;
        opened();
    }

    @Override
    public Map<String, byte[]> read() throws VaultException {
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
    public void write(Map<String, byte[]> changes) throws VaultException {
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

    private void opened() throws VaultException {
        if (closed) {
            throw new IllegalStateException("closed");
        }
        if (store != null && !store.isClosed()) {
            return;
        }
        try {
            Path file = folder.resolve(NAME);
            if (!Files.exists(file)) {
                make(file);
            }
            store = store(file);
            if (!store.hasMap(NAME)) {
                throw new IOException("no vault: " + file);
            }
            records = records(store);
            // Guards against trusting what an earlier process wrote and never synced.
            store.sync();
        } catch (IOException | RuntimeException e) {
            throw failed("can't open", e);
        }
    }

    /** A vault gets its name when it is whole and synced, so that one with this name that can't be read was lost. */
    private void make(Path file) throws IOException {
        Files.createDirectories(folder);
        Path young = folder.resolve(NAME + ".new");
        Files.deleteIfExists(young);
        MVStore made = store(young);
        try {
            records(made);
            made.commit();
            made.sync();
        } finally {
            made.closeImmediately();
        }
        Files.move(young, file, StandardCopyOption.ATOMIC_MOVE);
        syncFolder(folder);
    }

    private static MVStore store(Path file) {
        return new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().autoCommitBufferSize(0)
                .cacheSize(0).open();
    }

    private static MVMap<String, byte[]> records(MVStore store) {
        return store.openMap(NAME, new MVMap.Builder<String, byte[]>().keyType(StringDataType.INSTANCE)
                .valueType(ByteArrayDataType.INSTANCE));
    }

    private static void syncFolder(Path folder) {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            // Some systems refuse to sync folders and make names last without.
        }
    }

    private VaultException failed(String what, Exception cause) {
        drop();
        return new VaultException(what + " " + folder, cause);
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
