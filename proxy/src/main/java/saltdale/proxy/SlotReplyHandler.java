package saltdale.proxy;

import saltdale.control.Instance;

/** Receives an owner's replies to the slot request with the given number. */
interface SlotReplyHandler {
    void granted(long number, Instance instance);

    /** The request is queued at the owner; repeated while it waits. */
    void queued(long number);

    /** The owner has no instances, but another zone has. */
    void redirected(long number, String zone);

    /** No slot is available in time; the client may retry after the given delay. */
    void rejected(long number, long retryAfterMillis);

    /** The proxy that was asked is not the owner, or cannot be certain that it is. */
    void notOwner(long number);
}
