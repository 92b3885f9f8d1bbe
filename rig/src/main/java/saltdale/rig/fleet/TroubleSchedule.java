package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;

/**
 * The troubles of a day over time: what is to be done at which moment, and what disturbs a runner by then.
 */
public final class TroubleSchedule {
    /** One thing that happens to runners, dispatchers or links. */
    public enum Action {
        CHANGE_CONDITION,
        CRASH,
        VANISH,
        START,
        DRAIN,
        HAND_BACK,
        REMOVE,
        CUT_ZONE,
        RECONNECT_ZONE,
        CHANGE_WIRE,
        KILL_DISPATCHER,
        RESTART_DISPATCHER,
        SILENCE_LIST,
        RESUME_LIST,
        PAUSE_DISPATCHER,
        RESUME_DISPATCHER,
        SHUT_DOWN_DISPATCHER,
        CHANGE_LINK
    }

    /** It happens to each of the trouble's runners (or dispatchers) then. */
    public record ScheduledAction(Duration at, Action action, Trouble trouble) {}

    private final List<Trouble> troubles;

    public TroubleSchedule(List<Trouble> troubles) {
        this.troubles = troubles;
    }

    /** All that happens, in order. */
    public List<ScheduledAction> scheduledActions() {
        List<ScheduledAction> turns = new ArrayList<>();
        for (Trouble t : troubles) {
            switch (t.kind()) {
                case CRASH -> both(turns, t, Action.CRASH, Action.START);
                case VANISH -> both(turns, t, Action.VANISH, Action.START);
                case ZONE_CUT -> both(turns, t, Action.CUT_ZONE, Action.RECONNECT_ZONE);
                case DISPATCHER_KILL -> both(turns, t, Action.KILL_DISPATCHER, Action.RESTART_DISPATCHER);
                case LIST_SILENT -> both(turns, t, Action.SILENCE_LIST, Action.RESUME_LIST);
                case DRAIN, HAND_BACK -> {
                    both(turns, t, t.kind() == Kind.DRAIN ? Action.DRAIN : Action.HAND_BACK, Action.REMOVE);
                    if (t.size() > 0) {
                        turns.add(new ScheduledAction(t.end().plus(t.length()), Action.START, t));
                    }
                }
                case DISPATCHER_STOP -> both(turns, t, Action.PAUSE_DISPATCHER, Action.RESUME_DISPATCHER);
                case DISPATCHER_RESTART -> both(turns, t, Action.SHUT_DOWN_DISPATCHER, Action.RESTART_DISPATCHER);
                case DISPATCHER_SLOW ->
                    inTurns(t, (from, to) -> {
                        turns.add(new ScheduledAction(from, Action.PAUSE_DISPATCHER, t));
                        turns.add(new ScheduledAction(to, Action.RESUME_DISPATCHER, t));
                    });
                case WAY_FLAPS ->
                    inTurns(t, (from, to) -> {
                        turns.add(new ScheduledAction(from, Action.CHANGE_LINK, t));
                        turns.add(new ScheduledAction(to, Action.CHANGE_LINK, t));
                    });
                case WAY_RESET, WAY_SILENT, WAY_ONE_SIDED, WAY_LATE, WAY_SLOW ->
                    both(turns, t, Action.CHANGE_LINK, Action.CHANGE_LINK);
                case NEIGHBOUR -> {
                    both(turns, t, Action.CHANGE_CONDITION, Action.CHANGE_CONDITION);
                    Duration half = Duration.ofNanos((long) (t.extra() * 1e9));
                    for (Duration at = t.at(); !half.isZero() && at.compareTo(t.end()) < 0; at = at.plus(half)) {
                        turns.add(new ScheduledAction(at, Action.CHANGE_CONDITION, t));
                    }
                }
                default ->
                    both(
                            turns,
                            t,
                            t.onWire() ? Action.CHANGE_WIRE : Action.CHANGE_CONDITION,
                            t.onWire() ? Action.CHANGE_WIRE : Action.CHANGE_CONDITION);
            }
        }
        turns.sort(Comparator.comparing(ScheduledAction::at));
        return turns;
    }

    private static void both(List<ScheduledAction> turns, Trouble t, Action first, Action last) {
        turns.add(new ScheduledAction(t.at(), first, t));
        turns.add(new ScheduledAction(t.end(), last, t));
    }

