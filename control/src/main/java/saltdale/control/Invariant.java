package saltdale.control;

import java.util.Locale;

/**
 * The invariants of the control plane. Each is checked at run time where it could break, and a violation is
 * counted and logged.
 */
public enum Invariant {
    /** A configuration update is acknowledged only if the newest state known to be chosen here contains it. */
    ACKNOWLEDGED_IS_CHOSEN,
    /** Of two chosen states, the one of the higher version does not have the lower revision. */
    REVISION_RISES,
    /** A chosen configuration can be parsed and is valid. */
    CHOSEN_IS_VALID,
    /** A change of the replicated state has a result or is rejected, but does not end with an unexpected exception. */
    CHANGE_COMPUTED,
    /** A task, a message or a callback is handled to its end, without an exception or error that nobody expected. */
    TASK_COMPLETED,
    /** A control node sends proxies the configuration and the members only while it has a quorum. */
    NEWS_WITH_QUORUM,
    /** The configuration in force at a proxy is never replaced by an older one. */
    NO_STEP_BACK,
    /**
     * A proxy rejects a request for an unknown route only if its control node served it within {@code config_apply_ms}.
     */
    DENIED_IN_CONTACT,
    /** A proxy whose control node has been silent for too long does not stay with it while another one can serve. */
    SERVING_NODE_TAKEN;

    /** The name of the metric that counts the violations. */
    public String metricName() {
        return "invariant_violations_" + name().toLowerCase(Locale.ROOT);
    }
}
