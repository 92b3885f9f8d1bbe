package saltdale.node;

/** A connection to an instance, as one exchange uses it. */
interface UpstreamConnection {
    /** Whether it carried an attempt before this one. */
    boolean isReused();

    void send(byte[] head, byte[] body);

    /** Whether the kernel has taken the last byte of what was sent: else the instance cannot have the whole of it. */
    boolean isWritten();

    void close();
}
