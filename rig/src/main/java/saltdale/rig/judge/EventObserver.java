package saltdale.rig.judge;

import java.time.Duration;
import saltdale.model.Workload;
import saltdale.rig.plan.Make;

/**
 * What clients, runners and the list have seen, in the order of time. None of it is a dispatcher's word.
 * Dispatchers and runners go by their numbers, requests by their ids. What a witness does not care for it
 * need not hear.
 */
public interface EventObserver {
    /** Hears nothing. */
    EventObserver NONE = new EventObserver() {};

    /** A client has written the last byte of a request to this dispatcher. */
    default void requestSent(Duration at, String id, Workload workload, int dispatcher, Duration patience) {}

    /** A whole answer has come; {@code result} is its body where it says fulfilled. */
    default void answerReceived(Duration at, String id, FinalAnswer how, String result) {}

    /** The connection ended with no whole answer. */
    default void connectionLost(Duration at, String id) {}

    /** The same of a new connection: nothing shows that the dispatcher ever had the request. */
    default void newConnectionClosed(Duration at, String id) {}

    /** The client went away by itself. */
    default void clientLeft(Duration at, String id) {}

    /** This dispatcher was killed: what it held is its clients' to try again. */
    default void dispatcherKilled(Duration at, int dispatcher) {}

    /** This dispatcher's process was stopped: until it goes on it can do and be told nothing. */
    default void dispatcherPaused(Duration at, int dispatcher) {}

    /** It goes on. */
    default void dispatcherResumed(Duration at, int dispatcher) {}

    /** Something befell the way between these two, or it is free again. */
    default void linkChanged(Duration at, int runner, int dispatcher, boolean free) {}

    /** A runner has the whole of a dispatch, whose first byte came then. */
    default void attemptReceived(Duration firstByte, Duration at, String id, int runner, int dispatcher, double work) {}

    /** A runner has said that a dispatch has not run and will not. */
    default void attemptNotStarted(Duration at, String id, int runner) {}

    /** A runner has said how a dispatch ended, or has taken it back, or its connection was closed on it. */
    default void attemptEnded(Duration at, String id, int runner) {}

    /** A dispatch's work has had its effect. */
    default void effectProduced(Duration at, String id, int runner, String result) {}

    /** A repeat's result, known by its receipt: made, but with no effect of its own. */
    default void duplicateAnswered(Duration at, String id, String result) {}

    /** This runner is silent from now on: what is called off there can't be seen. */
    default void runnerSilent(Duration at, int runner) {}

    /** This runner has started, cold. */
    default void runnerStarted(Duration at, int runner, Make make) {}

    /** This dispatcher was told of a runner; {@code bornAt} null: long ago. */
    default void listEntryReceived(Duration at, int dispatcher, int runner, ListedHealth health, Duration bornAt) {}

    /** The final answers. */
    enum FinalAnswer {
        FULFILLED,
        SHED,
        GIVEN_UP
    }

    /** What a list says of a runner. */
    enum ListedHealth {
        UP,
        DRAINING,
        GONE
    }
}
