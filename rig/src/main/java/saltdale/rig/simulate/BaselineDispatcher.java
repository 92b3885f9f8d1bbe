package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.LoadReport;
import saltdale.model.Outcome;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.RunnerListEntry;
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

    private final DispatcherSettings orders;
    private final DispatcherActions door;
    private final SplittableRandom chance;
    private final Choice choice;
    private final Slip slip;
    private final Set<Runner> runners = new LinkedHashSet<>();
    private final Map<Runner, Duration> coldUntil = new HashMap<>();
    private final Map<Runner, Duration> lastCold = new HashMap<>();
    private final List<Runnable> wishes = new ArrayList<>();
    private int turn;

    public BaselineDispatcher(
            DispatcherSettings orders, DispatcherActions door, SplittableRandom chance, Choice choice, Slip slip) {
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
    public void listed(Duration now, List<RunnerListEntry> sightings, boolean whole, boolean cached) {
        for (RunnerListEntry s : sightings) {
            s.runner().update(s, s.runner().typeStats);
            boolean stays = s.mode() == Runner.Mode.READY
                    || s.mode() == Runner.Mode.DRAINING && slip == Slip.IGNORES_DRAIN
                    || s.mode() == Runner.Mode.GONE && slip == Slip.IGNORES_GONE;
            if (stays) {
                runners.add(s.runner());
            } else {
                runners.remove(s.runner());
            }
            if (s.startedAt() != null) {
                coldUntil.put(s.runner(), s.startedAt().plus(orders.warmUpTime));
            }
        }
    }

    @Override
    public void arrived(Duration now, Request a) {
        wishes.add(() -> door.setTimer(a.deadline.minus(now).minusMillis(slip == Slip.ANSWERS_LATE ? -400 : 5), a));
        if (slip == Slip.FORGETS && chance.nextInt(20) == 0) {
            return;
        }
        go(now, a);
        // given up while it is out, then sent again
        if (slip == Slip.SENDS_AFTER_END && !a.attempts.isEmpty()) {
            wishes.add(() -> door.setTimer(Duration.ofMillis(5), a.lastAttempt()));
        }
    }

    private void go(Duration now, Request a) {
        boolean over = choice == Choice.FIXED_LIMIT
                && a.attempts.isEmpty()
                && runners.stream().mapToInt(r -> r.inFlight.size()).sum() * orders.dispatcherCount
                        >= HELD * runners.size();
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

    private void send(Duration now, Request a, Runner runner) {
        Attempt d = new Attempt(a, runner, now, 1, runner.inFlight.size());
        a.attempts.add(d);
        runner.inFlight.add(d);
        wishes.add(() -> door.dispatch(d, null));
    }

    private Runner choose(Duration now, Request a) {
        List<Runner> fit = new ArrayList<>();
        for (Runner r : runners) {
            if (mayGo(a, r) && !cold(now, r) && !a.wasSentTo(r)) {
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
        return choice == Choice.SEES_LATE ? Math.max(((Sight) door).held(r), r.inFlight.size()) : r.inFlight.size();
    }

    /** Sends to a cold runner are spread so thin that all dispatchers together stay far under its budget. */
    private boolean cold(Duration now, Runner r) {
        if (now.compareTo(coldUntil.getOrDefault(r, Duration.ZERO)) >= 0) {
            return false;
        }
        Duration gap = orders.coldLimitWindow.multipliedBy(orders.dispatcherCount);
        Duration last = lastCold.get(r);
        if (last != null && now.compareTo(last.plus(gap)) < 0) {
            return true;
        }
        lastCold.put(r, now);
        return false;
    }

    private boolean mayGo(Request a, Runner r) {
        Workload w = a.workload;
        if (slip != Slip.MISPLACES && !w.mayRunOn(r)) {
            return false;
        } else if (w.repeatSafety == Workload.RepeatSafety.PURE || !a.mayHaveRun()) {
            return true;
        } else if (w.repeatSafety == Workload.RepeatSafety.EFFECTFUL) {
            return slip == Slip.REPEATS_EFFECTFUL;
        }
        return slip == Slip.LEAVES_GROUP
                || slip == Slip.OUTLASTS_WINDOW
                || a.attempts.stream().allMatch(d -> w.sharesDedupScope(d.runner, r));
    }

    private boolean mayShed(Request a) {
        Workload w = a.workload;
        return slip == Slip.SHEDS_WHAT_RAN
                || w.repeatSafety == Workload.RepeatSafety.PURE
                || !a.mayHaveRun()
                || w.repeatSafety == Workload.RepeatSafety.RECEIPTED && w.dedupScope == Workload.DedupScope.ALL;
    }

    private void answer(Request a) {
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
    public void started(Duration now, Attempt d) {
        d.startedAt = now;
    }

    @Override
    public void progressed(Duration now, Attempt d) {
        d.lastProgressAt = now;
    }

    @Override
    public void ended(Duration now, Attempt d, Outcome outcome, boolean over, LoadReport report) {
        Request a = d.request;
        d.outcome = outcome;
        d.ambiguousRejection = outcome == Outcome.TURNED_AWAY && orders.lateRejections && slip != Slip.TRUSTS_FULL;
        d.runner.inFlight.remove(d);
        if (over) {
            a.closed = true;
        } else if (slip == Slip.ANSWERS_LATE && now.compareTo(a.deadline) >= 0) {
            return;
        } else if (!a.closed && a.pendingAttempt() == null) {
            boolean again = a.attempts.size() < orders.maxAttempts;
            boolean canFollow = again && runners.stream().anyMatch(r -> mayGo(a, r) && !a.wasSentTo(r));
            if (slip == Slip.HOLDS_BACK && !canFollow) {
                return; // until its patience is nearly over
            } else if (slip == Slip.OUTLASTS_WINDOW && a.mayHaveRun()) {
                wishes.add(() -> door.setTimer(a.workload.dedupWindow.plusMillis(100), d));
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
    public void close(Request a) {
        a.closed = true;
        callOff(a);
    }

    private void callOff(Request a) {
        for (Attempt d : a.attempts) {
            if (d.outcome == null) {
                wishes.add(() -> door.cancel(d));
            }
        }
    }

    @Override
    public void woken(Duration now, Object what) {
        if (what instanceof Request a && !a.closed) {
            if (slip == Slip.FORGETS && a.attempts.isEmpty()) {
                return;
            }
            callOff(a);
            answer(a);
        } else if (what instanceof Attempt d && slip == Slip.SENDS_AFTER_END) {
            if (d.outcome == null && !d.request.closed) {
                answer(d.request);
                wishes.add(() -> door.setTimer(Duration.ofMillis(20), d));
            } else if (d.outcome == null) {
                go(now, d.request);
            }
        } else if (what instanceof Attempt d && !d.request.closed) {
            go(now, d.request);
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
