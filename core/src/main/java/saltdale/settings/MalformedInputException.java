package saltdale.settings;

/** Input that violates its format; the message names the field. */
public final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInputException(String message) {
        super(message);
    }
}
