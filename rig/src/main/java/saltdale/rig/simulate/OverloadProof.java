package saltdale.rig.simulate;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import saltdale.model.Attempt;
import saltdale.model.DispatcherActions;
import saltdale.model.DispatcherSettings;
import saltdale.model.OverloadSettings;
import saltdale.model.Request;
import saltdale.model.Runner;
import saltdale.model.Workload;
import saltdale.rig.judge.Breach;
import saltdale.rig.load.Arrivals;
import saltdale.rig.load.Overloads;
import saltdale.rig.load.Tally;
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Sheet;

/**
 * Proves that the laws of an overload can be seen from outside: dispatchers that are wrong in one way each break
 * the law
 * of that way, the right one keeps all.
 */
public final class OverloadProof {
    private static final String DAY = """
            name = "overload proof"
            seed = 5
            length = "30s"
            warm_up = "10s"
            dispatchers = 2
            [overload]
            [fleet]
            runners = 8
            [[fleet.make]]
            cores = 2
            queue = 24
            [orders]
            most_dispatches = 8
            [load]
            utilisation = 2.0
            retries = 2
            [[workload]]
            name = "short"
            share = 3
            promised = "600ms"
            patience = "4s"
            size = {kind = "exponential", mean = "200ms"}
            [[workload]]
            name = "long"
            promised = "2s"
            patience = "10s"
            importance = 4
            repeat = "receipted"
            group = "zone"
            size = {kind = "exponential", mean = "1200ms"}
            [[trouble]]
            kind = "errors"
            at = "15s"
            length = "10s"
            size = 0.9
            part = 0.5
            """;
    private static final long MOST_CHANGES = 10; // within a second: the usual step is 100 ms

    /** What must hold of each dispatcher, or of all together. */
    public enum Law {
        /** The dear work is served before the cheap. */
        DEAREST_FIRST,
        /** The level changes no oftener than is stated. */
        FEW_CHANGES,
        /** Pauses are spread, so that those who heed them do not come back as one. */
        SPREAD_PAUSES,
        /** Of all dispatches at most a tenth more than first ones, while most fail. */
        BOUNDED_REPEATS,
        /** No rule broken: nothing is shed that may have run. */
        RULES,
        /** Most of what is fulfilled is in time: what can't be does not go first. */
        NOT_THE_HOPELESS
    }

    /** The ways of being wrong. */
    private enum Slip {
        NONE(null),
        SHEDS_THE_DEAREST_FIRST(Law.DEAREST_FIRST),
        NO_HYSTERESIS(Law.FEW_CHANGES),
        PAUSE_WITHOUT_SPREAD(Law.SPREAD_PAUSES),
        REPEATS_UNBOUNDED(Law.BOUNDED_REPEATS),
        SHEDS_WHAT_MAY_HAVE_RUN(Law.RULES),
        SERVES_THE_HOPELESS_FIRST(Law.NOT_THE_HOPELESS);

        final Law broken;

        Slip(Law broken) {
            this.broken = broken;
        }
    }

    /** What was seen of one dispatcher: {@code expected} null for the right one. */
    public record Case(String name, Law expected, Map<Law, String> broken) {
        public boolean asExpected() {
            return expected == null ? broken.isEmpty() : broken.containsKey(expected);
        }
    }

    private OverloadProof() {}

    public static List<Case> run() {
        List<Case> cases = new ArrayList<>();
        for (Slip slip : Slip.values()) {
            cases.add(new Case(slip.name().toLowerCase().replace('_', ' '), slip.broken, play(slip)));
        }
        return cases;
    }

    private static Map<Law, String> play(Slip slip) {
        Day day = new Day(Sheet.of("overload proof", DAY));
        Seen seen = new Seen();
        Simulation sim = new Simulation(
                        day,
                        (orders, door, chance) -> mind(slip, orders, door, chance, seen),
                        new Arrivals(day.traffic, day.jobs, day.length, day.seed))
                .run();
        Map<Law, String> broken = new TreeMap<>();
        List<Tally.Row> rows = new ArrayList<>(sim.tally().rows().values());
        check(
                broken,
                Law.DEAREST_FIRST,
                rows.get(0).service() > 1.5 * rows.get(1).service(),
                "in time: short %.2f, long %.2f",
                rows.get(0).service(),
                rows.get(1).service());
        check(
                broken,
                Law.FEW_CHANGES,
                seen.mostChanges <= MOST_CHANGES,
                "%d changes within a second, %d allowed",
                seen.mostChanges,
                MOST_CHANGES);
        check(
                broken,
                Law.SPREAD_PAUSES,
                seen.deviation() > 0.3 * seen.mean(),
                "pauses of %.3f s deviate by %.3f s",
                seen.mean(),
                seen.deviation());
        check(
                broken,
                Law.BOUNDED_REPEATS,
                seen.dispatches <= 1.1 * seen.first,
                "%.0f dispatches of %.0f assignments",
                seen.dispatches,
                seen.first);
        check(
                broken,
                Law.RULES,
                sim.judge().broken() == 0,
                "%s",
                sim.judge().breaches().stream()
                        .findFirst()
                        .map(Breach::toString)
                        .orElse(""));
        Map<String, Double> figures = sim.tally().figures();
        double inTime = rows.stream().mapToDouble(row -> row.inTime).sum() / figures.get("fulfilled");
        check(
                broken,
                Law.NOT_THE_HOPELESS,
                inTime > 0.7,
                "%.2f of what is fulfilled is in time, %.2f of what could " + "be had",
                inTime,
                Overloads.figures(day, sim.tally(), sim.spread()).get("of_could_be_had"));
        return broken;
    }

