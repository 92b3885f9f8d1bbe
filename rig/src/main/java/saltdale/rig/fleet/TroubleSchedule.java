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
    public enum Act {
        CONDITION,
        CRASH,
        VANISH,
        START,
        DRAIN,
        HAND_BACK,
        REMOVE,
        CUT,
        HEAL,
        WIRE,
        KILL,
        REVIVE,
        MUTE,
        UNMUTE,
        STOP,
        GO_ON,
        END,
        WAY
    }

    /** It happens to each of the trouble's runners (or dispatchers) then. */
    public record Turn(Duration at, Act act, Trouble trouble) {}

    private final List<Trouble> troubles;

    public TroubleSchedule(List<Trouble> troubles) {
        this.troubles = troubles;
    }

    /** All that happens, in order. */
    public List<Turn> turns() {
        List<Turn> turns = new ArrayList<>();
        for (Trouble t : troubles) {
            switch (t.kind()) {
                case CRASH -> both(turns, t, Act.CRASH, Act.START);
                case VANISH -> both(turns, t, Act.VANISH, Act.START);
                case ZONE_CUT -> both(turns, t, Act.CUT, Act.HEAL);
                case DISPATCHER_KILL -> both(turns, t, Act.KILL, Act.REVIVE);
                case LIST_SILENT -> both(turns, t, Act.MUTE, Act.UNMUTE);
                case DRAIN, HAND_BACK -> {
                    both(turns, t, t.kind() == Kind.DRAIN ? Act.DRAIN : Act.HAND_BACK, Act.REMOVE);
                    if (t.size() > 0) {
                        turns.add(new Turn(t.end().plus(t.length()), Act.START, t));
                    }
                }
                case DISPATCHER_STOP -> both(turns, t, Act.STOP, Act.GO_ON);
                case DISPATCHER_RESTART -> both(turns, t, Act.END, Act.REVIVE);
                case DISPATCHER_SLOW ->
                    inTurns(t, (from, to) -> {
                        turns.add(new Turn(from, Act.STOP, t));
                        turns.add(new Turn(to, Act.GO_ON, t));
                    });
                case WAY_FLAPS ->
                    inTurns(t, (from, to) -> {
                        turns.add(new Turn(from, Act.WAY, t));
                        turns.add(new Turn(to, Act.WAY, t));
                    });
                case WAY_RESET, WAY_SILENT, WAY_ONE_SIDED, WAY_LATE, WAY_SLOW -> both(turns, t, Act.WAY, Act.WAY);
                case NEIGHBOUR -> {
                    both(turns, t, Act.CONDITION, Act.CONDITION);
                    Duration half = Duration.ofNanos((long) (t.extra() * 1e9));
                    for (Duration at = t.at(); !half.isZero() && at.compareTo(t.end()) < 0; at = at.plus(half)) {
                        turns.add(new Turn(at, Act.CONDITION, t));
                    }
                }
                default -> both(turns, t, t.onWire() ? Act.WIRE : Act.CONDITION, t.onWire() ? Act.WIRE : Act.CONDITION);
            }
        }
        turns.sort(Comparator.comparing(Turn::at));
        return turns;
    }

    private static void both(List<Turn> turns, Trouble t, Act first, Act last) {
        turns.add(new Turn(t.at(), first, t));
        turns.add(new Turn(t.end(), last, t));
    }

    private static void inTurns(Trouble t, BiConsumer<Duration, Duration> each) {
        Duration turn = Duration.ofNanos((long) (t.extra() * 1e9));
        Duration bad = Duration.ofNanos((long) (t.extra() * 1e9 * t.size()));
        for (Duration at = t.at(); at.compareTo(t.end()) < 0; at = at.plus(turn)) {
            each.accept(at, at.plus(bad));
        }
    }

    /** How the way between these two is at this time. */
    public Passage way(int runner, int dispatcher, Duration at) {
        return passage(at, t -> t.befalls(runner, dispatcher));
    }

    /** How the way from this dispatcher to the list is at this time. */
    public Passage listWay(int dispatcher, Duration at) {
        return passage(at, t -> t.list() && t.dispatchers().contains(dispatcher));
    }

    private Passage passage(Duration at, Predicate<Trouble> which) {
        Passage all = Passage.FREE;
        for (Trouble t : troubles) {
            if (t.onWay() && at.compareTo(t.at()) >= 0 && at.compareTo(t.end()) < 0 && which.test(t)) {
                all = all.and(passage(t, at));
            }
        }
        return all;
    }

    private static Passage passage(Trouble t, Duration at) {
        return switch (t.kind()) {
            case WAY_RESET -> new Passage(true, true, true, 0, 0, 0);
            case WAY_SILENT -> new Passage(false, true, true, 0, 0, 0);
            case WAY_ONE_SIDED -> new Passage(false, t.size() < 0.5, t.size() >= 0.5, 0, 0, 0);
            case WAY_LATE -> new Passage(false, false, false, t.size() / 1e3, t.extra(), 0);
            case WAY_SLOW -> new Passage(false, false, false, 0, 0, t.size());
            case WAY_FLAPS -> {
                double into = at.minus(t.at()).toNanos() / 1e9 % t.extra();
                boolean cut = into < t.size() * t.extra() - 1e-6; // by the hour that a turn was set for
                yield new Passage(false, cut, cut, 0, 0, 0);
            }
            default -> Passage.FREE;
        };
    }

    /** What disturbs this runner at this time. */
    public Condition condition(int runner, Duration at) {
        Condition all = Condition.GOOD;
        for (Trouble t : troubles) {
            if (on(t, runner, at)) {
                all = all.and(alone(t, at));
            }
        }
        return all;
    }

    /** The troubles on the wire to this runner at this time. */
    public List<Trouble> wire(int runner, Duration at) {
        return troubles.stream().filter(t -> t.onWire() && on(t, runner, at)).toList();
    }

    private static boolean on(Trouble t, int runner, Duration at) {
        return t.runners().contains(runner) && at.compareTo(t.at()) >= 0 && at.compareTo(t.end()) < 0;
    }

    private static Condition alone(Trouble t, Duration at) {
        Condition good = Condition.GOOD;
        double size = t.size();
        return switch (t.kind()) {
            case SLOW -> new Condition(size, false, 0, 0, 0, 1, 0, 0, 1);
            case STALL -> new Condition(1, true, 0, 0, 0, 1, 0, 0, 1);
            case ERRORS -> new Condition(1, false, size, 0, 0, 1, 0, 0, 1);
            case LATE_SHED -> new Condition(1, false, 0, size, 0, 1, 0, 0, 1);
            case DEARER -> new Condition(1, false, 0, 0, t.extra(), size, 0, 0, 1);
            case LATE_REPORTS -> new Condition(1, false, 0, 0, 0, 1, 0, size, 1);
            case WRONG_REPORTS -> new Condition(1, false, 0, 0, 0, 1, 0, 0, size);
            case NEIGHBOUR -> {
                boolean taken = t.extra() == 0 || (long) (at.minus(t.at()).toNanos() / (t.extra() * 1e9)) % 2 == 0;
                yield taken ? new Condition(1, false, 0, 0, 0, 1, Math.min(0.99, size), 0, 1) : good;
            }
            default -> good;
        };
    }
}
