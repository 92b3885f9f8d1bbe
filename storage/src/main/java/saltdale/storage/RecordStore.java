package saltdale.storage;

import java.nio.file.Path;
import java.util.Map;

/** A durable store of named records; synced records survive a power loss. Not thread-safe. */
public interface RecordStore extends AutoCloseable {
    /** Returns all records as last synced. */
    Map<String, byte[]> read() throws RecordStoreException;

    /**
     * Writes the records atomically; a null value removes the record. When the method returns, the changes survive a
     * power loss. After an exception, the next {@link #read} shows whether they were applied.
     */
    void write(Map<String, byte[]> records) throws RecordStoreException;

    @Override
    void close();

    /**
     * Opens the record store in the folder, and creates it if necessary. If one of its copies is truncated, torn or
     * lacks the latest writes, the synced state is restored. An empty disk ({@link #read} returns an empty map) is
     * distinguished from an unreadable one, for which a RecordStoreException is thrown.
     */
    static RecordStore open(Path folder) throws RecordStoreException {
        return MirroredRecordStore.open(folder);
    }
}
