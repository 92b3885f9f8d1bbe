package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What a dispatcher is told once, at its start. */
public final class DispatcherSettings {
    public final List<Workload> workloads = new ArrayList<>();
    public final List<Tenant> tenants = new ArrayList<>();
    /** This dispatcher's number and how many there are. */
    public int dispatcherIndex;

    public int dispatcherCount = 1;
    public String zone = "";
    /** The least time between two rounds of events. */
    public Duration roundInterval = Duration.ZERO;

    /** When this dispatcher is to end, with all answered: for ever away until it is told. */
    public Duration shutdownAt = Duration.ofSeconds(Long.MAX_VALUE);

    // The list.
    public boolean subscribes;
    public Duration subscribeWithin = Duration.ofSeconds(10);

    /** The list's weights fall with load: size over 1 + jobs held for each core. */
    public boolean loadBasedWeights;

    // What is permitted.
    public boolean mayProbe = true;
    public boolean mayCancel = true;
    public boolean parallelAttempts;
    public boolean peerMessages;
    public boolean sendsRetryAfter;
    public int maxAttempts = Integer.MAX_VALUE;
    public Duration maxRetryAfter = Duration.ZERO;
    public Duration connectTimeout = Duration.ZERO;
    /** How long a connection may rest unused. */
    public Duration idleTimeout = Duration.ofSeconds(30);

    /** Whether clients mark their repeats. */
    public boolean retriesMarked;

    // What runners tell.
    public boolean reportsStart;
    public Duration progressInterval = Duration.ZERO;

    // The rules in figures.
    public double coldCapacity = 1;
    public Duration warmUpTime = Duration.ZERO;
    public double coldLimitMultiple = 1;
    public Duration coldLimitWindow = Duration.ZERO;
    /** Whether a runner may turn away what it had begun, so that this proves nothing. */
    public boolean lateRejections;

    /** How an overload is met by what it turns away first; null where that is left as it is. */
    public OverloadSettings overload;

    // How service is counted.
    public boolean importanceByWork;
    public double importanceBeyondShare = 1;
    /** The weight of the whole run's service in the goal, beside which the tariffs stand. */
    public double goalWeight = 1;

    public double crossZonePrice;
    public double handshakePrice;
    public double probePrice;
    public double wastePrice;

    /** How long a client of any workload waits, at the most. */
    public Duration maxClientTimeout() {
        return workloads.stream().map(w -> w.clientTimeout).reduce(Duration.ZERO, Durations::max);
    }

    /** The least share of its full capacity that a runner can have by now: 1 once it must be warm. */
    public double warmth(Duration now, Runner runner) {
        if (runner.startedAt == null || Durations.reached(now, runner.startedAt.plus(warmUpTime))) {
            return 1;
        }
        double age = Math.max(0, Durations.seconds(now.minus(runner.startedAt)) / Durations.seconds(warmUpTime));
        return coldCapacity + (1 - coldCapacity) * age;
    }
}
