package saltdale.proxy;

/** How far an attempt came: what may be said of the request, and what may be done next, follows from this alone. */
public enum ExecutionStatus {
    /** No instance has begun work on it, and none will. */
    NOT_RUN,
    /** It was sent, and nothing says whether it ran. */
    MAY_HAVE_RUN,
    /** An instance's own answer says that it ran. */
    RAN;

    /** Whether the request may go to an instance again. */
    public boolean allowsAnother(boolean idempotent) {
        return this == NOT_RUN || idempotent && this == MAY_HAVE_RUN;
    }

    /** Of two attempts at one request, what holds for the request. */
    public ExecutionStatus and(ExecutionStatus other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
