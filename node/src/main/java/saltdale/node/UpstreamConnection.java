package saltdale.node;

import saltdale.transport.SendProgress;

/** A connection to an instance during one exchange. */
interface UpstreamConnection {
    /** Returns whether the connection carried an attempt before this one. */
    boolean isReused();

    /** Sends the head and the body of a request. */
    void send(byte[] head, byte[] body);

    /** Returns how much of the request the kernel has accepted, which is what the instance may have received. */
    SendProgress sendProgress();

    /** Enables or disables reading; while it is disabled, bytes of the instance stay in the kernel. */
    default void setReadEnabled(boolean enabled) {}

    /** Closes the connection; its handler is not called any more. */
    void close();
}
