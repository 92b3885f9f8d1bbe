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

/** Adapts the decision module, {@link Dispatcher}, to the simulation. */
public class ModuleDispatcher implements SimulatedDispatcher {
    private final Dispatcher module;

    public ModuleDispatcher(DispatcherSettings settings, DispatcherActions actions, SplittableRandom random) {
        module = new Dispatcher(settings, actions, random);
    }

    Dispatcher module() {
        return module;
    }

    @Override
    public void onStart(Duration now) {
        module.onStart(now);
    }

    @Override
    public void onRunnerList(Duration now, List<RunnerListEntry> entries, boolean complete, boolean cached) {
        module.onRunnerList(now, entries, complete, cached);
    }

    @Override
    public void onRequest(Duration now, Request request) {
        module.onRequest(now, request);
    }

    @Override
    public void onStarted(Duration now, Attempt attempt) {
        module.onStarted(now, attempt);
    }

    @Override
    public void onProgress(Duration now, Attempt attempt) {
        module.onProgress(now, attempt);
    }

    @Override
    public void onAttemptEnd(Duration now, Attempt attempt, Outcome outcome, boolean done, LoadReport report) {
        module.onAttemptEnd(now, attempt, outcome, done, report);
    }

    @Override
    public void onProbeResult(Duration now, Runner runner, boolean answered, Duration rtt, LoadReport report) {
        module.onProbeResult(now, runner, answered, rtt, report);
    }

    @Override
    public void close(Request request) {
        module.close(request);
    }

    @Override
    public void onTimer(Duration now, Object timerTarget) {
        module.onTimer(now, timerTarget);
    }

    @Override
    public void applyActions(Duration now) {
        module.applyActions(now);
    }
}
