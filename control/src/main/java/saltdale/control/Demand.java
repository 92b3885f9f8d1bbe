package saltdale.control;

import java.util.List;

/** Of one service in one zone: calls a second, seconds each runs, how many run, how many wait. */
public record Demand(String service, String zone, double rate, double run, int busy, int waiting, double idleFor) {
    public List<Object> tree() {
        return List.of(service, zone, rate, run, busy, waiting, idleFor);
    }

    public static Demand of(Object tree) throws MalformedMessage {
        if (tree instanceof List<?> list
                && list.size() >= 7
                && list.get(0) instanceof String service
                && list.get(1) instanceof String zone
                && list.get(2) instanceof Number rate
                && list.get(3) instanceof Number run
                && list.get(4) instanceof Number busy
                && list.get(5) instanceof Number waiting
                && list.get(6) instanceof Number idle) {
            return new Demand(
                    service,
                    zone,
                    rate.doubleValue(),
                    run.doubleValue(),
                    busy.intValue(),
                    waiting.intValue(),
                    idle.doubleValue());
        }
        throw new MalformedMessage("is no demand");
    }
}
