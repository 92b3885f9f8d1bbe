package saltdale.rig.judge;

import java.time.Duration;
import saltdale.model.Workload;
import saltdale.rig.plan.Make;

/**
 * What clients, runners and the list have seen, in the order of time. None of it is a dispatcher's word.
 * Dispatchers and runners go by their numbers, requests by their ids. What a witness does not care for it
 * need not hear.
 */
public interface Witness {
    /** Hears nothing. */
    Witness NOBODY = new Witness() {};

    /** A client has written the last byte of a request to this dispatcher. */
    default void asked(Duration at, String id, Workload workload, int dispatcher, Duration patience) {}

    /** A whole answer has come; {@code result} is its body where it says fulfilled. */
    default void answered(Duration at, String id, Final how, String result) {}

    /** The connection ended with no whole answer. */
    default void cut(Duration at, String id) {}

    /** The same of a new connection: nothing shows that the dispatcher ever had the request. */
    default void turnedOff(Duration at, String id) {}

    /** The client went away by itself. */
    default void left(Duration at, String id) {}

    /** This dispatcher was killed: what it held is its clients' to try again. */
    default void killed(Duration at, int dispatcher) {}

    /** This dispatcher's process was stopped: until it goes on it can do and be told nothing. */
    default void stopped(Duration at, int dispatcher) {}

    /** It goes on. */
    default void wentOn(Duration at, int dispatcher) {}

    /** Something befell the way between these two, or it is free again. */
    default void way(Duration at, int runner, int dispatcher, boolean free) {}

    /** A runner has the whole of a dispatch, whose first byte came then. */
    default void reached(Duration firstByte, Duration at, String id, int runner, int dispatcher, double work) {}

    /** A runner has said that a dispatch has not run and will not. */
    default void unstarted(Duration at, String id, int runner) {}

    /** A runner has said how a dispatch ended, or has taken it back, or its connection was closed on it. */
    default void over(Duration at, String id, int runner) {}

    /** A dispatch's work has had its effect. */
    default void effect(Duration at, String id, int runner, String result) {}

    /** A repeat's result, known by its receipt: made, but with no effect of its own. */
    default void made(Duration at, String id, String result) {}

    /** This runner is silent from now on: what is called off there can't be seen. */
    default void silent(Duration at, int runner) {}

    /** This runner has started, cold. */
    default void started(Duration at, int runner, Make make) {}

    /** This dispatcher was told of a runner; {@code bornAt} null: long ago. */
    default void told(Duration at, int dispatcher, int runner, Health health, Duration bornAt) {}

    /** The final answers. */
    enum Final {
        FULFILLED,
        SHED,
        GIVEN_UP
    }

    /** What a list says of a runner. */
    enum Health {
        UP,
        DRAINING,
        GONE
    }
}
