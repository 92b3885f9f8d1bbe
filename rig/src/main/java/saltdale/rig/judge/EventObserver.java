package saltdale.rig.judge;

import java.time.Duration;
import saltdale.model.Workload;
import saltdale.rig.plan.RunnerType;

/**
 * Receives the events observed by clients, runners and the runner list, in time order. No event relies on the statement
 * of a dispatcher. Dispatchers and runners are given by number, requests by id. The default methods ignore an event.
 */
public interface EventObserver {
    /** Ignores all events. */
    EventObserver NONE = new EventObserver() {};

    /** A client has sent the last byte of a request to this dispatcher. */
    default void requestSent(Duration at, String id, Workload workload, int dispatcher, Duration clientTimeout) {}

    /** A complete answer has arrived; {@code result} is its body if it is fulfilled. */
    default void answerReceived(Duration at, String id, FinalAnswer answer, String result) {}

    /** The connection of a client ended without a complete answer. */
    default void connectionLost(Duration at, String id) {}

    /** A new connection ended without an answer: nothing shows that the dispatcher received the request. */
    default void newConnectionClosed(Duration at, String id) {}

    /** The client left before an answer. */
    default void clientLeft(Duration at, String id) {}

    /** This dispatcher was killed: retrying the requests that it held is up to the clients. */
    default void dispatcherKilled(Duration at, int dispatcher) {}

    /** The process of this dispatcher was paused: until it resumes, it can't act or receive anything. */
    default void dispatcherPaused(Duration at, int dispatcher) {}

    /** The paused dispatcher runs again since some moment between these two times. */
    default void dispatcherResumed(Duration earliest, Duration latest, int dispatcher) {}

    /** A disturbance of the link between these two has begun, or ended if {@code clear}. */
    default void linkChanged(Duration at, int runner, int dispatcher, boolean clear) {}

    /** A runner has received an attempt completely, its first byte at {@code firstByteAt}. */
    default void attemptReceived(
            Duration firstByteAt, Duration at, String id, int runner, int dispatcher, double workSeconds) {}

    /** A runner has reported that it won't run an attempt and hasn't started it. */
    default void attemptNotStarted(Duration at, String id, int runner) {}

    /** A runner has reported the end of an attempt or has cancelled it, or the connection of the attempt was closed. */
    default void attemptEnded(Duration at, String id, int runner) {}

    /** The work of an attempt was done, with its effect. */
    default void effectProduced(Duration at, String id, int runner, String result) {}

    /** A runner recognised a duplicate by its receipt and answered it without a second effect. */
    default void duplicateAnswered(Duration at, String id, String result) {}

    /** This runner has stopped responding: cancellations can't be observed there from now on. */
    default void runnerSilent(Duration at, int runner) {}

    /** This runner has started and is cold. */
    default void runnerStarted(Duration at, int runner, RunnerType make) {}

    /** This dispatcher was sent a list entry; {@code runnerStartedAt} is null for a start long ago. */
    default void listEntryReceived(
            Duration at, int dispatcher, int runner, ListedHealth health, Duration runnerStartedAt) {}

    /** The kinds of final answers to a client. */
    enum FinalAnswer {
        FULFILLED,
        SHED,
        GIVEN_UP
    }

    /** The state of a runner in the list. */
    enum ListedHealth {
        UP,
        DRAINING,
        GONE
    }
}
