package saltdale.control;

/**
 * Who holds a duty, by the number that fences off whoever held it before; {@code holder} is null while it is
 * vacant.
 */
public record DutyLease(String holder, String name, long fence) {
    public static final DutyLease NONE = new DutyLease(null, null, 0);
}
