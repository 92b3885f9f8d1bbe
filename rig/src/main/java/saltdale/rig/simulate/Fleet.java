package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.LoadReport;
import saltdale.rig.fleet.Receipts;
import saltdale.rig.fleet.RunnerModel;
import saltdale.rig.fleet.TroubleSchedule.Act;
import saltdale.rig.fleet.Work;
import saltdale.rig.judge.Witness.Health;
import saltdale.rig.load.Watch;
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Make;

/**
 * The runners of a simulated day, each a model with the timeline for its clock, and what the list says of
 * them.
 */
public final class Fleet {
    private static final class Slot {
        final int number;
        final RunnerModel model;
        boolean silent;
        Duration wakeAt;
        Health health = Health.UP;
        Duration bornAt;

        Slot(int number, RunnerModel model) {
            this.number = number;
            this.model = model;
        }
    }

    private final Simulation sim;
    private final List<Slot> slots = new ArrayList<>();
    private final Watch watch;

    Fleet(Simulation sim, SplittableRandom chance) {
        this.sim = sim;
        Day day = sim.day;
        watch = new Watch(day.runners);
        List<Receipts.Shared> receipts = Receipts.of(day);
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
            watch.sample(sim.time.now(), slot.number, slot.model.held(), slot.model.isUp() && !slot.silent);
        }
    }

    Health health(int runner) {
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

    RunnerModel.Offer offer(int runner, Work work) {
        RunnerModel.Offer offer = slots.get(runner).model.offer(sim.time.now(), work);
        schedule(slots.get(runner));
        return offer;
    }

    boolean takeBack(int runner, String id, int from) {
        boolean gone = slots.get(runner).model.takeBack(sim.time.now(), id, from);
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
        sim.time.at(next, () -> {
            if (next.equals(slot.wakeAt)) { // else another wake has taken its place
                slot.wakeAt = null;
                slot.model.advance(sim.time.now());
                schedule(slot);
            }
        });
    }

    void act(Act act, int runner) {
        Slot slot = slots.get(runner);
        Duration now = sim.time.now();
        switch (act) {
            case CONDITION -> slot.model.condition(now, sim.troubles.condition(runner, now));
            case CRASH -> {
                slot.model.stop(now);
                lists(slot, Health.GONE, sim.day.silentNotice);
            }
            case VANISH -> {
                slot.silent = true;
                sim.judge.silent(now, runner);
                slot.model.stop(now);
                lists(slot, Health.GONE, sim.day.silentNotice);
            }
            case DRAIN, HAND_BACK -> {
                slot.model.drain(now, act == Act.HAND_BACK);
                lists(slot, Health.DRAINING, sim.day.notice);
            }
            case REMOVE -> {
                slot.model.stop(now);
                lists(slot, Health.GONE, sim.day.notice);
            }
            case START -> {
                slot.silent = false;
                slot.model.start(now);
                sim.judge.started(now, runner, slot.model.make);
                lists(slot, Health.UP, sim.day.notice);
            }
            default -> {} // on the wire only, which has no bytes here
        }
        schedule(slot);
    }

    private void lists(Slot slot, Health health, Duration notice) {
        Duration bornAt = slot.model.bornAt();
        sim.time.after(notice, () -> {
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
    private final class News implements RunnerModel.Told {
        private final int runner;

        News(int runner) {
            this.runner = runner;
        }

        @Override
        public void started(Duration at, Work work) {
            if (sim.day.orders.reportsStart) {
                ((Node.Flight) work.mark).started();
            }
        }

        @Override
        public void running(Duration at, Work work, double share) {
            ((Node.Flight) work.mark).running();
        }

        @Override
        public void ended(Duration at, Work work, RunnerModel.End how) {
            String result = work.id + "@" + runner;
            switch (how) {
                case DONE, SHED -> {
                    if (work.isRepeat()) {
                        sim.judge.made(at, work.id, result);
                    } else {
                        sim.judge.effect(at, work.id, runner, result);
                    }
                    sim.judge.over(at, work.id, runner);
                }
                case RETURNED -> sim.judge.unstarted(at, work.id, runner);
                default -> sim.judge.over(at, work.id, runner);
            }
            ((Node.Flight) work.mark).told(how, result);
        }
    }
}
