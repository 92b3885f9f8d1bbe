package saltdale.model;

import java.time.Duration;

/**
 * Settings of the admission control for overloads: the table {@code overload} of EDGE_CONFIG with the keys low, high,
 * borne, missed, step and known, in the order of the components. Without the table there is no admission control.
 *
 * @param lowWaitShare the wait, as a share of the wait that the most valuable work can tolerate, up to which nothing is
 *     rejected
 * @param highWaitShare likewise, the share from which all less valuable work is rejected
 * @param slackShare the share of its slack that a request may wait where clients do not mark retries; the rest
 *     allows for the time that earlier tries of the client have taken
 * @param tolerableMissShare the share of the most valuable work that must recently have missed its target latency
 *     before the level rises
 * @param minChangeInterval the shortest time between two changes of the level
 * @param minCompletions the number of completed requests from which a workload's value is known
 */
public record OverloadSettings(
        double lowWaitShare,
        double highWaitShare,
        double slackShare,
        double tolerableMissShare,
        Duration minChangeInterval,
        int minCompletions) {
    /** The default settings, see {@code docs/overload.md}. */
    public static final OverloadSettings DEFAULTS =
            new OverloadSettings(0.2, 0.5, 0.5, 0.05, Duration.ofMillis(100), 8);
}
