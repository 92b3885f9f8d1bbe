package saltdale.model;

import java.time.Duration;

/**
 * The actions by which a dispatcher carries out its decisions; implemented by each protocol adapter. A null timeout or
 * Retry-After means none.
 */
public interface DispatcherActions {
    /** Sends an attempt to its runner. */
    void dispatch(Attempt attempt, Duration timeout);

    /** Cancels an attempt. */
    void cancel(Attempt attempt);

    /** Responds that the request was rejected and a retry is harmless. */
    void shed(Request request, Duration retryAfter);

    /** Responds that the request failed and may have run. */
    void giveUp(Request request);

    /** Asks a runner for its load. */
    void probe(Runner runner);

    /** Calls the dispatcher's {@code onTimer} with {@code target} after this delay. */
    void setTimer(Duration delay, Object target);

    /** Starts or ends the subscription to the runner list. */
    void subscribe(boolean enabled);

    /** Requests the runner list once. */
    void requestRunnerList();

    /** Closes the idle connections to a runner. */
    void closeIdleConnections(Runner runner);

    /** Sends a message to the dispatcher with this index, or to all with -1. */
    void sendToPeer(int dispatcher, String message);

    /** Writes a line to the log. */
    void log(String line);
}
