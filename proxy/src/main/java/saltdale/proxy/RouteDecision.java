package saltdale.proxy;

import saltdale.control.Configuration;

/** What the configuration in force says of a request's route. */
public sealed interface RouteDecision {
    /** The request takes this route. */
    record Found(Configuration.Route route) implements RouteDecision {}

    /** There is no such route, as of a configuration that is young enough to say so. */
    record Denied() implements RouteDecision {}

    /** No route is known, and there may be one in a configuration that has not come: the client is to come back. */
    record Undecided() implements RouteDecision {}
}
