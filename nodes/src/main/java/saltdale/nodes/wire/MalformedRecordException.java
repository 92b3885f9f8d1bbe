package saltdale.nodes.wire;

/** A record that does not follow the protocol or exceeds one of its limits. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedRecordException(String message) {
        super(message, null, false, false); // used as a value with a message: the stack trace is never read
    }
}
