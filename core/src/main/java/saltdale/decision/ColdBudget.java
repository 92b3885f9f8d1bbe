package saltdale.decision;

import static saltdale.model.Spans.secs;

import java.time.Duration;
import java.util.Collection;
import java.util.SplittableRandom;
import saltdale.model.*;

// Rule 4. What a warm runner does for us stands for our part of its capacity: if each dispatcher keeps
// within multiple x cold share of that in every window, all of them together keep the rule.
record ColdBudget(StandingOrders orders, FleetSurvey fleet, Collection<WorkloadStats> stats, Duration memory,
                  SplittableRandom chance) {
    private static final double CAUTION = 0.6;  // the part of a cold runner's guessed budget that is used

    boolean allows(Duration now, Runner r, double work, double luck) {
        if (orders.warmth(now, r) >= 1) {
            return true;
        }
        fleet.take(now);
        double room = room(now, r), budget = part(now, r);
        // Guards against idle cold runners where our part is under one job: then it is sent by chance, so
        // that we keep to our part on average; among work small enough for one job to keep within all parts.
        double all = budget * orders.dispatchers;
        double sought = stats.stream().filter(seen -> seen.unit() <= all)
                .mapToDouble(seen -> seen.sought.at(now, memory)).sum() / secs(memory);
        boolean lucky = room == budget && work <= all
                && luck * sought < budget / secs(orders.fall) * fleet.ready;
        return work <= room || lucky || fleet.warmRate == 0 && r.out.isEmpty()
                && chance.nextInt(orders.dispatchers) == 0;  // nothing to go by yet: one of us all
    }

    double room(Duration now, Runner r) {
        return part(now, r) - r.coldWork(now.minus(orders.fall));
    }

    private double part(Duration now, Runner r) {
        return CAUTION * orders.tipMultiple * orders.warmth(now, r) * fleet.warmRate * secs(orders.fall);
    }
}
