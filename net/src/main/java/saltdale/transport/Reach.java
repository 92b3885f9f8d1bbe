package saltdale.transport;

/** How far a message had come when its connection ended: what of it the kernel had taken, and the peer after that. */
public enum Reach {
    UNSENT,
    PARTLY_WRITTEN,
    WRITTEN,
    TAKEN;

    /** True where the peer cannot have the whole message. */
    public boolean incomplete() {
        return this == UNSENT || this == PARTLY_WRITTEN;
    }
}
