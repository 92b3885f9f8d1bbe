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
import saltdale.rig.load.Watch;
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Make;

/**
 * The runners of a simulated day, each a model with the timeline for its clock, and what the list says of
 * them.
 */
public final class SimulatedFleet {
    private static final class Slot {
        final int number;
        final RunnerModel model;
        boolean silent;
        Duration wakeAt;
        ListedHealth health = ListedHealth.UP;
        Duration bornAt;

        Slot(int number, RunnerModel model) {
            this.number = number;
            this.model = model;
        }
    }

    private final Simulation sim;
    private final List<Slot> slots = new ArrayList<>();
    private final Watch watch;

    SimulatedFleet(Simulation sim, SplittableRandom chance) {
        this.sim = sim;
        Day day = sim.day;
        watch = new Watch(day.runners);
        List<ReceiptStore.ByScope> receipts = ReceiptStore.of(day);
        for (int i = 0; i < day.runners; i++) {
            slots.add(new Slot(
                    i,
                    new RunnerModel(
                            day.make(i),
                            receipts.get(i),
                            day.orders.coldLimitMultiple,
                            day.orders.coldLimitWindow,
                            day.meanSize(),
                            chance.split(),
                            new News(i))));
        }
    }

    public Watch watch() {
        return watch;
    }

    void sample() {
        for (Slot slot : slots) {
            slot.model.advance(sim.time.now());
            watch.sample(sim.time.now(), slot.number, slot.model.heldCount(), slot.model.isUp() && !slot.silent);
        }
    }

    ListedHealth health(int runner) {
        return slots.get(runner).health;
    }

    Duration bornAt(int runner) {
        return slots.get(runner).bornAt;
    }

    Make make(int runner) {
        return slots.get(runner).model.make;
    }

    /** Whether it answers anything at all, if only that nobody listens there. */
    boolean isSilent(int runner) {
        return slots.get(runner).silent;
    }

    boolean isUp(int runner) {
        return slots.get(runner).model.isUp();
    }

    RunnerModel.OfferResult offer(int runner, RunnerJob work) {
        RunnerModel.OfferResult offer = slots.get(runner).model.offer(sim.time.now(), work);
        schedule(slots.get(runner));
        return offer;
    }

    boolean takeBack(int runner, String id, int from) {
        boolean gone = slots.get(runner).model.cancel(sim.time.now(), id, from);
        schedule(slots.get(runner));
        return gone;
    }

    LoadReport report(int runner) {
        LoadReport report = slots.get(runner).model.report(sim.time.now());
        watch.told(runner, report);
        schedule(slots.get(runner));
        return report;
    }

    private void schedule(Slot slot) {
        Duration next = slot.model.nextAt();
        if (next == null || next.equals(slot.wakeAt)) {
            return;
        }
        slot.wakeAt = next;
        sim.time.scheduleAt(next, () -> {
            if (next.equals(slot.wakeAt)) { // else another wake has taken its place
                slot.wakeAt = null;
                slot.model.advance(sim.time.now());
                schedule(slot);
            }
        });
    }

    void act(Action act, int runner) {
        Slot slot = slots.get(runner);
        Duration now = sim.time.now();
        switch (act) {
            case CHANGE_CONDITION -> slot.model.setCondition(now, sim.troubles.runnerCondition(runner, now));
            case CRASH -> {
                slot.model.stop(now);
                lists(slot, ListedHealth.GONE, sim.day.silentNotice);
            }
            case VANISH -> {
                slot.silent = true;
                sim.judge.runnerSilent(now, runner);
                slot.model.stop(now);
                lists(slot, ListedHealth.GONE, sim.day.silentNotice);
            }
            case DRAIN, HAND_BACK -> {
                slot.model.drain(now, act == Action.HAND_BACK);
                lists(slot, ListedHealth.DRAINING, sim.day.notice);
            }
            case REMOVE -> {
                slot.model.stop(now);
                lists(slot, ListedHealth.GONE, sim.day.notice);
            }
            case START -> {
                slot.silent = false;
                slot.model.start(now);
                sim.judge.runnerStarted(now, runner, slot.model.make);
                lists(slot, ListedHealth.UP, sim.day.notice);
            }
            default -> {} // on the wire only, which has no bytes here
        }
        schedule(slot);
    }

    private void lists(Slot slot, ListedHealth health, Duration notice) {
        Duration bornAt = slot.model.startedAt();
        sim.time.scheduleAfter(notice, () -> {
            boolean older = slot.bornAt != null && bornAt != null && bornAt.compareTo(slot.bornAt) < 0
                    || slot.bornAt != null && bornAt == null;
            if (!older) { // guards against a late word of an earlier life
                slot.health = health;
                slot.bornAt = bornAt;
                sim.listChanged(slot.number);
            }
        });
    }

    /** What a runner tells goes to the dispatch that it is about. */
    private final class News implements RunnerModel.JobListener {
        private final int runner;

        News(int runner) {
            this.runner = runner;
        }

        @Override
        public void started(Duration at, RunnerJob work) {
            if (sim.day.orders.reportsStart) {
                ((SimulatedNode.Flight) work.attachment).started();
            }
        }

        @Override
        public void progressed(Duration at, RunnerJob work, double share) {
            ((SimulatedNode.Flight) work.attachment).running();
        }

        @Override
        public void ended(Duration at, RunnerJob work, RunnerModel.JobEnd how) {
            String result = work.id + "@" + runner;
            switch (how) {
                case DONE, SHED -> {
                    if (work.isDuplicate()) {
                        sim.judge.duplicateAnswered(at, work.id, result);
                    } else {
                        sim.judge.effectProduced(at, work.id, runner, result);
                    }
                    sim.judge.attemptEnded(at, work.id, runner);
                }
                case RETURNED -> sim.judge.attemptNotStarted(at, work.id, runner);
                default -> sim.judge.attemptEnded(at, work.id, runner);
            }
            ((SimulatedNode.Flight) work.attachment).told(how, result);
        }
    }
}
