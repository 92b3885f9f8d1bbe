package saltdale.rig.judge;

import java.time.Duration;

/**
 * A violation of a dispatching rule.
 *
 * @param subject the id of the request, or the runner
 * @param detail what happened, for the report
 */
public record Violation(Kind kind, Duration at, String subject, String detail) {
    /** The kinds of violations; each belongs to one of the four rules, or to 5, the rule on placement. */
    public enum Kind {
        /** A request got no final answer, or too many new connections were closed. */
        LOST(1),
        /** A request got a second final answer. */
        ANSWERED_TWICE(1),
        /** A request was answered after its client timeout and the grace period. */
        ANSWERED_LATE(1),
        /** An attempt was sent after the request had ended. */
        SENT_AFTER_END(1),
        /** The result in an answer was not produced by any runner. */
        ANSWER_NOBODY_MADE(1),
        /** A request was given up later than necessary. */
        HELD_BACK(1),
        /** An effectful request that may have run was sent again. */
        REPEATED_EFFECTFUL(2),
        /** A request had its effect more than once. */
        EFFECT_TWICE(2),
        /** A request was shed, although it may have run and a retry may be harmful. */
        SHED_AFTER_RUN(2),
        /** A request was sent again to a runner outside its deduplication scope. */
        OUTSIDE_GROUP(2),
        /** A request was sent again after its deduplication window. */
        AFTER_WINDOW(2),
        /** A second attempt was sent while another was pending. */
        TWO_OUT(2),
        /** An attempt was sent to a runner listed as draining. */
        SENT_TO_DRAINING(3),
        /** An attempt was sent to a runner listed as gone. */
        SENT_TO_GONE(3),
        /** A cold runner received more than its limit. */
        COLD_PUSHED_OVER(4),
        /** An attempt was sent to a runner in a zone or of a machine type where the workload may not run. */
        MISPLACED(5);

        /** The number of the violated rule. */
        public final int ruleNumber;

        Kind(int rule) {
            this.ruleNumber = rule;
        }
    }

    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "rule %d, %s at %.3f s: %s: %s",
                kind.ruleNumber,
                kind.name().toLowerCase().replace('_', ' '),
                at.toNanos() / 1e9,
                subject,
                detail);
    }
}
