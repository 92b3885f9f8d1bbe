package saltdale.node;

/** A connection to an instance during one exchange. */
interface UpstreamConnection {
    /** Returns whether the connection carried an attempt before this one. */
    boolean isReused();

    /** Sends the head and the body of a request. */
    void send(byte[] head, byte[] body);

    /**
     * Returns whether the kernel has accepted the last byte of the request; otherwise the instance cannot have received
     * the whole request.
     */
    boolean isWritten();

    /** Closes the connection; its handler is not called any more. */
    void close();
}
