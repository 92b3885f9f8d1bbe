package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Assignment;
import saltdale.model.Dispatch;
import saltdale.model.Door;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Runner;
import saltdale.model.Sighting;
import saltdale.model.StandingOrders;
import saltdale.model.Workload;

/**
 * A simple dispatcher that keeps the rules: a baseline to measure against. With a slip it breaks one of them
 * on purpose, in one way: so the judge is proven. Nothing of this decides in a real dispatcher.
 */
public final class BaselineDispatcher implements SimulatedDispatcher {
    /** How the next runner is chosen. */
    public enum Choice {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUT,
        /** Least outstanding, and each dispatcher sheds beyond a fixed number of its own. */
        FIXED_LIMIT,
        /** The least held of all runners, of which it sees the true state, late. */
        SEES_LATE
    }

    /** One rule broken in one way. */
    public enum Slip {
        NONE,
        FORGETS,
        ANSWERS_TWICE,
        ANSWERS_LATE,
        SENDS_AFTER_END,
        HOLDS_BACK,
        REPEATS_EFFECTFUL,
        SHEDS_WHAT_RAN,
        LEAVES_GROUP,
        OUTLASTS_WINDOW,
        COPIES,
        IGNORES_DRAIN,
        IGNORES_GONE,
        FLOODS_COLD,
        MISPLACES,
        TRUSTS_FULL
    }

    private static final int HELD = 4; // for each runner, over all dispatchers: the fixed limit

    private final StandingOrders orders;
    private final Door door;
    private final SplittableRandom chance;
    private final Choice choice;
    private final Slip slip;
    private final Set<Runner> runners = new LinkedHashSet<>();
    private final Map<Runner, Duration> coldUntil = new HashMap<>();
    private final Map<Runner, Duration> lastCold = new HashMap<>();
    private final List<Runnable> wishes = new ArrayList<>();
    private int turn;

    public BaselineDispatcher(StandingOrders orders, Door door, SplittableRandom chance, Choice choice, Slip slip) {
        this.orders = orders;
        this.door = door;
        this.chance = chance;
        this.choice = choice;
        this.slip = slip;
    }

    @Override
    public void began(Duration now) {
        // It is told the list.
    }

    @Override
    public void listed(Duration now, List<Sighting> sightings, boolean whole, boolean cached) {
        for (Sighting s : sightings) {
            s.runner().sighted(s, s.runner().of);
            boolean stays = s.mode() == Runner.Mode.READY
                    || s.mode() == Runner.Mode.DRAINING && slip == Slip.IGNORES_DRAIN
                    || s.mode() == Runner.Mode.GONE && slip == Slip.IGNORES_GONE;
            if (stays) {
                runners.add(s.runner());
            } else {
                runners.remove(s.runner());
            }
            if (s.startedAt() != null) {
                coldUntil.put(s.runner(), s.startedAt().plus(orders.warmWithin));
            }
        }
    }

    @Override
    public void arrived(Duration now, Assignment a) {
        wishes.add(() -> door.wake(a.deadline.minus(now).minusMillis(slip == Slip.ANSWERS_LATE ? -400 : 5), a));
        if (slip == Slip.FORGETS && chance.nextInt(20) == 0) {
            return;
        }
        go(now, a);
        // given up while it is out, then sent again
        if (slip == Slip.SENDS_AFTER_END && !a.dispatches.isEmpty()) {
            wishes.add(() -> door.wake(Duration.ofMillis(5), a.last()));
        }
    }

    private void go(Duration now, Assignment a) {
        boolean over = choice == Choice.FIXED_LIMIT
                && a.dispatches.isEmpty()
                && runners.stream().mapToInt(r -> r.out.size()).sum() * orders.dispatchers >= HELD * runners.size();
        Runner runner = over ? null : choose(now, a);
        if (runner == null) {
            answer(a);
        } else {
            send(now, a, runner);
            if (slip == Slip.COPIES) {
                Runner other = choose(now, a);
                if (other != null) {
                    send(now, a, other);
                }
            }
        }
    }

    private void send(Duration now, Assignment a, Runner runner) {
        Dispatch d = new Dispatch(a, runner, now, 1, runner.out.size());
        a.dispatches.add(d);
        runner.out.add(d);
        wishes.add(() -> door.dispatch(d, null));
    }

    private Runner choose(Duration now, Assignment a) {
        List<Runner> fit = new ArrayList<>();
        for (Runner r : runners) {
            if (mayGo(a, r) && !cold(now, r) && !a.sentTo(r)) {
                fit.add(r);
            }
        }
        if (slip == Slip.FLOODS_COLD) {
            for (Runner r : runners) {
                if (now.compareTo(coldUntil.getOrDefault(r, Duration.ZERO)) < 0 && mayGo(a, r)) {
                    return r;
                }
            }
        }
        if (fit.isEmpty()) {
            return null;
        }
        return switch (choice) {
            case RANDOM -> fit.get(chance.nextInt(fit.size()));
            case ROUND_ROBIN -> fit.get(turn++ % fit.size());
            case LEAST_OUT, FIXED_LIMIT, SEES_LATE -> {
                Runner best = null;
                int ties = 0;
                for (Runner r : fit) {
                    int gap = best == null ? -1 : Double.compare(load(r), load(best));
                    ties = gap < 0 ? 1 : gap == 0 ? ties + 1 : ties;
                    best = gap < 0 || gap == 0 && chance.nextInt(ties) == 0 ? r : best;
                }
                yield best;
            }
        };
    }

