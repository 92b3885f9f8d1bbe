package saltdale.model;

import java.time.Duration;

/** What a dispatcher acts through. A protocol stands behind it; a time-out or pause of null means none. */
public interface DispatcherActions {
    void dispatch(Attempt attempt, Duration timeout);

    void cancel(Attempt attempt);

    void shed(Request request, Duration retryAfter);

    void giveUp(Request request);

    void probe(Runner runner);

    /** Calls the dispatcher's woken(what) after this span; {@code what} comes back as it was handed in. */
    void setTimer(Duration delay, Object target);

    void subscribe(boolean enabled);

    void requestRunnerList();

    void closeIdleConnections(Runner runner);

    /** Sends a message to the dispatcher of that number, or to all with -1. */
    void sendToPeer(int dispatcher, String message);

    void log(String line);
}
