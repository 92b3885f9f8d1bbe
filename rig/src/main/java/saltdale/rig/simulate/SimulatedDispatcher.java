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
    void began(Duration now);

    void listed(Duration now, List<RunnerListEntry> sightings, boolean whole, boolean cached);

    void arrived(Duration now, Request a);

    void started(Duration now, Attempt d);

    void progressed(Duration now, Attempt d);

    void ended(Duration now, Attempt d, Outcome outcome, boolean over, LoadReport report);

    void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report);

    void close(Request a);

    void woken(Duration now, Object what);

    void settle(Duration now);
}
