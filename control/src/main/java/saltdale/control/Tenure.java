package saltdale.control;

/**
 * Who holds a duty, by the number that fences off whoever held it before; {@code holder} is null while it is
 * vacant.
 */
public record Tenure(String holder, String name, long fence) {
    public static final Tenure NONE = new Tenure(null, null, 0);
}
