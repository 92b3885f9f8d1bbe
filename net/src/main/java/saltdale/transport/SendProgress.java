package saltdale.transport;

/** How far a message had been sent when its connection ended. */
public enum SendProgress {
    /** The kernel accepted no byte of the message. */
    UNSENT,
    /** The kernel accepted a part of the message. */
    PARTLY_WRITTEN,
    /** The kernel accepted the whole message; whether the peer received it is unknown. */
    WRITTEN,
    /** The peer has confirmed that it accepted the message. */
    ACCEPTED;

    /**
     * Returns true if the peer cannot have received the whole message. It may still have acted on a part of it, unless
     * the protocol forbids that.
     */
    public boolean isIncomplete() {
        return this == UNSENT || this == PARTLY_WRITTEN;
    }
}
