package saltdale.model;

import java.time.Duration;

/**
 * How an overload is met, where this is set (the table {@code overload} of EDGE_CONFIG); without it nothing of it is
 * there.
 *
 * @param low the wait, as a part of what dearer work can bear, up to which all work is let in
 * @param high likewise, from which none is let in that earns less
 * @param borne the part of its slack that a try's wait may take where later tries are not marked as such: what is left
 *     stands for what its client's earlier tries took
 * @param missed the part of the dearer work that must lately have missed its promise before more is turned away
 * @param step the least time between two changes of the level
 * @param known so many assignments of a workload must have ended before it is weighed against others
 */
public record OverloadSettings(
        double lowWaitShare,
        double highWaitShare,
        double slackShare,
        double tolerableMissShare,
        Duration minChangeInterval,
        int minCompletions) {
    /** Measured in {@code docs/overload.md}. */
    public static final OverloadSettings DEFAULTS =
            new OverloadSettings(0.2, 0.5, 0.5, 0.05, Duration.ofMillis(100), 8);
}
