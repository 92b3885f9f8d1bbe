package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.LoadReport;
import saltdale.rig.fleet.ReceiptStore;
import saltdale.rig.fleet.RunnerJob;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.TroubleSchedule.Action;
import saltdale.rig.judge.EventObserver.ListedHealth;
import saltdale.rig.load.RunnerLoadHistory;
import saltdale.rig.plan.RunnerType;
import saltdale.rig.plan.Scenario;

/** The runners of a simulated day, driven by the event queue, and their entries in the runner list. */
public final class SimulatedFleet {
    /** A runner and its entry in the list. */
    private static final class SimulatedRunner {
        final int number;
        final RunnerModel model;
        boolean silent;
        Duration wakeAt;
        ListedHealth health = ListedHealth.UP;
        Duration listedStart; // null for a start long ago

        SimulatedRunner(int number, RunnerModel model) {
            this.number = number;
            this.model = model;
        }
    }

    private final Simulation sim;
    private final List<SimulatedRunner> runners = new ArrayList<>();
    private final RunnerLoadHistory watch;

    SimulatedFleet(Simulation sim, SplittableRandom random) {
        this.sim = sim;
        Scenario day = sim.day;
        watch = new RunnerLoadHistory(day.runnerCount);
        List<ReceiptStore.ByScope> receipts = ReceiptStore.of(day);
        for (int i = 0; i < day.runnerCount; i++) {
            runners.add(new SimulatedRunner(
                    i,
                    new RunnerModel(
                            day.runnerType(i),
                            receipts.get(i),
                            day.dispatcherSettings.coldLimitMultiple,
                            day.dispatcherSettings.coldLimitWindow,
                            day.meanWorkSeconds(),
                            random.split(),
                            new AttemptNotifier(i))));
        }
    }

    /** The load of the runners over time. */
    public RunnerLoadHistory watch() {
        return watch;
    }

    void sample() {
        for (SimulatedRunner simulatedRunner : runners) {
            simulatedRunner.model.advance(sim.eventQueue.now());
            watch.sample(
                    sim.eventQueue.now(),
                    simulatedRunner.number,
                    simulatedRunner.model.heldCount(),
                    simulatedRunner.model.isUp() && !simulatedRunner.silent);
        }
    }

    ListedHealth health(int runner) {
        return runners.get(runner).health;
    }

    Duration listedStart(int runner) {
        return runners.get(runner).listedStart;
    }

    RunnerType make(int runner) {
        return runners.get(runner).model.make;
    }

    /** True if the runner doesn't respond at all, not even by refusing connections. */
    boolean isSilent(int runner) {
        return runners.get(runner).silent;
    }

    boolean isUp(int runner) {
        return runners.get(runner).model.isUp();
    }

    RunnerModel.OfferResult offer(int runner, RunnerJob job) {
        RunnerModel.OfferResult offer = runners.get(runner).model.offer(sim.eventQueue.now(), job);
        scheduleWake(runners.get(runner));
        return offer;
    }

    boolean cancel(int runner, String id, int dispatcher) {
        boolean removed = runners.get(runner).model.cancel(sim.eventQueue.now(), id, dispatcher);
        scheduleWake(runners.get(runner));
        return removed;
    }

    LoadReport report(int runner) {
        LoadReport report = runners.get(runner).model.report(sim.eventQueue.now());
        watch.recordReport(runner, report);
        scheduleWake(runners.get(runner));
        return report;
    }

    private void scheduleWake(SimulatedRunner simulatedRunner) {
        Duration next = simulatedRunner.model.nextEventAt();
        if (next == null || next.equals(simulatedRunner.wakeAt)) {
            return;
        }
        simulatedRunner.wakeAt = next;
        sim.eventQueue.scheduleAt(next, () -> {
            if (next.equals(simulatedRunner.wakeAt)) { // otherwise replaced by a later schedule
                simulatedRunner.wakeAt = null;
                simulatedRunner.model.advance(sim.eventQueue.now());
                scheduleWake(simulatedRunner);
            }
        });
    }

    void apply(Action action, int runner) {
        SimulatedRunner simulatedRunner = runners.get(runner);
        Duration now = sim.eventQueue.now();
        switch (action) {
            case CHANGE_CONDITION ->
                simulatedRunner.model.setCondition(now, sim.troubleSchedule.runnerCondition(runner, now));
            case CRASH -> {
                simulatedRunner.model.stop(now);
                publishAfter(simulatedRunner, ListedHealth.GONE, sim.day.crashNoticeDelay);
            }
            case VANISH -> {
                simulatedRunner.silent = true;
                sim.judge.runnerSilent(now, runner);
                simulatedRunner.model.stop(now);
                publishAfter(simulatedRunner, ListedHealth.GONE, sim.day.crashNoticeDelay);
            }
            case DRAIN, HAND_BACK -> {
                simulatedRunner.model.drain(now, action == Action.HAND_BACK);
                publishAfter(simulatedRunner, ListedHealth.DRAINING, sim.day.listUpdateDelay);
            }
            case REMOVE -> {
                simulatedRunner.model.stop(now);
                publishAfter(simulatedRunner, ListedHealth.GONE, sim.day.listUpdateDelay);
            }
            case START -> {
                simulatedRunner.silent = false;
                simulatedRunner.model.start(now);
                sim.judge.runnerStarted(now, runner, simulatedRunner.model.make);
                publishAfter(simulatedRunner, ListedHealth.UP, sim.day.listUpdateDelay);
            }
            default -> {} // applies to bytes on the wire, which aren't simulated
        }
        scheduleWake(simulatedRunner);
    }

    private void publishAfter(SimulatedRunner simulatedRunner, ListedHealth health, Duration delay) {
        Duration startedAt = simulatedRunner.model.startedAt();
        sim.eventQueue.scheduleAfter(delay, () -> {
            boolean stale = simulatedRunner.listedStart != null
                            && startedAt != null
                            && startedAt.compareTo(simulatedRunner.listedStart) < 0
                    || simulatedRunner.listedStart != null && startedAt == null;
            if (!stale) { // ignores late updates about an earlier start
                simulatedRunner.health = health;
                simulatedRunner.listedStart = startedAt;
                sim.publishListChange(simulatedRunner.number);
            }
        });
    }

    /** Forwards the events of a runner's jobs to their attempts and to the judge. */
    private final class AttemptNotifier implements RunnerModel.JobListener {
        private final int runner;

        AttemptNotifier(int runner) {
            this.runner = runner;
        }

        @Override
        public void started(Duration at, RunnerJob job) {
            if (sim.day.dispatcherSettings.reportsStart) {
                ((SimulatedNode.InFlightAttempt) job.attachment).started();
            }
        }

        @Override
        public void progressed(Duration at, RunnerJob job, double share) {
            ((SimulatedNode.InFlightAttempt) job.attachment).progressed();
        }

        @Override
        public void ended(Duration at, RunnerJob job, RunnerModel.JobEnd end) {
            String result = job.id + "@" + runner;
            switch (end) {
                case DONE, SHED -> {
                    if (job.isDuplicate()) {
                        sim.judge.duplicateAnswered(at, job.id, result);
                    } else {
                        sim.judge.effectProduced(at, job.id, runner, result);
                    }
                    sim.judge.attemptEnded(at, job.id, runner);
                }
                case RETURNED -> sim.judge.attemptNotStarted(at, job.id, runner);
                default -> sim.judge.attemptEnded(at, job.id, runner);
            }
            ((SimulatedNode.InFlightAttempt) job.attachment).ended(end, result);
        }
    }
}
