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

/** A runner on sockets: its model, its endpoints and its job reports. */
final class StandInRunner implements RunnerModel.JobListener {
    final StandInFleet fleet;
    final int number;
    final RunnerModel model;
    final List<RunnerEndpoint> endpoints = new ArrayList<>();
    final Map<RunnerJob, JobReports> reports = new HashMap<>();
    boolean silent;
    private Timer wakeTimer;
    private Duration wakeAt;

    StandInRunner(StandInFleet fleet, int number, ReceiptStore.ByScope receipts, SplittableRandom random)
            throws IOException {
        this.fleet = fleet;
        this.number = number;
        model = new RunnerModel(
                fleet.day.runnerType(number),
                receipts,
                fleet.day.dispatcherSettings.coldLimitMultiple,
                fleet.day.dispatcherSettings.coldLimitWindow,
                fleet.day.meanWorkSeconds(),
                random,
                this);
        for (int j = 0; j < fleet.day.dispatcherCount; j++) {
            endpoints.add(new RunnerEndpoint(this, j));
        }
    }

    void updateEndpoints() {
        endpoints.forEach(RunnerEndpoint::updateSilence);
    }

    void schedule() {
        Duration next = model.nextEventAt();
        if (next == null || next.equals(wakeAt)) {
            return;
        }
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        wakeAt = next;
        wakeTimer = fleet.loopThread.loop.schedule(
                next.minus(fleet.loopThread.loop.now()).minus(clockOffset()), () -> {
                    wakeAt = null;
                    wakeTimer = null;
                    model.advance(fleet.origin.now());
                    schedule();
                });
    }

    /** The difference between the clock of the run and that of the loop. */
    private Duration clockOffset() {
        return fleet.origin.now().minus(fleet.loopThread.loop.elapsed());
    }

    void act(Action action, Duration at) {
        Duration now = fleet.origin.now();
        switch (action) {
            // Uses the scheduled time, not the current one: a timer may fire slightly early, and no other would follow.
            case CHANGE_CONDITION -> model.setCondition(now, fleet.troubles.runnerCondition(number, at));
            case CRASH -> {
                endpoints.forEach(RunnerEndpoint::close);
                model.stop(now);
                scheduleListUpdate(ListedHealth.GONE, fleet.day.crashNoticeDelay);
            }
            case VANISH -> {
                silent = true;
                fleet.observer.runnerSilent(now, number);
                updateEndpoints();
                reports.clear();
                model.stop(now);
                scheduleListUpdate(ListedHealth.GONE, fleet.day.crashNoticeDelay);
            }
            case DRAIN, HAND_BACK -> {
                model.drain(now, action == Action.HAND_BACK);
                scheduleListUpdate(ListedHealth.DRAINING, fleet.day.listUpdateDelay);
            }
            case REMOVE -> {
                endpoints.forEach(RunnerEndpoint::close);
                model.stop(now);
                scheduleListUpdate(ListedHealth.GONE, fleet.day.listUpdateDelay);
            }
            case START -> {
                silent = false;
                model.start(now);
                fleet.observer.runnerStarted(now, number, model.make);
                endpoints.forEach(RunnerEndpoint::restart);
                scheduleListUpdate(ListedHealth.UP, fleet.day.listUpdateDelay);
            }
            default -> {}
        }
        schedule();
    }

    private void scheduleListUpdate(ListedHealth health, Duration notice) {
        Duration startedAt = model.startedAt();
        fleet.loopThread.loop.schedule(notice, () -> fleet.list.runnerChanged(number, health, startedAt));
    }

    boolean has(Kind kind) {
        return wireTrouble(kind) != null;
    }

    Trouble wireTrouble(Kind kind) {
        if (fleet.day.troubles.isEmpty()) {
            return null;
        }
        for (Trouble trouble :
                fleet.troubles.wireTroubles(number, fleet.origin.now().minus(fleet.start))) {
            if (trouble.kind() == kind) {
                return trouble;
            }
        }
        return null;
    }

    @Override
    public void started(Duration at, RunnerJob job) {
        if (fleet.day.dispatcherSettings.reportsStart) {
            reportsOf(job).add("started", -1, null);
        }
    }

    @Override
    public void progressed(Duration at, RunnerJob job, double share) {
        reportsOf(job).add("running", share, null);
    }

    @Override
    public void ended(Duration at, RunnerJob job, JobEnd end) {
        String result = job.id + "@" + number;
        Duration now = fleet.origin.now();
        switch (end) {
            case DONE, SHED -> {
                if (job.isDuplicate()) {
                    fleet.observer.duplicateAnswered(now, job.id, result);
                } else {
                    fleet.observer.effectProduced(now, job.id, number, result);
                }
                fleet.observer.attemptEnded(now, job.id, number);
            }
            case RETURNED -> fleet.observer.attemptNotStarted(now, job.id, number);
            default -> fleet.observer.attemptEnded(now, job.id, number);
        }
        if (silent) {
            return; // the machine has vanished, so nothing can report
        }
        reportsOf(job)
                .add(
                        (end == JobEnd.SHED ? JobEnd.RETURNED : end).name().toLowerCase(Locale.ROOT),
                        -1,
                        end == JobEnd.DONE ? result : null);
        reports.remove(job);
    }

    private JobReports reportsOf(RunnerJob job) {
        return reports.computeIfAbsent(job, j -> new JobReports(this, j));
    }
}
