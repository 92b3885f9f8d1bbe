package saltdale.rig.simulate;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saltdale.rig.judge.Violation;
import saltdale.rig.load.Arrivals;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.simulate.BaselineDispatcher.Defect;
import saltdale.rig.simulate.BaselineDispatcher.SelectionPolicy;

/**
 * Verifies the judge: dispatchers with one defect each, on a day that triggers all defects, and two correct
 * dispatchers.
 */
public final class JudgeProof {
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

    /** The violation to be detected for each defect; it may cause others as well. */
    private static final Map<Defect, Violation.Kind> EXPECTED_VIOLATIONS = new EnumMap<>(Map.ofEntries(
            Map.entry(Defect.FORGETS, Violation.Kind.LOST),
            Map.entry(Defect.ANSWERS_TWICE, Violation.Kind.ANSWERED_TWICE),
            Map.entry(Defect.ANSWERS_LATE, Violation.Kind.ANSWERED_LATE),
            Map.entry(Defect.SENDS_AFTER_END, Violation.Kind.SENT_AFTER_END),
            Map.entry(Defect.HOLDS_BACK, Violation.Kind.HELD_BACK),
            Map.entry(Defect.REPEATS_EFFECTFUL, Violation.Kind.REPEATED_EFFECTFUL),
            Map.entry(Defect.SHEDS_WHAT_RAN, Violation.Kind.SHED_AFTER_RUN),
            Map.entry(Defect.LEAVES_GROUP, Violation.Kind.OUTSIDE_GROUP),
            Map.entry(Defect.OUTLASTS_WINDOW, Violation.Kind.AFTER_WINDOW),
            Map.entry(Defect.COPIES, Violation.Kind.TWO_OUT),
            Map.entry(Defect.IGNORES_DRAIN, Violation.Kind.SENT_TO_DRAINING),
            Map.entry(Defect.IGNORES_GONE, Violation.Kind.SENT_TO_GONE),
            Map.entry(Defect.MISPLACES, Violation.Kind.MISPLACED),
            Map.entry(Defect.TRUSTS_FULL, Violation.Kind.REPEATED_EFFECTFUL),
            Map.entry(Defect.FLOODS_COLD, Violation.Kind.COLD_PUSHED_OVER)));

    /** The judge's result for one dispatcher; {@code expected} is null for the correct ones. */
    public record Case(
            String name, Violation.Kind expected, Map<Violation.Kind, Long> violationCounts, String firstViolation) {
        /** True if the expected violation, and for a correct dispatcher none, was detected. */
        public boolean asExpected() {
            return expected == null ? violationCounts.isEmpty() : violationCounts.containsKey(expected);
        }
    }

    private JudgeProof() {}

    /** Simulates the day with each dispatcher. */
    public static List<Case> run() {
        List<Case> cases = new ArrayList<>();
        for (Defect defect : Defect.values()) {
            cases.add(runDay(
                    defect.name().toLowerCase().replace('_', ' '),
                    EXPECTED_VIOLATIONS.get(defect),
                    (settings, actions, random) ->
                            new BaselineDispatcher(settings, actions, random, SelectionPolicy.LEAST_OUT, defect)));
        }
        cases.add(runDay("the decision module", null, ModuleDispatcher::new));
        return cases;
    }

    /** The defects that the day triggers: all but {@link Defect#NONE}. */
    public static Set<Defect> defects() {
        return EXPECTED_VIOLATIONS.keySet();
    }

    private static Case runDay(String name, Violation.Kind expected, Simulation.DispatcherFactory factory) {
        Scenario day = new Scenario(TomlTable.of("proof", DAY));
        Simulation sim =
                new Simulation(day, factory, new Arrivals(day.traffic, day.workloads, day.length, day.seed)).run();
        return new Case(
                name,
                expected,
                sim.judge().countsByKind(),
                sim.judge().violations().stream()
                        .filter(violation -> expected == null || violation.kind() == expected)
                        .findFirst()
                        .map(Violation::toString)
                        .orElse(""));
    }
}
