package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import saltdale.rig.plan.Trouble;
import saltdale.rig.plan.Trouble.Kind;

/** The troubles of a day over time: the actions to take at each time, and the disturbances in effect at a time. */
public final class TroubleSchedule {
    /**
     * An action on runners, dispatchers, links or the list. The actions named CHANGE apply the conditions in effect at
     * their time.
     */
    public enum Action {
        CHANGE_CONDITION,
        /** The process of the runner ends. */
        CRASH,
        /** The runner ends and does not respond any more. */
        VANISH,
        /** The runner starts again. */
        START,
        /** The runner accepts no new jobs. */
        DRAIN,
        /** The runner drains and returns its waiting jobs. */
        HAND_BACK,
        /** The drained runner ends and leaves the list. */
        REMOVE,
        /** A zone is disconnected from the others. */
        CUT_ZONE,
        RECONNECT_ZONE,
        /** The troubles that alter bytes on connections change. */
        CHANGE_WIRE,
        KILL_DISPATCHER,
        RESTART_DISPATCHER,
        /** The runner list stops sending. */
        SILENCE_LIST,
        RESUME_LIST,
        PAUSE_DISPATCHER,
        RESUME_DISPATCHER,
        /** The dispatcher is asked to shut down gracefully. */
        SHUT_DOWN_DISPATCHER,
        CHANGE_LINK
    }

    /** An action to take at a time on each of the trouble's runners or dispatchers. */
    public record ScheduledAction(Duration at, Action action, Trouble trouble) {}

    private final List<Trouble> troubles;

    public TroubleSchedule(List<Trouble> troubles) {
        this.troubles = troubles;
    }

    /** All actions in time order. */
    public List<ScheduledAction> scheduledActions() {
        List<ScheduledAction> actions = new ArrayList<>();
        for (Trouble trouble : troubles) {
            switch (trouble.kind()) {
                case CRASH -> addStartAndEnd(actions, trouble, Action.CRASH, Action.START);
                case VANISH -> addStartAndEnd(actions, trouble, Action.VANISH, Action.START);
                case ZONE_CUT -> addStartAndEnd(actions, trouble, Action.CUT_ZONE, Action.RECONNECT_ZONE);
                case DISPATCHER_KILL ->
                    addStartAndEnd(actions, trouble, Action.KILL_DISPATCHER, Action.RESTART_DISPATCHER);
                case LIST_SILENT -> addStartAndEnd(actions, trouble, Action.SILENCE_LIST, Action.RESUME_LIST);
                case DRAIN, HAND_BACK -> {
                    addStartAndEnd(
                            actions,
                            trouble,
                            trouble.kind() == Kind.DRAIN ? Action.DRAIN : Action.HAND_BACK,
                            Action.REMOVE);
                    if (trouble.size() > 0) {
                        actions.add(new ScheduledAction(trouble.end().plus(trouble.length()), Action.START, trouble));
                    }
                }
                case DISPATCHER_STOP ->
                    addStartAndEnd(actions, trouble, Action.PAUSE_DISPATCHER, Action.RESUME_DISPATCHER);
                case DISPATCHER_RESTART ->
                    addStartAndEnd(actions, trouble, Action.SHUT_DOWN_DISPATCHER, Action.RESTART_DISPATCHER);
                case DISPATCHER_SLOW ->
                    forEachCycle(trouble, (from, to) -> {
                        actions.add(new ScheduledAction(from, Action.PAUSE_DISPATCHER, trouble));
                        actions.add(new ScheduledAction(to, Action.RESUME_DISPATCHER, trouble));
                    });
                case WAY_FLAPS ->
                    forEachCycle(trouble, (from, to) -> {
                        actions.add(new ScheduledAction(from, Action.CHANGE_LINK, trouble));
                        actions.add(new ScheduledAction(to, Action.CHANGE_LINK, trouble));
                    });
                case WAY_RESET, WAY_SILENT, WAY_ONE_SIDED, WAY_LATE, WAY_SLOW ->
                    addStartAndEnd(actions, trouble, Action.CHANGE_LINK, Action.CHANGE_LINK);
                case NEIGHBOUR -> {
                    addStartAndEnd(actions, trouble, Action.CHANGE_CONDITION, Action.CHANGE_CONDITION);
                    Duration halfCycle = Duration.ofNanos((long) (trouble.extra() * 1e9));
                    for (Duration at = trouble.at();
                            !halfCycle.isZero() && at.compareTo(trouble.end()) < 0;
                            at = at.plus(halfCycle)) {
                        actions.add(new ScheduledAction(at, Action.CHANGE_CONDITION, trouble));
                    }
                }
                default ->
                    addStartAndEnd(
                            actions,
                            trouble,
                            trouble.isWireFault() ? Action.CHANGE_WIRE : Action.CHANGE_CONDITION,
                            trouble.isWireFault() ? Action.CHANGE_WIRE : Action.CHANGE_CONDITION);
            }
        }
        actions.sort(Comparator.comparing(ScheduledAction::at));
        return actions;
    }

