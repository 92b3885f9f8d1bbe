package saltdale.proxy;

/** What carries bytes for a proxy: connections to instances and to clients. */
public interface Transport {
    /** Sends the request there; tells the proxy by {@link Proxy#ended}. */
    void carry(Attempt attempt);

    /** Breaks the attempt off; nothing of it is told any more. Tells whether the instance cannot have read it whole. */
    boolean abandon(Attempt attempt);

    /** Hands the instance's whole answer to the client. */
    void deliver(Attempt attempt);

    /** Answers with a status of our own; {@code pauseMillis} (0: none) says when to come back. */
    void refuse(Request request, int status, long pauseMillis, String why);

    /** Tries whether an instance that is starting takes connections; tells by {@link Proxy#tried}. */
    void tryConnection(String id, String address);

    /** Nothing goes to this instance any more. */
    void forget(String id);
}
