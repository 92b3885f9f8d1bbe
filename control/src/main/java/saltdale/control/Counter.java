package saltdale.control;

import java.util.Locale;

/** The control plane counters of a process; each only increases while the process runs. */
public enum Counter {
    /** A control node began a ballot, for a change or for the reads that waited. */
    BALLOTS,
    /** A proxy switched to another control node. */
    CONTROL_NODE_CHANGES,
    /** A proxy began a session with its control node, the first or a new one. */
    SESSIONS_BEGUN,
    /** A proxy's lease renewal was answered by a control node without a quorum. */
    GRANTS_WITHOUT_QUORUM,
    /** A proxy asked a control node whether it can serve, or another proxy where the control nodes are. */
    CONTACT_PROBES,
    /** The connection to the proxy's control node was closed. */
    CONTROL_CONNECTIONS_LOST,
    /** A request was answered with 404 because the configuration in force has no route for it. */
    ROUTES_DENIED,
    /**
     * A request was answered with 503 because no route for it is known and the configuration in force may be outdated.
     */
    ROUTES_UNDECIDED,
    /**
     * A request was routed by a configuration that may be older than allowed, because no control node can be reached.
     */
    ROUTED_WITHOUT_CONTACT,
    /** A control node lost contact with a majority of the voters. */
    QUORUM_LOSSES;

    /** The name of the metric. */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
