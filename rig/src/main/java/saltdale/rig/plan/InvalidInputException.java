package saltdale.rig.plan;

/** Invalid input of a user; the message is one line that names the file or option, the place and what is expected. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidInputException(String message) {
        super(message);
    }
}
