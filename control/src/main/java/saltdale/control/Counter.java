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
    /** A request was answered with 404, since the configuration in force has no route for it. */
    ROUTES_DENIED,
    /** A control node lost contact with a majority of the voters. */
    QUORUM_LOSSES;

    /** The name under which it is told, in lower case. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
