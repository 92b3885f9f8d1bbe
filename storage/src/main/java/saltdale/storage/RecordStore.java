package saltdale.storage;

import java.nio.file.Path;
import java.util.Map;

/** Records by name that outlast a loss of power. Not for several threads at once. */
public interface RecordStore extends AutoCloseable {
    /** All records as last synced. */
    Map<String, byte[]> read() throws RecordStoreException;

    /**
     * Puts these records (null value removes), all or none of them; when it returns they outlast a loss of power. After
     * an exception the next read says whether they were put.
     */
    void write(Map<String, byte[]> records) throws RecordStoreException;

    @Override
    void close();

    /**
     * Opens the record store in this folder, made if need be; a copy that was cut, torn or lacks later writes is
     * read back to
     * what was synced. Told apart: an empty disk (read() is empty) and one that can't be read (RecordStoreException).
     */
    static RecordStore open(Path folder) throws RecordStoreException {
        return MirroredRecordStore.open(folder);
    }
}
