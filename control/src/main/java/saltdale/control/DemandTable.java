package saltdale.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the homes say of the calls for each service in their zones; of each home only its last word counts, for a
 * while.
 */
final class DemandTable {
    private record Word(long at, Map<String, Demand> demands) {}

    private final long counts;
    private final Map<String, Word> words = new HashMap<>(); // by member's life

    DemandTable(long counts) {
        this.counts = counts;
    }

    void said(String life, List<Demand> demands, long now) {
        Map<String, Demand> all = new HashMap<>();
        demands.forEach(demand -> all.put(demand.service(), demand));
        words.put(life, new Word(now, all));
    }

    /** By service, what all homes together say. */
    Map<String, List<Demand>> all(long now) {
        words.values().removeIf(word -> now - word.at > counts);
        Map<String, List<Demand>> all = new HashMap<>();
        for (Word word : words.values()) {
            word.demands
                    .values()
                    .forEach(n -> all.computeIfAbsent(n.service(), s -> new ArrayList<>())
                            .add(n));
        }
        return all;
    }
}
