package saltdale.orders;

/** Input that does not follow its page; the message names the field. */
public final class MalformedInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public MalformedInput(String message) {
        super(message);
    }
}
