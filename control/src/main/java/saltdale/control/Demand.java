package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the homes say of the calls for each service in their zones; of each home only its last word counts, for a
 * while.
 */
final class Demand {
    /** Of one service in one zone: calls a second, seconds each runs, how many run, how many wait. */
    record Need(String service, String zone, double rate, double run, int busy, int waiting, double idleFor) {
        List<Object> tree() {
            return List.of(service, zone, rate, run, busy, waiting, idleFor);
        }

        static Need of(Object tree) throws MalformedMessage {
            if (tree instanceof List<?> list
                    && list.size() >= 7
                    && list.get(0) instanceof String service
                    && list.get(1) instanceof String zone
                    && list.get(2) instanceof Number rate
                    && list.get(3) instanceof Number run
                    && list.get(4) instanceof Number busy
                    && list.get(5) instanceof Number waiting
                    && list.get(6) instanceof Number idle) {
                return new Need(
                        service,
                        zone,
                        rate.doubleValue(),
                        run.doubleValue(),
                        busy.intValue(),
                        waiting.intValue(),
                        idle.doubleValue());
            }
            throw new MalformedMessage("no need");
        }
    }

    private record Word(long at, Map<String, Need> needs) {}

    private final long counts;
    private final Map<String, Word> words = new HashMap<>(); // by member's life

    Demand(long counts) {
        this.counts = counts;
    }

    void said(String life, List<Object> needs, long now) throws MalformedMessage {
        Map<String, Need> all = new HashMap<>();
        for (Object each : needs) {
            Need need = Need.of(each);
            all.put(need.service(), need);
        }
        words.put(life, new Word(now, all));
    }

    /** By service, what all homes together say. */
    Map<String, List<Need>> all(long now) {
        words.values().removeIf(word -> now - word.at > counts);
        Map<String, List<Need>> all = new HashMap<>();
        for (Word word : words.values()) {
            word.needs
                    .values()
                    .forEach(n -> all.computeIfAbsent(n.service(), s -> new ArrayList<>())
                            .add(n));
        }
        return all;
    }
}
