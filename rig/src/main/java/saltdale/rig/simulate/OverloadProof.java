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
import saltdale.rig.judge.Violation;
import saltdale.rig.load.Arrivals;
import saltdale.rig.load.OverloadFigures;
import saltdale.rig.load.RequestStatistics;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;

/**
 * Verifies that the required properties under overload are observable from outside: each defective dispatcher violates
 * the property of its defect, and the correct one violates none.
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
    private static final long MAX_LEVEL_CHANGES_PER_SECOND = 10; // the usual interval is 100 ms

    /** A property required of each dispatcher, or of all together. */
    public enum Property {
        /** More valuable work is served before less valuable work. */
        DEAREST_FIRST,
        /** The admission level changes no more often than specified. */
        FEW_CHANGES,
        /** Retry-After delays are spread, so that the clients that follow them don't return at the same time. */
        SPREAD_PAUSES,
        /** Attempts exceed first attempts by at most a tenth, even while most attempts fail. */
        BOUNDED_REPEATS,
        /** No dispatching rule is violated: no request that may have run is shed. */
        RULES,
        /** Most fulfilled requests are in time: those that can't be in time aren't served first. */
        NOT_THE_HOPELESS
    }

    /** The deliberate defects, each with the property that it violates. */
    private enum Defect {
        NONE(null),
        SHEDS_THE_DEAREST_FIRST(Property.DEAREST_FIRST),
        NO_HYSTERESIS(Property.FEW_CHANGES),
        PAUSE_WITHOUT_SPREAD(Property.SPREAD_PAUSES),
        REPEATS_UNBOUNDED(Property.BOUNDED_REPEATS),
        SHEDS_WHAT_MAY_HAVE_RUN(Property.RULES),
        SERVES_THE_HOPELESS_FIRST(Property.NOT_THE_HOPELESS);

        final Property violatedProperty;

        Defect(Property violatedProperty) {
            this.violatedProperty = violatedProperty;
        }
    }

    /** The result for one dispatcher; {@code expected} is null for the correct one. */
    public record Case(String name, Property expected, Map<Property, String> violations) {
        /** True if the expected property, and for the correct dispatcher none, is violated. */
        public boolean asExpected() {
            return expected == null ? violations.isEmpty() : violations.containsKey(expected);
        }
    }

    private OverloadProof() {}

    /** Simulates the day with each dispatcher. */
    public static List<Case> run() {
        List<Case> cases = new ArrayList<>();
        for (Defect defect : Defect.values()) {
            cases.add(new Case(defect.name().toLowerCase().replace('_', ' '), defect.violatedProperty, runDay(defect)));
        }
        return cases;
    }

    private static Map<Property, String> runDay(Defect defect) {
        Scenario day = new Scenario(TomlTable.of("overload proof", DAY));
        Observations observations = new Observations();
        Simulation sim = new Simulation(
                        day,
                        (settings, actions, random) ->
                                createDispatcher(defect, settings, actions, random, observations),
                        new Arrivals(day.traffic, day.workloads, day.length, day.seed))
                .run();
        Map<Property, String> violations = new TreeMap<>();
        List<RequestStatistics.Row> rows = new ArrayList<>(sim.tally().rows().values());
        check(
                violations,
                Property.DEAREST_FIRST,
                rows.get(0).service() > 1.5 * rows.get(1).service(),
                "in time: short %.2f, long %.2f",
                rows.get(0).service(),
                rows.get(1).service());
        check(
                violations,
                Property.FEW_CHANGES,
                observations.maxChangesPerSecond <= MAX_LEVEL_CHANGES_PER_SECOND,
                "%d level changes within a second, %d allowed",
                observations.maxChangesPerSecond,
                MAX_LEVEL_CHANGES_PER_SECOND);
        check(
                violations,
                Property.SPREAD_PAUSES,
                observations.pauseDeviation() > 0.3 * observations.meanPause(),
                "mean Retry-After %.3f s, deviation %.3f s",
                observations.meanPause(),
                observations.pauseDeviation());
        check(
                violations,
                Property.BOUNDED_REPEATS,
                observations.attempts <= 1.1 * observations.firstAttempts,
                "%.0f attempts of %.0f requests",
                observations.attempts,
                observations.firstAttempts);
        check(
                violations,
                Property.RULES,
                sim.judge().violationCount() == 0,
                "%s",
                sim.judge().violations().stream()
                        .findFirst()
                        .map(Violation::toString)
                        .orElse(""));
        Map<String, Double> figures = sim.tally().figures();
        double inTimeShare = rows.stream().mapToDouble(row -> row.inTime).sum() / figures.get("fulfilled");
        check(
                violations,
                Property.NOT_THE_HOPELESS,
                inTimeShare > 0.7,
                "in time: %.2f of the fulfilled requests, " + "%.2f of those possible",
                inTimeShare,
                OverloadFigures.figures(day, sim.tally(), sim.spread()).get("of_could_be_had"));
        return violations;
    }

    private static void check(
            Map<Property, String> violations, Property property, boolean holds, String format, Object... figures) {
        if (!holds) {
            violations.put(property, String.format(java.util.Locale.ROOT, format, figures));
        }
    }

    private static SimulatedDispatcher createDispatcher(
            Defect defect,
            DispatcherSettings settings,
            DispatcherActions actions,
            SplittableRandom random,
            Observations observations) {
        DispatcherSettings modified = settings;
        switch (defect) {
            case SHEDS_THE_DEAREST_FIRST -> modified.workloads.get(0).importance = 0.01;
            case NO_HYSTERESIS -> modified.overload = new OverloadSettings(0.3, 0.5, 0.5, 0, Duration.ofNanos(1), 8);
            case SERVES_THE_HOPELESS_FIRST ->
                modified.overload = new OverloadSettings(8, 9, 9, 0.05, Duration.ofMillis(100), 8);
            default -> {}
        }
        observations.defect = defect;
        DispatcherActions recording = new RecordingActions(actions, observations);
        if (defect == Defect.REPEATS_UNBOUNDED) {
            return new BaselineDispatcher(
                    modified,
                    recording,
                    random,
                    BaselineDispatcher.SelectionPolicy.LEAST_OUT,
                    BaselineDispatcher.Defect.NONE);
        } else if (defect == Defect.SHEDS_WHAT_MAY_HAVE_RUN) {
            return new BaselineDispatcher(
                    modified,
                    recording,
                    random,
                    BaselineDispatcher.SelectionPolicy.LEAST_OUT,
                    BaselineDispatcher.Defect.SHEDS_WHAT_RAN);
        }
        return new LevelChangeCounter(modified, recording, random, observations);
    }

    /** The decision module, with a count of its level changes per second. */
    private static final class LevelChangeCounter extends ModuleDispatcher {
        private final Observations observations;
        private long currentSecond;
        private long changesBeforeSecond;

        LevelChangeCounter(
                DispatcherSettings settings,
                DispatcherActions actions,
                SplittableRandom random,
                Observations observations) {
            super(settings, actions, random);
            this.observations = observations;
        }

        @Override
        public void applyActions(Duration now) {
            super.applyActions(now);
            long changes = module().admissionControl().changeCount();
            if (now.toSeconds() > currentSecond) {
                currentSecond = now.toSeconds();
                changesBeforeSecond = changes;
            }
            observations.maxChangesPerSecond =
                    Math.max(observations.maxChangesPerSecond, changes - changesBeforeSecond);
        }
    }

    /** What was observed of all dispatchers. */
    private static final class Observations {
        private Defect defect;
        private long maxChangesPerSecond;
        private double firstAttempts;
        private double attempts;
        private double pauseCount;
        private double pauseSum;
        private double pauseSquareSum;

        double meanPause() {
            return pauseSum / pauseCount;
        }

        double pauseDeviation() {
            return Math.sqrt(Math.max(0, pauseSquareSum / pauseCount - meanPause() * meanPause()));
        }
    }

    /** Records the actions of a dispatcher, and alters them for some defects. */
    private record RecordingActions(DispatcherActions delegate, Observations observations)
            implements DispatcherActions {
        @Override
        public void dispatch(Attempt attempt, Duration timeout) {
            observations.attempts++;
            observations.firstAttempts += attempt.request.attempts.indexOf(attempt) == 0 ? 1 : 0;
            delegate.dispatch(attempt, timeout);
        }

        @Override
        public void shed(Request request, Duration retryAfter) {
            Duration sentRetryAfter =
                    observations.defect == Defect.PAUSE_WITHOUT_SPREAD ? Duration.ofSeconds(1) : retryAfter;
            if (sentRetryAfter != null && request.workload.repeatSafety == Workload.RepeatSafety.PURE) {
                double seconds = sentRetryAfter.toNanos() / 1e9;
                observations.pauseCount++;
                observations.pauseSum += seconds;
                observations.pauseSquareSum += seconds * seconds;
            }
            delegate.shed(request, sentRetryAfter);
        }

        @Override
        public void cancel(Attempt attempt) {
            delegate.cancel(attempt);
        }

        @Override
        public void giveUp(Request request) {
            delegate.giveUp(request);
        }

        @Override
        public void probe(Runner runner) {
            delegate.probe(runner);
        }

        @Override
        public void setTimer(Duration delay, Object target) {
            delegate.setTimer(delay, target);
        }

        @Override
        public void subscribe(boolean enabled) {
            delegate.subscribe(enabled);
        }

        @Override
        public void requestRunnerList() {
            delegate.requestRunnerList();
        }

        @Override
        public void closeIdleConnections(Runner runner) {
            delegate.closeIdleConnections(runner);
        }

        @Override
        public void sendToPeer(int dispatcher, String message) {
            delegate.sendToPeer(dispatcher, message);
        }

        @Override
        public void log(String line) {
            delegate.log(line);
        }
    }
}
