package saltdale.rig.simulate;

import java.time.Duration;
import java.util.List;
import saltdale.model.Attempt;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;

/** What decides for one simulated dispatcher; it acts through its Door, and only in settle. */
public interface SimulatedDispatcher {
    void onStart(Duration now);

    void onRunnerList(Duration now, List<RunnerListEntry> sightings, boolean whole, boolean cached);

    void onRequest(Duration now, Request a);

    void onStarted(Duration now, Attempt d);

    void onProgress(Duration now, Attempt d);

    void onAttemptEnd(Duration now, Attempt d, Outcome outcome, boolean over, LoadReport report);

    void onProbeResult(Duration now, Runner r, boolean answered, Duration took, LoadReport report);

    void close(Request a);

    void onTimer(Duration now, Object what);

    void applyActions(Duration now);
}
