package saltdale.control;

import java.util.List;

/** What a control node is told of its machine and of the deployment; spans in nanoseconds. */
public record ControlNodeSettings(
        String name,
        String host,
        String zone,
        List<String> seeds,
        boolean firstStart,
        ToleratedLosses toleratedLosses,
        long heartbeatNanos,
        long acknowledgeTimeoutNanos,
        long drainNanos,
        Platform.Rates rates) {
    /** See {@link LeaseTimes#quorumLeaseNanos}. */
    long quorumLeaseNanos() {
        return LeaseTimes.quorumLeaseNanos(heartbeatNanos);
    }

    /** See {@link LeaseTimes#memberLeaseNanos}. */
    long memberLeaseNanos() {
        return LeaseTimes.memberLeaseNanos(heartbeatNanos);
    }

    /** See {@link LeaseTimes#vacancyTimeoutNanos}. */
    long vacancyTimeoutNanos() {
        return LeaseTimes.vacancyTimeoutNanos(heartbeatNanos);
    }
}
