package saltdale.serving;

/** The memory that the requests of all connections of a process may take together. Confined to one event loop. */
public final class ByteBudget {
    /** A budget that is never used up. */
    public static final ByteBudget UNLIMITED = new ByteBudget(Long.MAX_VALUE / 2);

    /** A request that holds no more than this is small: nearly all are. */
    public static final int SMALL_REQUEST_BYTES = 2 * 1024;

    private final long limit;
    private final long reserve;
    private long used;
    private long refusals;

    /** Creates a budget of {@code limit} bytes that requests of any size may use up. */
    public ByteBudget(long limit) {
        this(limit, 0);
    }

    /** Creates a budget of {@code limit} bytes, {@code reserve} of which are left for small requests. */
    public ByteBudget(long limit, long reserve) {
        this.limit = limit;
        this.reserve = reserve;
    }

    /**
     * Takes this many bytes for a request that then holds {@code requestBytes}; returns false, and takes none, if fewer
     * are left for a request of that size.
     */
    boolean tryAcquire(long bytes, long requestBytes) {
        long available = requestBytes <= SMALL_REQUEST_BYTES ? limit - used : limit - reserve - used;
        if (bytes > available) {
            refusals++;
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
    public long used() {
        return used;
    }

    /** Returns how many bytes there are in all. */
    public long limit() {
        return limit;
    }

    /** Returns how often bytes were refused. */
    public long refusals() {
        return refusals;
    }
}
