package saltdale.serving;

/** The memory that the requests of all connections of a process may take together. Confined to one event loop. */
public final class ByteBudget {
    /** A budget that is never used up. */
    public static final ByteBudget UNLIMITED = new ByteBudget(Long.MAX_VALUE / 2);

    private final long limit;
    private long used;

    /** Creates a budget of {@code limit} bytes. */
    public ByteBudget(long limit) {
        this.limit = limit;
    }

    /** Takes this many bytes; returns false, and takes none, if fewer are left. */
    boolean tryAcquire(long bytes) {
        if (bytes > limit - used) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Returns bytes that were taken. */
    void release(long bytes) {
        used -= bytes;
    }

    /** Returns how many bytes are taken. */
    long used() {
        return used;
    }
}
