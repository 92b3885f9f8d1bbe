package saltdale.control;

/** A message, a record or a call that is not of the shape that was asked for; nothing was changed by it. */
public final class MalformedMessage extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessage(String what) {
        super(what, null, false, false);
    }
}
