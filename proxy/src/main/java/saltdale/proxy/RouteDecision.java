package saltdale.proxy;

import saltdale.control.Configuration;

/** The result of looking up a request's route in the configuration in force. */
public sealed interface RouteDecision {
    /** The request takes this route. */
    record Found(Configuration.Route route) implements RouteDecision {}

    /** There is no such route, according to a configuration that is recent enough to tell. */
    record Denied() implements RouteDecision {}

    /** No route is known, but a newer configuration may have one that has not arrived: the client should retry. */
    record Undecided() implements RouteDecision {}
}
