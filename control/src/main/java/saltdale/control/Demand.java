package saltdale.control;

import java.util.List;

/**
 * The demand for one service in one zone: calls per second, seconds that each call runs, calls that run now, calls that
 * wait, and the seconds since the service was last busy.
 */
public record Demand(
        String service,
        String zone,
        double callsPerSecond,
        double runSeconds,
        int busy,
        int waiting,
        double idleSeconds) {
    /** The fields in the order in which messages carry them. */
    public List<Object> tree() {
        return List.of(service, zone, callsPerSecond, runSeconds, busy, waiting, idleSeconds);
    }

    /** Reads a demand from the fields that {@link #tree()} returns. */
    public static Demand of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() >= 7
                && list.get(0) instanceof String service
                && list.get(1) instanceof String zone
                && list.get(2) instanceof Number callsPerSecond
                && list.get(3) instanceof Number runSeconds
                && list.get(4) instanceof Number busy
                && list.get(5) instanceof Number waiting
                && list.get(6) instanceof Number idleSeconds) {
            return new Demand(
                    service,
                    zone,
                    callsPerSecond.doubleValue(),
                    runSeconds.doubleValue(),
                    busy.intValue(),
                    waiting.intValue(),
                    idleSeconds.doubleValue());
        }
        throw new MalformedMessage("is not a demand report");
    }
}
