package saltdale.model;

/** How an attempt or a probe ended. */
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
     * True if the outcome proves that the work never ran; for a rejection only where runners never reject after a
     * start, see {@link DispatcherSettings#lateRejections}.
     */
    public boolean neverRan() {
        return this == TURNED_AWAY || this == NOT_CONNECTED || this == NEVER_SENT;
    }
}
