package saltdale.rig.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import saltdale.rig.fleet.Receipts;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.RunnerModel.End;
import saltdale.rig.fleet.TroubleSchedule.Act;
import saltdale.rig.fleet.Work;
import saltdale.rig.judge.Witness.Health;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;
import saltdale.transport.Timer;

/** A runner: its model, and what it tells. */
final class StandInRunner implements RunnerModel.Told {
    final StandInFleet fleet;
    final int number;
    final RunnerModel model;
    final List<RunnerEndpoint> endpoints = new ArrayList<>();
    final Map<Work, JobReports> reports = new HashMap<>();
    boolean silent;
    private Timer wake;
    private Duration wakeAt;

    StandInRunner(StandInFleet fleet, int number, Receipts.Shared receipts, SplittableRandom chance)
            throws IOException {
        this.fleet = fleet;
        this.number = number;
        model = new RunnerModel(
                fleet.day.make(number),
                receipts,
                fleet.day.orders.coldLimitMultiple,
                fleet.day.orders.coldLimitWindow,
                fleet.day.meanSize(),
                chance,
                this);
        for (int j = 0; j < fleet.day.dispatchers; j++) {
            endpoints.add(new RunnerEndpoint(this, j));
        }
    }

    void endpoints() {
        endpoints.forEach(RunnerEndpoint::set);
    }

    void schedule() {
        Duration next = model.nextAt();
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

    void act(Act act, Duration at) {
        Duration now = fleet.origin.now();
        switch (act) {
            // By the hour that it was set for: a timer may come a little before its time, and none would
            // follow.
            case CONDITION -> model.condition(now, fleet.troubles.condition(number, at));
            case CRASH -> {
                endpoints.forEach(RunnerEndpoint::shut);
                model.stop(now);
                lists(Health.GONE, fleet.day.silentNotice);
            }
            case VANISH -> {
                silent = true;
                fleet.witness.silent(now, number);
                endpoints();
                reports.clear();
                model.stop(now);
                lists(Health.GONE, fleet.day.silentNotice);
            }
            case DRAIN, HAND_BACK -> {
                model.drain(now, act == Act.HAND_BACK);
                lists(Health.DRAINING, fleet.day.notice);
            }
            case REMOVE -> {
                endpoints.forEach(RunnerEndpoint::shut);
                model.stop(now);
                lists(Health.GONE, fleet.day.notice);
            }
            case START -> {
                silent = false;
                model.start(now);
                fleet.witness.started(now, number, model.make);
                endpoints.forEach(RunnerEndpoint::renew);
                lists(Health.UP, fleet.day.notice);
            }
            default -> {}
        }
        schedule();
    }

    private void lists(Health health, Duration notice) {
        Duration bornAt = model.bornAt();
        fleet.loopThread.loop.schedule(notice, () -> fleet.list.changed(number, health, bornAt));
    }

    boolean has(Kind wire) {
        return wire(wire) != null;
    }

    Trouble wire(Kind kind) {
        if (fleet.day.troubles.isEmpty()) {
            return null;
        }
        for (Trouble each : fleet.troubles.wire(number, fleet.origin.now().minus(fleet.start))) {
            if (each.kind() == kind) {
                return each;
            }
        }
        return null;
    }

    // The model tells.

    @Override
    public void started(Duration at, Work work) {
        if (fleet.day.orders.reportsStart) {
            telling(work).add("started", -1, null);
        }
    }

    @Override
    public void running(Duration at, Work work, double share) {
        telling(work).add("running", share, null);
    }

    @Override
    public void ended(Duration at, Work work, End how) {
        String result = work.id + "@" + number;
        Duration now = fleet.origin.now();
        switch (how) {
            case DONE, SHED -> {
                if (work.isRepeat()) {
                    fleet.witness.made(now, work.id, result);
                } else {
                    fleet.witness.effect(now, work.id, number, result);
                }
                fleet.witness.over(now, work.id, number);
            }
            case RETURNED -> fleet.witness.unstarted(now, work.id, number);
            default -> fleet.witness.over(now, work.id, number);
        }
        if (silent) {
            return; // the machine has vanished with its agent
        }
        telling(work)
                .add(
                        (how == End.SHED ? End.RETURNED : how).name().toLowerCase(Locale.ROOT),
                        -1,
                        how == End.DONE ? result : null);
        reports.remove(work);
    }

    private JobReports telling(Work work) {
        return reports.computeIfAbsent(work, w -> new JobReports(this, w));
    }
}
