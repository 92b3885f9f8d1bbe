package saltdale.control;

import java.util.List;

/** The settings of a control node: its machine and the deployment. */
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
