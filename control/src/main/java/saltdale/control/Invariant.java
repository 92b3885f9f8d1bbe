package saltdale.control;

import java.util.Locale;

/** What must hold at all times; each is checked where it could break, and a violation is counted and written out. */
public enum Invariant {
    /** An order is acknowledged only if the newest state known to be chosen here holds it. */
    ACKNOWLEDGED_IS_CHOSEN,
    /** Of two states that are chosen, the one of the higher version has no lower revision. */
    REVISION_RISES,
    /** A configuration that is chosen can be read and is valid. */
    CHOSEN_IS_VALID,
    /** A control node tells proxies of the configuration and the members only while it has a quorum. */
    NEWS_WITH_QUORUM,
    /** The configuration in force at a proxy is never replaced by an older one. */
    NO_STEP_BACK,
    /** A proxy denies a route only if its control node served it within {@code config_apply_ms}. */
    DENIED_IN_CONTACT,
    /** A proxy whose control node is silent for too long does not stay there while another one serves. */
    SERVING_NODE_TAKEN;

    /** The name under which its violations are told, in lower case. */
    public String metricName() {
        return "invariant_violations_" + name().toLowerCase(Locale.ROOT);
    }
}
