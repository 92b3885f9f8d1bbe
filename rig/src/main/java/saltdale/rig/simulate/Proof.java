package saltdale.rig.simulate;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.rig.judge.Breach;
import saltdale.rig.load.Arrivals;
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Sheet;
import saltdale.rig.simulate.BaselineDispatcher.Choice;
import saltdale.rig.simulate.BaselineDispatcher.Slip;

/**
 * Proves the judge: small dispatchers, each wrong in one way, on a day that brings out all of them, and a
 * right one.
 */
public final class Proof {
    private static final String DAY = """
            name = "proof"
            seed = 5
            length = "20s"
            dispatchers = 3
            [fleet]
            runners = 8
            zones = ["a", "b"]
            cells = 4
            [[fleet.make]]
            cores = 2
            queue = 6
            cold_from = 0.2
            warm_within = "5s"
            [orders]
            most_dispatches = 3
            drain_grace = "300ms"
            full_proves_nothing = true
            [load]
            rate = 150
            [[workload]]
            name = "pure"
            zones = ["a"]
            patience = "1500ms"
            size = {kind = "exponential", mean = "30ms"}
            [[workload]]
            name = "receipted"
            repeat = "receipted"
            group = "cell"
            window = "400ms"
            patience = "1500ms"
            size = {kind = "exponential", mean = "30ms"}
            [[workload]]
            name = "effectful"
            repeat = "effectful"
            patience = "1500ms"
            size = {kind = "exponential", mean = "30ms"}
            [[trouble]]
            kind = "errors"
            at = "2s"
            length = "4s"
            runners = [0, 4]
            size = 0.8
            [[trouble]]
            kind = "stall"
            at = "5s"
            length = "4s"
            runners = [1]
            [[trouble]]
            kind = "drain"
            at = "7s"
            length = "3s"
            runners = [2]
            size = 1
            [[trouble]]
            kind = "crash"
            at = "9s"
            length = "2s"
            runners = [3]
            [[trouble]]
            kind = "drain"
            at = "10s"
            length = "1s"
            runners = [5]
            [[trouble]]
            kind = "late-shed"
            at = "14s"
            length = "4s"
            part = 1.0
            size = 0.2
            """;

    /** What each wrong one is to be caught at; one kind of breach may bring others along. */
    private static final Map<Slip, Breach.Kind> CAUGHT = new EnumMap<>(Map.ofEntries(
            Map.entry(Slip.FORGETS, Breach.Kind.LOST),
            Map.entry(Slip.ANSWERS_TWICE, Breach.Kind.ANSWERED_TWICE),
            Map.entry(Slip.ANSWERS_LATE, Breach.Kind.ANSWERED_LATE),
            Map.entry(Slip.SENDS_AFTER_END, Breach.Kind.SENT_AFTER_END),
            Map.entry(Slip.HOLDS_BACK, Breach.Kind.HELD_BACK),
            Map.entry(Slip.REPEATS_EFFECTFUL, Breach.Kind.REPEATED_EFFECTFUL),
            Map.entry(Slip.SHEDS_WHAT_RAN, Breach.Kind.SHED_AFTER_RUN),
            Map.entry(Slip.LEAVES_GROUP, Breach.Kind.OUTSIDE_GROUP),
            Map.entry(Slip.OUTLASTS_WINDOW, Breach.Kind.AFTER_WINDOW),
            Map.entry(Slip.COPIES, Breach.Kind.TWO_OUT),
            Map.entry(Slip.IGNORES_DRAIN, Breach.Kind.SENT_TO_DRAINING),
            Map.entry(Slip.IGNORES_GONE, Breach.Kind.SENT_TO_GONE),
            Map.entry(Slip.MISPLACES, Breach.Kind.MISPLACED),
            Map.entry(Slip.TRUSTS_FULL, Breach.Kind.REPEATED_EFFECTFUL),
            Map.entry(Slip.FLOODS_COLD, Breach.Kind.COLD_PUSHED_OVER)));

    /** What the judge said of one dispatcher: {@code expected} null for the right ones. */
    public record Case(String name, Breach.Kind expected, Map<Breach.Kind, Long> found, String first) {
        public boolean asExpected() {
            return expected == null ? found.isEmpty() : found.containsKey(expected);
        }
    }

    private Proof() {}

    public static List<Case> run() {
        List<Case> cases = new ArrayList<>();
        for (Slip slip : Slip.values()) {
            cases.add(play(
                    slip.name().toLowerCase().replace('_', ' '),
                    CAUGHT.get(slip),
                    (orders, door, chance) -> new BaselineDispatcher(orders, door, chance, Choice.LEAST_OUT, slip)));
        }
        cases.add(play("the decision module", null, ModuleDispatcher::new));
        return cases;
    }

    /** The wrong ones that a day brings out; all but the right one. */
    public static Set<Slip> slips() {
        return CAUGHT.keySet();
    }

    private static Case play(String name, Breach.Kind expected, Simulation.Minds minds) {
        Day day = new Day(Sheet.of("proof", DAY));
        Simulation sim = new Simulation(day, minds, new Arrivals(day.traffic, day.jobs, day.length, day.seed)).run();
        return new Case(
                name,
                expected,
                sim.judge().counts(),
                sim.judge().breaches().stream()
                        .filter(b -> expected == null || b.kind() == expected)
                        .findFirst()
                        .map(Breach::toString)
                        .orElse(""));
    }
}
