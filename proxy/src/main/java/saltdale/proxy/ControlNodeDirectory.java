package saltdale.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The hosts of control nodes: the current ones, as last named by a control node with a quorum, the seeds of the
 * settings, and a few others that were known before or named by other processes. A new list of current ones replaces
 * the previous list, so that control nodes that no longer exist do not accumulate.
 */
final class ControlNodeDirectory {
    /** How many hosts that are neither current nor seeds are kept; they are probed last. */
    private static final int MAX_OTHERS = 8;

    private List<String> seeds;
    private List<String> current = List.of();
    private final Set<String> others = new LinkedHashSet<>(); // the newest last

    ControlNodeDirectory(List<String> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /** Replaces the seeds; the previous ones are probed last. */
    void updateSeeds(List<String> hosts) {
        List<String> previous = seeds;
        seeds = List.copyOf(hosts);
        previous.forEach(this::addOther);
        others.removeAll(seeds);
    }

    /** Replaces the current control nodes by the complete list of a control node with a quorum. */
    void updateCurrent(List<String> hosts) {
        if (hosts.equals(current)) {
            return;
        }
        List<String> previous = current;
        current = List.copyOf(hosts);
        previous.forEach(this::addOther);
        others.removeAll(current);
    }

    /** Adds hosts named by a process whose knowledge may be out of date. */
    void addHints(List<String> hosts) {
        hosts.forEach(this::addOther);
    }

    private void addOther(String host) {
        if (current.contains(host) || seeds.contains(host)) {
            return;
        }
        others.remove(host);
        others.add(host);
        if (others.size() > MAX_OTHERS) {
            Iterator<String> oldest = others.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** The control nodes last named by one with a quorum; the seeds until then. */
    List<String> current() {
        return current.isEmpty() ? seeds : current;
    }

    /** All known hosts, each once, the most promising first. */
    List<String> all() {
        Set<String> all = new LinkedHashSet<>(current);
        all.addAll(seeds);
        List<String> newestFirst = new ArrayList<>(others);
        Collections.reverse(newestFirst);
        all.addAll(newestFirst);
        return new ArrayList<>(all);
    }
}
