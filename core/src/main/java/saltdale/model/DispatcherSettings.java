package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The settings of one dispatcher, fixed at its start. */
public final class DispatcherSettings {
    public final List<Workload> workloads = new ArrayList<>();
    public final List<Tenant> tenants = new ArrayList<>();
    /** The index of this dispatcher, from 0. */
    public int dispatcherIndex;

    /** The number of dispatchers that share the runners. */
    public int dispatcherCount = 1;

    public String zone = "";
    /** The shortest time between two rounds of events. */
    public Duration roundInterval = Duration.ZERO;

    /** When this dispatcher stops, with all requests answered; not limited until a shutdown is requested. */
    public Duration shutdownAt = Duration.ofSeconds(Long.MAX_VALUE);

    // Runner list.
    /** Whether the dispatcher must subscribe to the runner list itself. */
    public boolean subscribes;

    /** The time limit for requesting a subscription again; retries are spaced within it. */
    public Duration subscribeWithin = Duration.ofSeconds(10);

    /** Whether weights in the list fall with load: the maximum weight over 1 + jobs per slot. */
    public boolean loadBasedWeights;

    // Permissions and limits.
    public boolean mayProbe = true;
    public boolean mayCancel = true;
    /** Whether a request may have several pending attempts. */
    public boolean parallelAttempts;

    public boolean peerMessages;
    /** Whether shed responses carry a Retry-After. */
    public boolean sendsRetryAfter;

    /** The maximum number of attempts for one request. */
    public int maxAttempts = Integer.MAX_VALUE;

    public Duration maxRetryAfter = Duration.ZERO;
    public Duration connectTimeout = Duration.ZERO;
    /** How long a connection may be idle. */
    public Duration idleTimeout = Duration.ofSeconds(30);

    /** Whether clients mark their retries. */
    public boolean retriesMarked;

    // Reports of runners.
    /** Whether runners report the start of an attempt. */
    public boolean reportsStart;

    /** The interval of progress reports; zero if there are none. */
    public Duration progressInterval = Duration.ZERO;

    // Cold runners and rejections.
    /** The share of its full capacity that a runner has right after its start. */
    public double coldCapacity = 1;

    /** How long after its start a runner may be cold. */
    public Duration warmUpTime = Duration.ZERO;
    /** The multiple of a cold runner's capacity that it may be sent within {@link #coldLimitWindow}. */
    public double coldLimitMultiple = 1;

    /** The length of the window in which the work sent to a cold runner is limited. */
    public Duration coldLimitWindow = Duration.ZERO;
    /** Whether a runner may reject an attempt after it has started it, so that a rejection proves nothing. */
    public boolean lateRejections;

    /** The settings of the admission control; null for none. */
    public OverloadSettings overload;

    // Objective.
    /** Whether importance counts per second of work instead of per request. */
    public boolean importanceByWork;

    public double importanceBeyondShare = 1;
    /** The weight of the service in the objective, relative to the prices. */
    public double goalWeight = 1;

    /** The price of one attempt in another zone. */
    public double crossZonePrice;

    /** The price of one new connection. */
    public double handshakePrice;

    public double probePrice;
    public double wastePrice;

    /** The longest client timeout of all workloads. */
    public Duration maxClientTimeout() {
        return workloads.stream().map(w -> w.clientTimeout).reduce(Duration.ZERO, Durations::max);
    }

    /** The lowest possible share of its full capacity that a runner has now: 1 once it must be warm. */
    public double warmth(Duration now, Runner runner) {
        if (runner.startedAt == null || Durations.reached(now, runner.startedAt.plus(warmUpTime))) {
            return 1;
        }
        double age = Math.max(0, Durations.seconds(now.minus(runner.startedAt)) / Durations.seconds(warmUpTime));
        return coldCapacity + (1 - coldCapacity) * age;
    }
}
