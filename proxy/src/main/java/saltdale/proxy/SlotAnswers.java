package saltdale.proxy;

import saltdale.control.Instance;

/** What the owner of a service answers to the request for a slot that bears this number. */
interface SlotAnswers {
    void granted(long number, Instance instance);

    /** It waits at the owner; this is said again while it does. */
    void queued(long number);

    /** The owner has no instances, those of another zone has. */
    void elsewhere(long number, String zone);

    /** No slot can be had in time; the client may come back after a pause. */
    void refused(long number, long pauseMillis);

    /** Whoever was asked is not the owner, or cannot know that it is. */
    void notOwned(long number);
}
