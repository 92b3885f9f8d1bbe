package saltdale.decision;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Door;
import saltdale.model.LoadReport;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.StandingOrders;
import saltdale.model.Workload;

/** A dispatcher with a door that writes down what goes through it. */
final class Scene implements Door {
    final StandingOrders orders = new StandingOrders();
    final Workload workload = new Workload();
    final List<String> acts = new ArrayList<>();
    final List<Runner> probes = new ArrayList<>();
    final List<Dispatch> dispatches = new ArrayList<>();
    Dispatcher dispatcher;

    Scene() {
        workload.promised = Duration.ofMillis(400);
        workload.patience = Duration.ofSeconds(6);
        workload.stretch = 1.75;
        orders.workloads.add(workload);
        orders.mostDispatches = 4;
        orders.tellsStart = true;
        orders.warmWithin = Duration.ofSeconds(8);
        orders.coldFrom = 0.3;
        orders.tipMultiple = 2.5;
        orders.fall = Duration.ofSeconds(2);
        orders.round = Duration.ofMillis(4);
    }

    static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    static LoadReport queue(double queue) {
        return new LoadReport(queue, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    static Sighting sighting(Runner runner, Runner.Mode mode, Duration startedAt) {
        return new Sighting(runner, "any", "here", 1, mode, 0, startedAt);
    }

    /** A dispatcher that knows so many warm runners. */
    Dispatcher with(int runners) {
        dispatcher = new Dispatcher(orders, this, new SplittableRandom(1));
        List<Sighting> list = new ArrayList<>();
        for (int i = 0; i < runners; i++) {
            list.add(sighting(new Runner(), Runner.Mode.READY, null));
        }
        dispatcher.listed(at(0), list, true, true);
        return dispatcher;
    }

    Assignment assignment() {
        return new Assignment(workload, at(0), workload.patience);
    }

    /** An assignment that has been dispatched to this runner and not heard of since. */
    Assignment sentTo(Runner runner) {
        Assignment a = assignment();
        Dispatch d = new Dispatch(a, runner, at(0), 1, 0);
        a.dispatches.add(d);
        runner.out.add(d);
        return a;
    }

    /** The assignment arrives, and the round ends. */
    void arrives(Assignment a) {
        dispatcher.arrived(at(0), a);
        dispatcher.settle(at(0));
    }

    /** The last probe is answered at 5 ms with this queue, and the round ends. */
    void finds(double queue) {
        dispatcher.probed(at(5), probes.get(probes.size() - 1), true, at(5), queue(queue));
        dispatcher.settle(at(5));
    }

    @Override
    public void dispatch(Dispatch dispatch, Duration timeOut) {
        acts.add("dispatch");
        dispatches.add(dispatch);
    }

    @Override
    public void cancel(Dispatch dispatch) {
        acts.add("cancel");
    }

    @Override
    public void shed(Assignment assignment, Duration pause) {
        acts.add("shed");
    }

    @Override
    public void giveUp(Assignment assignment) {
        acts.add("give up");
    }

    @Override
    public void probe(Runner runner) {
        acts.add("probe");
        probes.add(runner);
    }

    @Override
    public void wake(Duration after, Object what) {}

    @Override
    public void subscribe(boolean on) {
        acts.add("subscribe");
    }

    @Override
    public void readList() {
        acts.add("read list");
    }

    @Override
    public void closeIdle(Runner runner) {
        acts.add("close");
    }

    @Override
    public void tell(int number, String message) {
        acts.add("tell");
    }

    @Override
    public void report(String line) {}
}
