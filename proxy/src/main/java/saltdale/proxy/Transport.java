package saltdale.proxy;

/** Connections to instances and clients, as a proxy uses them. */
public interface Transport {
    /** Sends the request of this attempt to its instance; reports the end by {@link Proxy#attemptEnded}. */
    void send(Attempt attempt);

    /**
     * Closes the connection of an attempt without any further report. Returns whether the instance cannot have begun
     * to execute the request and never will.
     */
    boolean abandon(Attempt attempt);

    /** Forwards the complete answer of the instance to the client. */
    void deliverAnswer(Attempt attempt);

    /** Answers with a status of the proxy itself; {@code retryAfterMillis} is 0 if the client gets no such hint. */
    void sendError(Request request, int status, long retryAfterMillis, String reason);

    /** Tests whether a booting instance accepts connections; reports the result by {@link Proxy#connectionTested}. */
    void testConnection(String instanceId, String address);

    /** Releases the connections to an instance that is gone. */
    void forgetInstance(String instanceId);
}
