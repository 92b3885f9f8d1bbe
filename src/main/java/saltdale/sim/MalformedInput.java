package saltdale.sim;

/** A line that does not follow the wire; its message names the event and the field. */
public final class MalformedInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInput(String message) {
        super(message);
    }
}
