package saltdale.rig.plan;

/** What a file holds that can't be used: one line that names the file, the place and what is wanted there. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidInputException(String message) {
        super(message);
    }
}
