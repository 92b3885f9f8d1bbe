package saltdale.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.LoadReport;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
import saltdale.model.Workload;

/** A dispatcher whose actions are recorded. */
final class DispatcherFixture implements DispatcherActions {
    final DispatcherSettings settings = new DispatcherSettings();
    final Workload workload = new Workload();
    final List<String> actions = new ArrayList<>();
    final List<Runner> probes = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    Dispatcher dispatcher;

    DispatcherFixture() {
        workload.targetLatency = Duration.ofMillis(400);
        workload.clientTimeout = Duration.ofSeconds(6);
        workload.latencyStretch = 1.75;
        settings.workloads.add(workload);
        settings.maxAttempts = 4;
        settings.reportsStart = true;
        settings.warmUpTime = Duration.ofSeconds(8);
        settings.coldCapacity = 0.3;
        settings.coldLimitMultiple = 2.5;
        settings.coldLimitWindow = Duration.ofSeconds(2);
        settings.roundInterval = Duration.ofMillis(4);
    }

    static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    static LoadReport queueReport(double queue) {
        return new LoadReport(queue, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    static RunnerListEntry entry(Runner runner, Runner.Mode mode, Duration startedAt) {
        return new RunnerListEntry(runner, "any", "here", 1, mode, 0, startedAt);
    }

    /** Creates the dispatcher with this number of warm runners. */
    Dispatcher createWithRunners(int runners) {
        dispatcher = new Dispatcher(settings, this, new SplittableRandom(1));
        List<RunnerListEntry> list = new ArrayList<>();
        for (int i = 0; i < runners; i++) {
            list.add(entry(new Runner(), Runner.Mode.READY, null));
        }
        dispatcher.onRunnerList(at(0), list, true, true);
        return dispatcher;
    }

    Request newRequest() {
        return new Request(workload, at(0), workload.clientTimeout);
    }

    /** A request with a pending attempt at this runner. */
    Request newRequestSentTo(Runner runner) {
        Request request = newRequest();
        Attempt attempt = new Attempt(request, runner, at(0), 1, 0);
        request.attempts.add(attempt);
        runner.inFlight.add(attempt);
        return request;
    }

    /** The request arrives at 0 ms, and the round ends. */
    void sendRequest(Request request) {
        dispatcher.onRequest(at(0), request);
        dispatcher.applyActions(at(0));
    }

    /** The last probe is answered at 5 ms with this queue length, and the round ends. */
    void answerLastProbe(double queue) {
        dispatcher.onProbeResult(at(5), probes.get(probes.size() - 1), true, at(5), queueReport(queue));
        dispatcher.applyActions(at(5));
    }

    @Override
    public void dispatch(Attempt attempt, Duration timeout) {
        actions.add("dispatch");
        attempts.add(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        actions.add("cancel");
    }

    @Override
    public void shed(Request request, Duration retryAfter) {
        actions.add("shed");
    }

    @Override
    public void giveUp(Request request) {
        actions.add("give up");
    }

    @Override
    public void probe(Runner runner) {
        actions.add("probe");
        probes.add(runner);
    }

    @Override
    public void setTimer(Duration delay, Object target) {}

    @Override
    public void subscribe(boolean enabled) {
        actions.add("subscribe");
    }

    @Override
    public void requestRunnerList() {
        actions.add("read list");
    }

    @Override
    public void closeIdleConnections(Runner runner) {
        actions.add("close");
    }

    @Override
    public void sendToPeer(int dispatcher, String message) {
        actions.add("tell");
    }

    @Override
    public void log(String line) {}
}
