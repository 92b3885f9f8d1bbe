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
        LOST(1),
        ANSWERED_TWICE(1),
        ANSWERED_LATE(1),
        SENT_AFTER_END(1),
        ANSWER_NOBODY_MADE(1),
        HELD_BACK(1),
        REPEATED_EFFECTFUL(2),
        EFFECT_TWICE(2),
        SHED_AFTER_RUN(2),
        OUTSIDE_GROUP(2),
        AFTER_WINDOW(2),
        TWO_OUT(2),
        SENT_TO_DRAINING(3),
        SENT_TO_GONE(3),
        COLD_PUSHED_OVER(4),
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
