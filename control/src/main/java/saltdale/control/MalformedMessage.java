package saltdale.control;

/** Thrown if a message, a record on disk or a request does not have the expected format; nothing was changed by it. */
public final class MalformedMessage extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessage(String reason) {
        super(reason, null, false, false);
    }
}
