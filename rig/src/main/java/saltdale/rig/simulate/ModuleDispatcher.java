package saltdale.rig.simulate;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.decision.Dispatcher;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Door;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.StandingOrders;

/** The decision module itself. */
public class ModuleDispatcher implements SimulatedDispatcher {
    private final Dispatcher module;

    public ModuleDispatcher(StandingOrders orders, Door door, SplittableRandom chance) {
        module = new Dispatcher(orders, door, chance);
    }

    Dispatcher module() {
        return module;
    }

    @Override
    public void began(Duration now) {
        module.began(now);
    }

    @Override
    public void listed(Duration now, List<Sighting> sightings, boolean whole, boolean cached) {
        module.listed(now, sightings, whole, cached);
    }

    @Override
    public void arrived(Duration now, Assignment a) {
        module.arrived(now, a);
    }

    @Override
    public void started(Duration now, Dispatch d) {
        module.started(now, d);
    }

    @Override
    public void progressed(Duration now, Dispatch d) {
        module.progressed(now, d);
    }

    @Override
    public void ended(Duration now, Dispatch d, Outcome outcome, boolean over, LoadReport report) {
        module.ended(now, d, outcome, over, report);
    }

    @Override
    public void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report) {
        module.probed(now, r, answered, took, report);
    }

    @Override
    public void close(Assignment a) {
        module.close(a);
    }

    @Override
    public void woken(Duration now, Object what) {
        module.woken(now, what);
    }

    @Override
    public void settle(Duration now) {
        module.settle(now);
    }
}