    private double load(Runner r) {
        return choice == Choice.SEES_LATE ? Math.max(((Sight) door).held(r), r.out.size()) : r.out.size();
    }

    /** Sends to a cold runner are spread so thin that all dispatchers together stay far under its budget. */
    private boolean cold(Duration now, Runner r) {
        if (now.compareTo(coldUntil.getOrDefault(r, Duration.ZERO)) >= 0) {
            return false;
        }
        Duration gap = orders.fall.multipliedBy(orders.dispatchers);
        Duration last = lastCold.get(r);
        if (last != null && now.compareTo(last.plus(gap)) < 0) {
            return true;
        }
        lastCold.put(r, now);
        return false;
    }

    private boolean mayGo(Assignment a, Runner r) {
        Workload w = a.workload;
        if (slip != Slip.MISPLACES && !w.mayRunOn(r)) {
            return false;
        } else if (w.repeat == Workload.Repeat.PURE || !a.mayHaveRun()) {
            return true;
        } else if (w.repeat == Workload.Repeat.EFFECTFUL) {
            return slip == Slip.REPEATS_EFFECTFUL;
        }
        return slip == Slip.LEAVES_GROUP
                || slip == Slip.OUTLASTS_WINDOW
                || a.dispatches.stream().allMatch(d -> w.sameGroup(d.runner, r));
    }

    private boolean mayShed(Assignment a) {
        Workload w = a.workload;
        return slip == Slip.SHEDS_WHAT_RAN
                || w.repeat == Workload.Repeat.PURE
                || !a.mayHaveRun()
                || w.repeat == Workload.Repeat.RECEIPTED && w.group == Workload.Group.ALL;
    }

    private void answer(Assignment a) {
        if (a.closed) {
            return;
        }
        a.closed = true;
        boolean shed = mayShed(a);
        Runnable say = shed ? () -> door.shed(a, null) : () -> door.giveUp(a);
        wishes.add(say);
        if (slip == Slip.ANSWERS_TWICE) {
            wishes.add(say);
        }
    }

    @Override
    public void started(Duration now, Dispatch d) {
        d.startedAt = now;
    }

    @Override
    public void progressed(Duration now, Dispatch d) {
        d.heardAt = now;
    }

    @Override
    public void ended(Duration now, Dispatch d, Outcome outcome, boolean over, LoadReport report) {
        Assignment a = d.assignment;
        d.outcome = outcome;
        d.unproven = outcome == Outcome.TURNED_AWAY && orders.fullProvesNothing && slip != Slip.TRUSTS_FULL;
        d.runner.out.remove(d);
        if (over) {
            a.closed = true;
        } else if (slip == Slip.ANSWERS_LATE && now.compareTo(a.deadline) >= 0) {
            return;
        } else if (!a.closed && a.pending() == null) {
            boolean again = a.dispatches.size() < orders.mostDispatches;
            boolean canFollow = again && runners.stream().anyMatch(r -> mayGo(a, r) && !a.sentTo(r));
            if (slip == Slip.HOLDS_BACK && !canFollow) {
                return; // until its patience is nearly over
            } else if (slip == Slip.OUTLASTS_WINDOW && a.mayHaveRun()) {
                wishes.add(() -> door.wake(a.workload.window.plusMillis(100), d));
            } else if (canFollow) {
                go(now, a);
            } else {
                answer(a);
            }
        }
    }

    @Override
    public void probed(Duration now, Runner r, boolean answered, Duration took, LoadReport report) {
        // It never asks.
    }

    @Override
    public void close(Assignment a) {
        a.closed = true;
        callOff(a);
    }

    private void callOff(Assignment a) {
        for (Dispatch d : a.dispatches) {
            if (d.outcome == null) {
                wishes.add(() -> door.cancel(d));
            }
        }
    }

    @Override
    public void woken(Duration now, Object what) {
        if (what instanceof Assignment a && !a.closed) {
            if (slip == Slip.FORGETS && a.dispatches.isEmpty()) {
                return;
            }
            callOff(a);
            answer(a);
        } else if (what instanceof Dispatch d && slip == Slip.SENDS_AFTER_END) {
            if (d.outcome == null && !d.assignment.closed) {
                answer(d.assignment);
                wishes.add(() -> door.wake(Duration.ofMillis(20), d));
            } else if (d.outcome == null) {
                go(now, d.assignment);
            }
        } else if (what instanceof Dispatch d && !d.assignment.closed) {
            go(now, d.assignment);
        }
    }

    @Override
    public void settle(Duration now) {
        List<Runnable> all = List.copyOf(wishes);
        wishes.clear();
        all.forEach(Runnable::run);
        if (!wishes.isEmpty()) {
            settle(now);
        }
    }
}
