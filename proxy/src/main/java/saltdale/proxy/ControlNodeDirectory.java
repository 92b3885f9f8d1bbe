package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Where control nodes may be found: those that one with a quorum told of last, those that the settings name, and a few
 * that were told of before or by others. What is told by a quorum replaces what was told so before, so that those that
 * are gone do not gather here.
 */
final class ControlNodeDirectory {
    /** So many are kept that no quorum tells of any more; they are asked last. */
    private static final int MOST_OTHERS = 8;

    private List<String> seeds;
    private List<String> current = List.of();
    private final Set<String> others = new LinkedHashSet<>(); // the newest last

    ControlNodeDirectory(List<String> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /** The settings name others now; those that they named before are asked last. */
    void seeds(List<String> hosts) {
        List<String> before = seeds;
        seeds = List.copyOf(hosts);
        before.forEach(this::remember);
        others.removeAll(seeds);
    }

    /** A control node with a quorum says that these are all. */
    void told(List<String> hosts) {
        if (hosts.equals(current)) {
            return;
        }
        List<String> before = current;
        current = List.copyOf(hosts);
        before.forEach(this::remember);
        others.removeAll(current);
    }

    /** Somebody who may be behind has heard of these. */
    void hinted(List<String> hosts) {
        hosts.forEach(this::remember);
    }

    private void remember(String host) {
        if (current.contains(host) || seeds.contains(host)) {
            return;
        }
        others.remove(host);
        others.add(host);
        if (others.size() > MOST_OTHERS) {
            Iterator<String> oldest = others.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Those that a quorum told of last, the seeds as long as none has. */
    List<String> known() {
        return current.isEmpty() ? seeds : current;
    }

    /** All of them, each once, the most promising first. */
    List<String> all() {
        Set<String> all = new LinkedHashSet<>(current);
        all.addAll(seeds);
        List<String> newestFirst = new ArrayList<>(others);
        Collections.reverse(newestFirst);
        all.addAll(newestFirst);
        return new ArrayList<>(all);
    }
}
