package saltdale.storage;

/** Thrown if the record store cannot be read or written. Records that were synced before remain on the disk. */
public class RecordStoreException extends Exception {
    private static final long serialVersionUID = 1L;

    public RecordStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
