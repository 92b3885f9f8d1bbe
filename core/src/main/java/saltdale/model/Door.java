package saltdale.model;

import java.time.Duration;

/** What a dispatcher acts through. A protocol stands behind it; a time-out or pause of null means none. */
public interface Door {
    void dispatch(Dispatch dispatch, Duration timeOut);

    void cancel(Dispatch dispatch);

    void shed(Assignment assignment, Duration pause);

    void giveUp(Assignment assignment);

    void probe(Runner runner);

    /** Calls the dispatcher's woken(what) after this span; {@code what} comes back as it was handed in. */
    void wake(Duration after, Object what);

    void subscribe(boolean on);

    void readList();

    void closeIdle(Runner runner);

    /** Sends a message to the dispatcher of that number, or to all with -1. */
    void tell(int dispatcher, String message);

    void report(String line);
}
