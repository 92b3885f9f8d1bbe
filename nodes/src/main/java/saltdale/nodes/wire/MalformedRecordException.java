package saltdale.nodes.wire;

/** Bytes that are no record of the protocol, or that pass one of its bounds. */
public final class MalformedRecordException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedRecordException(String message) {
        super(message, null, false, false); // a value that says what is wrong; nobody reads its trace
    }
}
