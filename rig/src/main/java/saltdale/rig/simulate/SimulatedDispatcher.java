package saltdale.rig.simulate;

import java.time.Duration;
import java.util.List;
import saltdale.model.Attempt;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;

/**
 * The decision logic of one simulated dispatcher, with the events of {@link saltdale.decision.Dispatcher}. It acts
 * through its {@link saltdale.model.DispatcherActions}, and only in {@link #applyActions}.
 */
public interface SimulatedDispatcher {
    /** The dispatcher starts. */
    void onStart(Duration now);

    /** Runner list entries have arrived; the complete list or changes to it. */
    void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached);

    /** A client request has arrived. */
    void onRequest(Duration now, Request request);

    /** A runner has reported the start of an attempt. */
    void onStarted(Duration now, Attempt attempt);

    /** A runner has reported progress of an attempt. */
    void onProgress(Duration now, Attempt attempt);

    /** An attempt has ended; {@code done} if its request needs no answer from the dispatcher any more. */
    void onAttemptEnd(Duration now, Attempt attempt, Outcome outcome, boolean done, LoadReport report);

    /** A probe was answered or has failed. */
    void onProbeResult(Duration now, Runner runner, boolean answered, Duration rtt, LoadReport report);

    /** The client has left. */
    void close(Request request);

    /** A timer set with {@code setTimer} has expired. */
    void onTimer(Duration now, Object timerTarget);

    /** Carries out the actions decided on since the last call. */
    void applyActions(Duration now);
}
