package saltdale.rig.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import saltdale.rig.fleet.ReceiptStore;
import saltdale.rig.fleet.RunnerJob;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.RunnerModel.JobEnd;
import saltdale.rig.fleet.TroubleSchedule.Action;
import saltdale.rig.judge.EventObserver.ListedHealth;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;
import saltdale.transport.Timer;

/** A runner: its model, and what it tells. */
final class StandInRunner implements RunnerModel.JobListener {
    final StandInFleet fleet;
    final int number;
    final RunnerModel model;
    final List<RunnerEndpoint> endpoints = new ArrayList<>();
    final Map<RunnerJob, JobReports> reports = new HashMap<>();
    boolean silent;
    private Timer wake;
    private Duration wakeAt;

    StandInRunner(StandInFleet fleet, int number, ReceiptStore.ByScope receipts, SplittableRandom chance)
            throws IOException {
        this.fleet = fleet;
        this.number = number;
        model = new RunnerModel(
                fleet.day.runnerType(number),
                receipts,
                fleet.day.dispatcherSettings.coldLimitMultiple,
                fleet.day.dispatcherSettings.coldLimitWindow,
                fleet.day.meanWorkSeconds(),
                chance,
                this);
        for (int j = 0; j < fleet.day.dispatcherCount; j++) {
            endpoints.add(new RunnerEndpoint(this, j));
        }
    }

    void endpoints() {
        endpoints.forEach(RunnerEndpoint::set);
    }

    void schedule() {
        Duration next = model.nextEventAt();
        if (next == null || next.equals(wakeAt)) {
            return;
        }
        if (wake != null) {
            wake.cancel();
        }
        wakeAt = next;
        wake = fleet.loopThread.loop.schedule(
                next.minus(fleet.loopThread.loop.now()).minus(drift()), () -> {
                    wakeAt = null;
                    wake = null;
                    model.advance(fleet.origin.now());
                    schedule();
                });
    }

    /** What lies between the run's clock and the loop's. */
    private Duration drift() {
        return fleet.origin.now().minus(fleet.loopThread.loop.elapsed());
    }

    void act(Action act, Duration at) {
        Duration now = fleet.origin.now();
        switch (act) {
            // By the hour that it was set for: a timer may come a little before its time, and none would
            // follow.
            case CHANGE_CONDITION -> model.setCondition(now, fleet.troubles.runnerCondition(number, at));
            case CRASH -> {
                endpoints.forEach(RunnerEndpoint::shut);
                model.stop(now);
                lists(ListedHealth.GONE, fleet.day.crashNoticeDelay);
            }
            case VANISH -> {
                silent = true;
                fleet.witness.runnerSilent(now, number);
                endpoints();
                reports.clear();
                model.stop(now);
                lists(ListedHealth.GONE, fleet.day.crashNoticeDelay);
            }
            case DRAIN, HAND_BACK -> {
                model.drain(now, act == Action.HAND_BACK);
                lists(ListedHealth.DRAINING, fleet.day.listUpdateDelay);
            }
            case REMOVE -> {
                endpoints.forEach(RunnerEndpoint::shut);
                model.stop(now);
                lists(ListedHealth.GONE, fleet.day.listUpdateDelay);
            }
            case START -> {
                silent = false;
                model.start(now);
                fleet.witness.runnerStarted(now, number, model.make);
                endpoints.forEach(RunnerEndpoint::renew);
                lists(ListedHealth.UP, fleet.day.listUpdateDelay);
            }
            default -> {}
        }
        schedule();
    }

    private void lists(ListedHealth health, Duration notice) {
        Duration bornAt = model.startedAt();
        fleet.loopThread.loop.schedule(notice, () -> fleet.list.runnerChanged(number, health, bornAt));
    }

    boolean has(Kind wire) {
        return wire(wire) != null;
    }

    Trouble wire(Kind kind) {
        if (fleet.day.troubles.isEmpty()) {
            return null;
        }
        for (Trouble each :
                fleet.troubles.wireTroubles(number, fleet.origin.now().minus(fleet.start))) {
            if (each.kind() == kind) {
                return each;
            }
        }
        return null;
    }

    // The model tells.

    @Override
    public void started(Duration at, RunnerJob work) {
        if (fleet.day.dispatcherSettings.reportsStart) {
            telling(work).add("started", -1, null);
        }
    }

    @Override
    public void progressed(Duration at, RunnerJob work, double share) {
        telling(work).add("running", share, null);
    }

    @Override
    public void ended(Duration at, RunnerJob work, JobEnd how) {
        String result = work.id + "@" + number;
        Duration now = fleet.origin.now();
        switch (how) {
            case DONE, SHED -> {
                if (work.isDuplicate()) {
                    fleet.witness.duplicateAnswered(now, work.id, result);
                } else {
                    fleet.witness.effectProduced(now, work.id, number, result);
                }
                fleet.witness.attemptEnded(now, work.id, number);
            }
            case RETURNED -> fleet.witness.attemptNotStarted(now, work.id, number);
            default -> fleet.witness.attemptEnded(now, work.id, number);
        }
        if (silent) {
            return; // the machine has vanished with its agent
        }
        telling(work)
                .add(
                        (how == JobEnd.SHED ? JobEnd.RETURNED : how).name().toLowerCase(Locale.ROOT),
                        -1,
                        how == JobEnd.DONE ? result : null);
        reports.remove(work);
    }

    private JobReports telling(RunnerJob work) {
        return reports.computeIfAbsent(work, w -> new JobReports(this, w));
    }
}
