package saltdale.decision;

import static saltdale.model.Durations.seconds;

import java.time.Duration;
import java.util.Collection;
import java.util.SplittableRandom;
import saltdale.model.*;

// Rule 4. What a warm runner does for us stands for our part of its capacity: if each dispatcher keeps
// within multiple x cold share of that in every window, all of them together keep the rule.
record ColdBudget(DispatcherSettings settings, FleetSurvey fleet, Collection<WorkloadStats> stats, Duration timeConstant,
                  SplittableRandom random) {
    private static final double SAFETY_FACTOR = 0.6;  // the part of a cold runner's guessed budget that is used

    boolean allows(Duration now, Runner runner, double work, double draw) {
        if (settings.warmth(now, runner) >= 1) {
            return true;
        }
        fleet.update(now);
        double remaining = remaining(now, runner), budget = budget(now, runner);
        // Guards against idle cold runners where our part is under one job: then it is sent by chance, so
        // that we keep to our part on average; among work small enough for one job to keep within all parts.
        double totalBudget = budget * settings.dispatcherCount;
        double searchedRate = stats.stream().filter(seen -> seen.runTimeOrDefault() <= totalBudget)
                .mapToDouble(seen -> seen.searchedWork.valueAt(now, timeConstant)).sum() / seconds(timeConstant);
        boolean drawn = remaining == budget && work <= totalBudget
                && draw * searchedRate < budget / seconds(settings.coldLimitWindow) * fleet.readyCount;
        return work <= remaining || drawn || fleet.warmWorkRate == 0 && runner.inFlight.isEmpty()
                && random.nextInt(settings.dispatcherCount) == 0;  // nothing to go by yet: one of us all
    }

    double remaining(Duration now, Runner runner) {
        return budget(now, runner) - runner.coldWork(now.minus(settings.coldLimitWindow));
    }

    private double budget(Duration now, Runner runner) {
        return SAFETY_FACTOR * settings.coldLimitMultiple * settings.warmth(now, runner) * fleet.warmWorkRate * seconds(settings.coldLimitWindow);
    }
}
