package saltdale.control;

/**
 * The lease of a duty: its holder, the holder's node name, and the fencing number that excludes earlier holders.
 * {@code holder} is null while the duty is vacant.
 */
public record DutyLease(String holder, String name, long fence) {
    /** A duty that nobody has held yet. */
    public static final DutyLease NONE = new DutyLease(null, null, 0);
}
