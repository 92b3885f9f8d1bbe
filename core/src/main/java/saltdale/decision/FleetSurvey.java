package saltdale.decision;

import static saltdale.model.Spans.secs;

import java.time.Duration;
import java.util.List;
import saltdale.model.Fading;
import saltdale.model.Runner;
import saltdale.model.StandingOrders;

/** What one dispatcher sees of all its runners together, counted at most once for one moment. */
final class FleetSurvey {
    /** Work done by warm runners. */
    final Fading workDone = new Fading();
    /** How many are ready, and how many of those are set aside. */
    double ready;

    double aside;
    /** What a warm runner does for us, in seconds of work a second, and what of ours each known one holds. */
    double warmRate;

    double meanOut;

    private final StandingOrders orders;
    private final List<Runner> runners;
    private final Duration memory;
    private Duration at;

    FleetSurvey(StandingOrders orders, List<Runner> runners, Duration memory) {
        this.orders = orders;
        this.runners = runners;
        this.memory = memory;
    }

    void take(Duration now) {
        if (now.equals(at)) {
            return;
        }
        at = now;
        List<Runner> ready = runners.stream().filter(Runner::ready).toList();
        this.ready = ready.size();
        long warm = ready.stream().filter(r -> orders.warmth(now, r) >= 1).count();
        warmRate = warm == 0 ? warmRate : workDone.at(now, memory) / secs(memory) / warm;
        meanOut = ready.stream()
                .filter(r -> r.known)
                .mapToInt(r -> r.out.size())
                .average()
                .orElse(0);
        aside = ready.stream().filter(r -> r.trickle != null).count();
    }
}
