package saltdale.control;

/** Why a configuration is not taken. */
public final class InvalidChart extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidChart(String what) {
        super(what, null, false, false);
    }
}