    private static void addStartAndEnd(List<ScheduledAction> actions, Trouble trouble, Action first, Action last) {
        actions.add(new ScheduledAction(trouble.at(), first, trouble));
        actions.add(new ScheduledAction(trouble.end(), last, trouble));
    }

    private static void forEachCycle(Trouble trouble, BiConsumer<Duration, Duration> action) {
        Duration cycle = Duration.ofNanos((long) (trouble.extra() * 1e9));
        Duration disturbed = Duration.ofNanos((long) (trouble.extra() * 1e9 * trouble.size()));
        for (Duration at = trouble.at(); at.compareTo(trouble.end()) < 0; at = at.plus(cycle)) {
            action.accept(at, at.plus(disturbed));
        }
    }

    /** The condition of the link between these two at this time. */
    public LinkCondition linkCondition(int runner, int dispatcher, Duration at) {
        return linkConditionOf(at, trouble -> trouble.affectsPath(runner, dispatcher));
    }

    /** The condition of the link from this dispatcher to the runner list at this time. */
    public LinkCondition listLinkCondition(int dispatcher, Duration at) {
        return linkConditionOf(
                at, trouble -> trouble.runnerList() && trouble.dispatchers().contains(dispatcher));
    }

    private LinkCondition linkConditionOf(Duration at, Predicate<Trouble> filter) {
        LinkCondition combined = LinkCondition.CLEAR;
        for (Trouble trouble : troubles) {
            if (trouble.isPathFault()
                    && at.compareTo(trouble.at()) >= 0
                    && at.compareTo(trouble.end()) < 0
                    && filter.test(trouble)) {
                combined = combined.combinedWith(linkConditionOf(trouble, at));
            }
        }
        return combined;
    }

    private static LinkCondition linkConditionOf(Trouble trouble, Duration at) {
        return switch (trouble.kind()) {
            case WAY_RESET -> new LinkCondition(true, true, true, 0, 0, 0);
            case WAY_SILENT -> new LinkCondition(false, true, true, 0, 0, 0);
            case WAY_ONE_SIDED -> new LinkCondition(false, trouble.size() < 0.5, trouble.size() >= 0.5, 0, 0, 0);
            case WAY_LATE -> new LinkCondition(false, false, false, trouble.size() / 1e3, trouble.extra(), 0);
            case WAY_SLOW -> new LinkCondition(false, false, false, 0, 0, trouble.size());
            case WAY_FLAPS -> {
                double cyclePosition = at.minus(trouble.at()).toNanos() / 1e9 % trouble.extra();
                boolean cut = cyclePosition
                        < trouble.size() * trouble.extra() - 1e-6; // 1e-6 s: tolerance at the scheduled end of a cut
                yield new LinkCondition(false, cut, cut, 0, 0, 0);
            }
            default -> LinkCondition.CLEAR;
        };
    }

    /** The condition of this runner at this time. */
    public RunnerCondition runnerCondition(int runner, Duration at) {
        RunnerCondition combined = RunnerCondition.NORMAL;
        for (Trouble trouble : troubles) {
            if (isActive(trouble, runner, at)) {
                combined = combined.combinedWith(conditionOf(trouble, at));
            }
        }
        return combined;
    }

    /** The troubles that alter bytes on the connections of this runner at this time. */
    public List<Trouble> wireTroubles(int runner, Duration at) {
        return troubles.stream()
                .filter(trouble -> trouble.isWireFault() && isActive(trouble, runner, at))
                .toList();
    }

    private static boolean isActive(Trouble trouble, int runner, Duration now) {
        return trouble.runners().contains(runner)
                && now.compareTo(trouble.at()) >= 0
                && now.compareTo(trouble.end()) < 0;
    }

    private static RunnerCondition conditionOf(Trouble trouble, Duration at) {
        RunnerCondition normal = RunnerCondition.NORMAL;
        double size = trouble.size();
        return switch (trouble.kind()) {
            case SLOW -> new RunnerCondition(size, false, 0, 0, 0, 1, 0, 0, 1);
            case STALL -> new RunnerCondition(1, true, 0, 0, 0, 1, 0, 0, 1);
            case ERRORS -> new RunnerCondition(1, false, size, 0, 0, 1, 0, 0, 1);
            case LATE_SHED -> new RunnerCondition(1, false, 0, size, 0, 1, 0, 0, 1);
            case DEARER -> new RunnerCondition(1, false, 0, 0, trouble.extra(), size, 0, 0, 1);
            case LATE_REPORTS -> new RunnerCondition(1, false, 0, 0, 0, 1, 0, size, 1);
            case WRONG_REPORTS -> new RunnerCondition(1, false, 0, 0, 0, 1, 0, 0, size);
            case NEIGHBOUR -> {
                boolean taken = trouble.extra() == 0
                        || (long) (at.minus(trouble.at()).toNanos() / (trouble.extra() * 1e9)) % 2 == 0;
                yield taken ? new RunnerCondition(1, false, 0, 0, 0, 1, Math.min(0.99, size), 0, 1) : normal;
            }
            default -> normal;
        };
    }
}
