package saltdale.control;

import java.util.Locale;

/** What a process counts about its control plane; each figure only rises within a process's life. */
public enum Counter {
    /** A proxy left its control node for another. */
    CONTROL_NODE_CHANGES,
    /** A proxy began a session at its control node, the first or a new one. */
    SESSIONS_BEGUN,
    /** A proxy's renewal was answered by a control node without a quorum. */
    GRANTS_WITHOUT_QUORUM,
    /** A proxy asked whether another control node serves it, or a fellow proxy where control nodes are. */
    CONTACT_PROBES,
    /** A connection to the proxy's control node ended. */
    CONTROL_CONNECTIONS_LOST,
    /** A request was answered with 404, since the configuration in force has no route for it. */
    ROUTES_DENIED,
    /** A request was answered with 503, since there is no route for it and the configuration in force may be old. */
    ROUTES_UNDECIDED,
    /** A request was routed by a configuration that may be older than allowed: no control node can be reached. */
    ROUTED_WITHOUT_CONTACT,
    /** A control node lost contact with a majority of the voters. */
    QUORUM_LOSSES;

    /** The name under which it is told, in lower case. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
