package saltdale.rig.simulate;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.decision.Dispatcher;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;

/** The decision module itself. */
public class ModuleDispatcher implements SimulatedDispatcher {
    private final Dispatcher module;

    public ModuleDispatcher(DispatcherSettings orders, DispatcherActions door, SplittableRandom chance) {
        module = new Dispatcher(orders, door, chance);
    }

    Dispatcher module() {
        return module;
    }

    @Override
    public void began(Duration now) {
        module.onStart(now);
    }

    @Override
    public void listed(Duration now, List<RunnerListEntry> sightings, boolean whole, boolean cached) {
        module.onRunnerList(now, sightings, whole, cached);
    }

    @Override
    public void arrived(Duration now, Request a) {
        module.onRequest(now, a);
    }

    @Override
    public void started(Duration now, Attempt d) {
        module.onStarted(now, d);
    }

    @Override
    public void progressed(Duration now, Attempt d) {
        module.onProgress(now, d);
    }

    @Override
    public void ended(Duration now, Attempt d, Outcome outcome, boolean over, LoadReport report) {
        module.onAttemptEnd(now, d, outcome, over, report);
    }

    @Override
    public void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report) {
        module.onProbeResult(now, r, answered, took, report);
    }

    @Override
    public void close(Request a) {
        module.close(a);
    }

    @Override
    public void woken(Duration now, Object what) {
        module.onTimer(now, what);
    }

    @Override
    public void settle(Duration now) {
        module.applyActions(now);
    }
}
