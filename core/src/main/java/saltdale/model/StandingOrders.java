package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What a dispatcher is told once, at its start. */
public final class StandingOrders {
    public final List<Workload> workloads = new ArrayList<>();
    public final List<Tenant> tenants = new ArrayList<>();
    /** This dispatcher's number and how many there are. */
    public int index;

    public int dispatchers = 1;
    public String zone = "";
    /** The least time between two rounds of events. */
    public Duration round = Duration.ZERO;

    /** When this dispatcher is to end, with all answered: for ever away until it is told. */
    public Duration endsAt = Duration.ofSeconds(Long.MAX_VALUE);

    // The list.
    public boolean mustSubscribe;
    public Duration askWithin = Duration.ofSeconds(10);

    /** The list's weights fall with load: size over 1 + jobs held for each core. */
    public boolean liveWeights;

    // What is permitted.
    public boolean probes = true;
    public boolean cancels = true;
    public boolean parallel;
    public boolean messages;
    public boolean pauses;
    public int mostDispatches = Integer.MAX_VALUE;
    public Duration longestPause = Duration.ZERO;
    public Duration connectTime = Duration.ZERO;
    /** How long a connection may rest unused. */
    public Duration idleClose = Duration.ofSeconds(30);

    /** Whether clients mark their repeats. */
    public boolean repeatsMarked;

    // What runners tell.
    public boolean tellsStart;
    public Duration progressEvery = Duration.ZERO;

    // The rules in figures.
    public double coldFrom = 1;
    public Duration warmWithin = Duration.ZERO;
    public double tipMultiple = 1;
    public Duration fall = Duration.ZERO;
    /** Whether a runner may turn away what it had begun, so that this proves nothing. */
    public boolean fullProvesNothing;

    /** How an overload is met by what it turns away first; null where that is left as it is. */
    public Relief relief;

    // How service is counted.
    public boolean importanceByWork;
    public double beyondShare = 1;
    /** The weight of the whole run's service in the goal, beside which the tariffs stand. */
    public double whole = 1;

    public double crossZonePrice;
    public double handshakePrice;
    public double probePrice;
    public double wastePrice;

    /** How long a client of any workload waits, at the most. */
    public Duration longestPatience() {
        return workloads.stream().map(w -> w.patience).reduce(Duration.ZERO, Spans::most);
    }

    /** The least share of its full capacity that a runner can have by now: 1 once it must be warm. */
    public double warmth(Duration now, Runner runner) {
        if (runner.startedAt == null || Spans.reached(now, runner.startedAt.plus(warmWithin))) {
            return 1;
        }
        double age = Math.max(0, Spans.secs(now.minus(runner.startedAt)) / Spans.secs(warmWithin));
        return coldFrom + (1 - coldFrom) * age;
    }
}
