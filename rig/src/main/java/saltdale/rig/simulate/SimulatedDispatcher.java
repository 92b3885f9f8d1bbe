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
    void onStart(Duration now);

    void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached);

    void onRequest(Duration now, Request request);

    void onStarted(Duration now, Attempt attempt);

    void onProgress(Duration now, Attempt attempt);

    void onAttemptEnd(Duration now, Attempt attempt, Outcome outcome, boolean done, LoadReport report);

    void onProbeResult(Duration now, Runner runner, boolean answered, Duration rtt, LoadReport report);

    void close(Request request);

    void onTimer(Duration now, Object timerTarget);

    void applyActions(Duration now);
}
