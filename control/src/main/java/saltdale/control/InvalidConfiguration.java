package saltdale.control;

/** Why a configuration is not taken. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfiguration(String what) {
        super(what, null, false, false);
    }
}
