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
        long heartbeat,
        long acknowledge,
        long drain,
        Platform.Rates rates) {
    /** See {@link LeaseTimes#quorumLease}. */
    long lease() {
        return LeaseTimes.quorumLease(heartbeat);
    }

    /** See {@link LeaseTimes#memberLease}. */
    long memberLease() {
        return LeaseTimes.memberLease(heartbeat);
    }

    /** See {@link LeaseTimes#vacancy}. */
    long vacancy() {
        return LeaseTimes.vacancy(heartbeat);
    }
}
