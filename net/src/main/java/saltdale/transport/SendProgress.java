package saltdale.transport;

/** How far a message had come when its connection ended: what of it the kernel had taken, and the peer after that. */
public enum SendProgress {
    UNSENT,
    PARTLY_WRITTEN,
    WRITTEN,
    ACCEPTED;

    /** True where the peer cannot have the whole message. */
    public boolean isIncomplete() {
        return this == UNSENT || this == PARTLY_WRITTEN;
    }
}
