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
 * A record store in two MVStore files that are written in turn: each holds all records and a seal over them, and
 * while one is
 * written the other is left as it was last synced. MVStore alone does not check what lies inside a chunk of its file,
 * so a loss of power in a write may leave half of it (docs/record store.md).
 */
final class MirroredRecordStore implements RecordStore {
    private static final String[] FILE_NAMES = {"vault.a", "vault.b"};
    private static final long SIZE_SLACK_BYTES = 1 << 20;

    /**
     * Guards against two record stores in one folder; another process is kept off by the address that the owner listens
     * on.
     */
    private static final Set<Path> OPEN_FOLDERS = ConcurrentHashMap.newKeySet();

    /** As MVStore names it. */
    private final String folder;

    private final Runnable syncFolder;
    /** The copy that holds the last write, and the one that is written next; null while they must be opened anew. */
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
            throw new RecordStoreException("can't make " + folder, e);
        }
        Path whole = folder.toAbsolutePath().normalize();
        if (!OPEN_FOLDERS.add(whole)) {
            throw new RecordStoreException(folder + " is open already", null);
        }
        try {
            MirroredRecordStore recordStore =
                    new MirroredRecordStore(UnlockedPath.of(whole.toString()), () -> syncFolder(folder));
            recordStore.onClose = () -> OPEN_FOLDERS.remove(whole);
            return recordStore;
        } catch (RecordStoreException e) {
            OPEN_FOLDERS.remove(whole);
            throw e;
        }
    }

    private static void syncFolder(Path folder) {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            // Some systems refuse to sync folders; there a new file's own sync has to do.
        }
    }

    @Override
    public Map<String, byte[]> read() throws RecordStoreException {
        openFiles();
        try {
            return current.read();
        } catch (RuntimeException e) {
            throw failure("can't read", e);
        }
    }

    @Override
    public void write(Map<String, byte[]> records) throws RecordStoreException {
        if (records.containsKey(StoreFile.SEAL_NAME)) {
            throw new IllegalArgumentException("a record without a name");
        }
        openFiles();
        boolean written = false;
        try {
            boolean anew = !other.isWritable() || other.size() > 3 * current.recordBytes() + SIZE_SLACK_BYTES;
            if (anew) {
                other.clear();
            }
            other.update(current, records);
            if (anew) {
                syncFolder.run();
            }
            StoreFile older = current;
            current = other;
            other = older;
            written = true;
        } catch (IOException | RuntimeException e) {
            throw failure("can't write", e);
        } finally {
            if (!written) {
                // After an error, too, nothing is known of the file that was being written.
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

    /** Opens both copies after a start or a failure, which settles whether the write that failed holds. */
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
                throw new IOException("neither copy is whole: " + a.flawDescription() + "; " + b.flawDescription());
            }
            if (b.isValid() && (!a.isValid() || b.generation() > a.generation())) {
                current = b;
                other = a;
            }
        } catch (IOException | RuntimeException e) {
            throw failure("can't open", e);
        }
    }

    /** The first copy gets its name when it is whole, so that a disk without it is known to be empty. */
    private void createFirstCopy(FilePath file) throws IOException {
        StoreFile young = new StoreFile(FilePath.get(file + ".new"));
        try {
            young.clear();
            young.update(null, Map.of());
        } finally {
            young.close();
        }
        FilePath.get(file + ".new").moveTo(file, true);
        syncFolder.run();
    }

    private RecordStoreException failure(String what, Exception cause) {
        closeFiles();
        return new RecordStoreException(what + " " + folder, cause);
    }

    /** Lets go of the files as they are: what was synced needs no closing, and closing would write. */
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