    private static void inTurns(Trouble t, BiConsumer<Duration, Duration> each) {
        Duration turn = Duration.ofNanos((long) (t.extra() * 1e9));
        Duration bad = Duration.ofNanos((long) (t.extra() * 1e9 * t.size()));
        for (Duration at = t.at(); at.compareTo(t.end()) < 0; at = at.plus(turn)) {
            each.accept(at, at.plus(bad));
        }
    }

    /** How the way between these two is at this time. */
    public LinkCondition linkCondition(int runner, int dispatcher, Duration at) {
        return passage(at, t -> t.befalls(runner, dispatcher));
    }

    /** How the way from this dispatcher to the list is at this time. */
    public LinkCondition listLinkCondition(int dispatcher, Duration at) {
        return passage(at, t -> t.list() && t.dispatchers().contains(dispatcher));
    }

    private LinkCondition passage(Duration at, Predicate<Trouble> which) {
        LinkCondition all = LinkCondition.CLEAR;
        for (Trouble t : troubles) {
            if (t.onWay() && at.compareTo(t.at()) >= 0 && at.compareTo(t.end()) < 0 && which.test(t)) {
                all = all.combinedWith(passage(t, at));
            }
        }
        return all;
    }

    private static LinkCondition passage(Trouble t, Duration at) {
        return switch (t.kind()) {
            case WAY_RESET -> new LinkCondition(true, true, true, 0, 0, 0);
            case WAY_SILENT -> new LinkCondition(false, true, true, 0, 0, 0);
            case WAY_ONE_SIDED -> new LinkCondition(false, t.size() < 0.5, t.size() >= 0.5, 0, 0, 0);
            case WAY_LATE -> new LinkCondition(false, false, false, t.size() / 1e3, t.extra(), 0);
            case WAY_SLOW -> new LinkCondition(false, false, false, 0, 0, t.size());
            case WAY_FLAPS -> {
                double into = at.minus(t.at()).toNanos() / 1e9 % t.extra();
                boolean cut = into < t.size() * t.extra() - 1e-6; // by the hour that a turn was set for
                yield new LinkCondition(false, cut, cut, 0, 0, 0);
            }
            default -> LinkCondition.CLEAR;
        };
    }

    /** What disturbs this runner at this time. */
    public RunnerCondition runnerCondition(int runner, Duration at) {
        RunnerCondition all = RunnerCondition.NORMAL;
        for (Trouble t : troubles) {
            if (on(t, runner, at)) {
                all = all.combinedWith(alone(t, at));
            }
        }
        return all;
    }

    /** The troubles on the wire to this runner at this time. */
    public List<Trouble> wireTroubles(int runner, Duration at) {
        return troubles.stream().filter(t -> t.onWire() && on(t, runner, at)).toList();
    }

    private static boolean on(Trouble t, int runner, Duration at) {
        return t.runners().contains(runner) && at.compareTo(t.at()) >= 0 && at.compareTo(t.end()) < 0;
    }

    private static RunnerCondition alone(Trouble t, Duration at) {
        RunnerCondition good = RunnerCondition.NORMAL;
        double size = t.size();
        return switch (t.kind()) {
            case SLOW -> new RunnerCondition(size, false, 0, 0, 0, 1, 0, 0, 1);
            case STALL -> new RunnerCondition(1, true, 0, 0, 0, 1, 0, 0, 1);
            case ERRORS -> new RunnerCondition(1, false, size, 0, 0, 1, 0, 0, 1);
            case LATE_SHED -> new RunnerCondition(1, false, 0, size, 0, 1, 0, 0, 1);
            case DEARER -> new RunnerCondition(1, false, 0, 0, t.extra(), size, 0, 0, 1);
            case LATE_REPORTS -> new RunnerCondition(1, false, 0, 0, 0, 1, 0, size, 1);
            case WRONG_REPORTS -> new RunnerCondition(1, false, 0, 0, 0, 1, 0, 0, size);
            case NEIGHBOUR -> {
                boolean taken = t.extra() == 0 || (long) (at.minus(t.at()).toNanos() / (t.extra() * 1e9)) % 2 == 0;
                yield taken ? new RunnerCondition(1, false, 0, 0, 0, 1, Math.min(0.99, size), 0, 1) : good;
            }
            default -> good;
        };
    }
}
