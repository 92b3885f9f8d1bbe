package saltdale.storage;

/** The record store could not be read or written; what was synced before still stands on the disk. */
public class RecordStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    public RecordStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
