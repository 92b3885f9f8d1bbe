package saltdale.control;

/** Thrown if a configuration is rejected; the message tells the reason. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfiguration(String reason) {
        super(reason, null, false, false);
    }
}
