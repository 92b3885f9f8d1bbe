package saltdale.decision;

import static saltdale.model.Durations.seconds;

import java.time.Duration;
import java.util.Collection;
import java.util.SplittableRandom;
import saltdale.model.*;

// Rule 4. The work that a warm runner completes for this dispatcher is its share of a runner's capacity: if
// each dispatcher stays within limit multiple x cold capacity of that in every window, all together do.
record ColdBudget(DispatcherSettings settings, FleetSurvey fleet, Collection<WorkloadStats> stats,
                  Duration timeConstant, SplittableRandom random) {
    private static final double SAFETY_FACTOR = 0.6;  // used part of a cold runner's estimated budget

    boolean allows(Duration now, Runner runner, double work, double draw) {
        if (settings.warmth(now, runner) >= 1) { return true; }
        fleet.update(now);
        double remaining = remaining(now, runner), budget = budget(now, runner);
        // With a share under one job cold runners would stay idle: a job is then sent at random, so that the
        // average matches the share; only jobs that fit into the budget of all dispatchers together.
        double totalBudget = budget * settings.dispatcherCount;
        double searchedRate = stats.stream().filter(w -> w.runTimeOrDefault() <= totalBudget)
                .mapToDouble(w -> w.searchedWork.valueAt(now, timeConstant)).sum() / seconds(timeConstant);
        boolean drawn = remaining == budget && work <= totalBudget
                && draw * searchedRate < budget / seconds(settings.coldLimitWindow) * fleet.readyCount;
        return work <= remaining || drawn || fleet.warmWorkRate == 0 && runner.inFlight.isEmpty()
                && random.nextInt(settings.dispatcherCount) == 0;  // no data yet: on average one dispatcher
    }

    double remaining(Duration now, Runner runner) {
        return budget(now, runner) - runner.coldWork(now.minus(settings.coldLimitWindow));
    }

    private double budget(Duration now, Runner runner) {
        return SAFETY_FACTOR * settings.coldLimitMultiple * settings.warmth(now, runner) * fleet.warmWorkRate
                * seconds(settings.coldLimitWindow);
    }
}
