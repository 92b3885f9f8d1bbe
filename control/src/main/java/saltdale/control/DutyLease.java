package saltdale.control;

/**
 * The lease of a duty: its holder and the fencing number, which rises with each new holder so that requests of a
 * previous holder can be rejected. {@code holder} is {@code null} while the duty is vacant.
 */
public record DutyLease(String holder, String name, long fence) {
    /** A duty that was never held. */
    public static final DutyLease NONE = new DutyLease(null, null, 0);
}
