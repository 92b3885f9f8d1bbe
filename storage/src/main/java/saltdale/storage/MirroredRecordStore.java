package saltdale.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.h2.store.fs.FilePath;

/**
 * A record store in two MVStore files that are written alternately. Each file holds all records and a seal (a checksum
 * over them); while one is written, the other stays as it was last synced. MVStore alone does not verify the contents
 * of a chunk of its file, so a chunk of which a power loss left only a half could go undetected. See
 * "docs/record store.md".
 */
final class MirroredRecordStore implements RecordStore {
    private static final String[] FILE_NAMES = {"vault.a", "vault.b"};
    private static final long SIZE_SLACK_BYTES = 1 << 20;

    /**
     * Prevents opening two record stores in one folder within this process. Other processes are excluded by the address
     * that the owner listens on.
     */
    private static final Set<Path> OPEN_FOLDERS = ConcurrentHashMap.newKeySet();

    /** The folder as an MVStore path. */
    private final String folder;

    private final Runnable syncFolder;
    /** The file with the last write, and the one to write next; null while they must be reopened. */
    private StoreFile current;

    private StoreFile other;
    private boolean closed;
    private Runnable onClose = () -> {};

    MirroredRecordStore(String folder, Runnable syncFolder) throws RecordStoreException {
        this.folder = folder;
        this.syncFolder = syncFolder;
        openFiles();
    }

    static MirroredRecordStore open(Path folder) throws RecordStoreException {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new RecordStoreException("cannot create " + folder, e);
        }
        Path normalized = folder.toAbsolutePath().normalize();
        if (!OPEN_FOLDERS.add(normalized)) {
            throw new RecordStoreException(folder + " is already open", null);
        }
        try {
            MirroredRecordStore recordStore =
                    new MirroredRecordStore(UnlockedPath.of(normalized.toString()), () -> syncFolder(folder));
            recordStore.onClose = () -> OPEN_FOLDERS.remove(normalized);
            return recordStore;
        } catch (RecordStoreException e) {
            OPEN_FOLDERS.remove(normalized);
            throw e;
        }
    }

    private static void syncFolder(Path folder) {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            // Some systems refuse to sync folders; there the sync of a new file itself has to suffice.
        }
    }

    @Override
    public Map<String, byte[]> read() throws RecordStoreException {
        openFiles();
        try {
            return current.read();
        } catch (RuntimeException e) {
            throw failure("cannot read", e);
        }
    }

    @Override
    public void write(Map<String, byte[]> records) throws RecordStoreException {
        if (records.containsKey(StoreFile.SEAL_NAME)) {
            throw new IllegalArgumentException("record name is empty");
        }
        openFiles();
        boolean written = false;
        try {
            boolean cleared = !other.isWritable() || other.size() > 3 * current.recordBytes() + SIZE_SLACK_BYTES;
            if (cleared) {
                other.clear();
            }
            other.update(current, records);
            if (cleared) {
                syncFolder.run();
            }
            StoreFile older = current;
            current = other;
            other = older;
            written = true;
        } catch (IOException | RuntimeException e) {
            throw failure("cannot write", e);
        } finally {
            if (!written) {
                // The state of the file being written is unknown, also after an Error.
                closeFiles();
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        closeFiles();
        onClose.run();
    }

    /** Opens both files after a start or a failure, which determines whether a failed write took effect. */
    private void openFiles() throws RecordStoreException {
        if (closed) {
            throw new IllegalStateException("closed");
        }
        if (current != null) {
            return;
        }
        try {
            FilePath first = FilePath.get(folder + "/" + FILE_NAMES[0]);
            FilePath second = FilePath.get(folder + "/" + FILE_NAMES[1]);
            if (!first.exists() && !second.exists()) {
                createFirstCopy(first);
            }
            StoreFile a = new StoreFile(first);
            current = a;
            StoreFile b = new StoreFile(second);
            other = b;
            a.open();
            b.open();
            if (!a.isValid() && !b.isValid()) {
                throw new IOException("neither copy is valid: " + a.flawDescription() + "; " + b.flawDescription());
            }
            if (b.isValid() && (!a.isValid() || b.generation() > a.generation())) {
                current = b;
                other = a;
            }
        } catch (IOException | RuntimeException e) {
            throw failure("cannot open", e);
        }
    }

    /** Renames the first copy to its name only when it is complete, so that a disk without it is known to be empty. */
    private void createFirstCopy(FilePath file) throws IOException {
        StoreFile newFile = new StoreFile(FilePath.get(file + ".new"));
        try {
            newFile.clear();
            newFile.update(null, Map.of());
        } finally {
            newFile.close();
        }
        FilePath.get(file + ".new").moveTo(file, true);
        syncFolder.run();
    }

    private RecordStoreException failure(String message, Exception cause) {
        closeFiles();
        return new RecordStoreException(message + " " + folder, cause);
    }

    /** Closes the files without writing: synced data needs no orderly close, which would write. */
    private void closeFiles() {
        if (current != null) {
            current.close();
        }
        if (other != null) {
            other.close();
        }
        current = null;
        other = null;
    }
}
