package saltdale.model;

/** How a dispatch or a probe ended. */
public enum Outcome {
    FULFILLED,
    ERROR,
    TURNED_AWAY,
    TIMED_OUT,
    NOT_CONNECTED,
    BROKEN,
    CANCELLED,
    NEVER_SENT;

    /**
     * True where the outcome proves that the work never ran; of a runner that turns away, only where 'full'
     * proves it.
     */
    public boolean neverRan() {
        return this == TURNED_AWAY || this == NOT_CONNECTED || this == NEVER_SENT;
    }
}
