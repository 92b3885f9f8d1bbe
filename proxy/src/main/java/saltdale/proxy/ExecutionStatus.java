package saltdale.proxy;

/** Whether an attempt was executed, as far as is known; it alone decides on retries and on the status of an error. */
public enum ExecutionStatus {
    /** No instance has started to execute it, and none will. */
    NOT_EXECUTED,
    /** It was sent, perhaps only in part, and it is unknown whether it was executed. */
    POSSIBLY_EXECUTED,
    /** The answer of an instance shows that it was executed. */
    EXECUTED;

    /** Whether the request may be sent to an instance again. */
    public boolean allowsRetry(boolean idempotent) {
        return this == NOT_EXECUTED || idempotent && this == POSSIBLY_EXECUTED;
    }

    /** Combines the statuses of two attempts into the status of their request. */
    public ExecutionStatus combine(ExecutionStatus other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