    private static void check(Map<Law, String> broken, Law law, boolean kept, String words, Object... figures) {
        if (!kept) {
            broken.put(law, String.format(java.util.Locale.ROOT, words, figures));
        }
    }

    private static SimulatedDispatcher mind(
            Slip slip, DispatcherSettings orders, DispatcherActions door, SplittableRandom chance, Seen seen) {
        DispatcherSettings told = orders;
        switch (slip) {
            case SHEDS_THE_DEAREST_FIRST -> told.workloads.get(0).importance = 0.01;
            case NO_HYSTERESIS -> told.overload = new OverloadSettings(0.3, 0.5, 0.5, 0, Duration.ofNanos(1), 8);
            case SERVES_THE_HOPELESS_FIRST ->
                told.overload = new OverloadSettings(8, 9, 9, 0.05, Duration.ofMillis(100), 8);
            default -> {}
        }
        seen.slip = slip;
        DispatcherActions watched = new Watched(door, seen);
        if (slip == Slip.REPEATS_UNBOUNDED) {
            return new BaselineDispatcher(
                    told, watched, chance, BaselineDispatcher.Choice.LEAST_OUT, BaselineDispatcher.Slip.NONE);
        } else if (slip == Slip.SHEDS_WHAT_MAY_HAVE_RUN) {
            return new BaselineDispatcher(
                    told, watched, chance, BaselineDispatcher.Choice.LEAST_OUT, BaselineDispatcher.Slip.SHEDS_WHAT_RAN);
        }
        return new Counted(told, watched, chance, seen);
    }

    /** The module; how often its level changes is counted, second by second. */
    private static final class Counted extends ModuleDispatcher {
        private final Seen seen;
        private long second;
        private long before;

        Counted(DispatcherSettings orders, DispatcherActions door, SplittableRandom chance, Seen seen) {
            super(orders, door, chance);
            this.seen = seen;
        }

        @Override
        public void settle(Duration now) {
            super.settle(now);
            long changes = module().admissionControl().changeCount();
            if (now.toSeconds() > second) {
                second = now.toSeconds();
                before = changes;
            }
            seen.mostChanges = Math.max(seen.mostChanges, changes - before);
        }
    }

    /** What went through the doors. */
    private static final class Seen {
        private Slip slip;
        private long mostChanges;
        private double first;
        private double dispatches;
        private double pauses;
        private double sum;
        private double squares;

        double mean() {
            return sum / pauses;
        }

        double deviation() {
            return Math.sqrt(Math.max(0, squares / pauses - mean() * mean()));
        }
    }

    /** A door that counts what goes through, and spoils it where the slip says so. */
    private record Watched(DispatcherActions door, Seen seen) implements DispatcherActions {
        @Override
        public void dispatch(Attempt dispatch, Duration timeOut) {
            seen.dispatches++;
            seen.first += dispatch.request.attempts.indexOf(dispatch) == 0 ? 1 : 0;
            door.dispatch(dispatch, timeOut);
        }

        @Override
        public void shed(Request assignment, Duration pause) {
            Duration told = seen.slip == Slip.PAUSE_WITHOUT_SPREAD ? Duration.ofSeconds(1) : pause;
            if (told != null && assignment.workload.repeatSafety == Workload.RepeatSafety.PURE) {
                double seconds = told.toNanos() / 1e9;
                seen.pauses++;
                seen.sum += seconds;
                seen.squares += seconds * seconds;
            }
            door.shed(assignment, told);
        }

        @Override
        public void cancel(Attempt dispatch) {
            door.cancel(dispatch);
        }

        @Override
        public void giveUp(Request assignment) {
            door.giveUp(assignment);
        }

        @Override
        public void probe(Runner runner) {
            door.probe(runner);
        }

        @Override
        public void setTimer(Duration after, Object what) {
            door.setTimer(after, what);
        }

        @Override
        public void subscribe(boolean on) {
            door.subscribe(on);
        }

        @Override
        public void requestRunnerList() {
            door.requestRunnerList();
        }

        @Override
        public void closeIdleConnections(Runner runner) {
            door.closeIdleConnections(runner);
        }

        @Override
        public void sendToPeer(int dispatcher, String message) {
            door.sendToPeer(dispatcher, message);
        }

        @Override
        public void log(String line) {
            door.log(line);
        }
    }
}
