package saltdale.rig.simulate;

import java.time.Duration;
import java.util.List;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;

/** What decides for one simulated dispatcher; it acts through its Door, and only in settle. */
public interface SimulatedDispatcher {
    void began(Duration now);

    void listed(Duration now, List<Sighting> sightings, boolean whole, boolean cached);

    void arrived(Duration now, Assignment a);

    void started(Duration now, Dispatch d);

    void progressed(Duration now, Dispatch d);

    void ended(Duration now, Dispatch d, Outcome outcome, boolean over, LoadReport report);

    void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report);

    void close(Assignment a);

    void woken(Duration now, Object what);

    void settle(Duration now);
}
