package saltdale.nodes.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Derives the changes of runners that a dispatcher needs from the changes of nodes. It does no I/O and has
 * neither clock nor sockets: each method that reports an observation receives the time, and {@link
 * #changes} returns the resulting changes.
 *
 * <p>A deleted node means that its runner is gone, at once. There is one exception: if more than {@link
 * Rules#massShare} of the nodes are deleted within one session time-out, the cause is assumed to be the
 * service itself. Runners whose nodes are deleted then are held, as long as they answer probes, for at
 * most {@link Rules#hold}. A drain mark always takes effect at once.
 */
public final class Membership {
    /** Health of a runner as reported to a dispatcher. */
    public enum Health {
        UP,
        DRAINING,
        GONE
    }

    /** State of the connection to the service. */
    public enum Link {
        CONNECTED,
        SUSPENDED,
        EXPIRED
    }

    /** One change of a runner; each is returned once. */
    public record Change(String name, RunnerInfo runner, Health health) {}

    /**
     * @param sessionTimeout as negotiated with the service
     * @param massShare share of the nodes above which deletions count as a mass disappearance, caused by
     *     the service; 1 disables holding
     * @param massMinimum fewer deletions than this never count as a mass disappearance
     * @param hold longest time that a runner is held without its node
     * @param fade time without contact to the service until the trust in the list has fallen to 0
     */
    public record Rules(Duration sessionTimeout, double massShare, int massMinimum, Duration hold, Duration fade) {
        /** Rules with all times in proportion to the session time-out. */
        public static Rules of(Duration sessionTimeout) {
            return new Rules(sessionTimeout, 0.3, 3, sessionTimeout.multipliedBy(3), sessionTimeout.multipliedBy(20));
        }
    }

    private static final class Entry {
        RunnerInfo runner;
        /** Whether the node exists, as far as is known. */
        boolean present = true;
        /** Null if the runner is not held. */
        Duration heldSince;
        /** The health reported last; null before the first report. */
        Health reportedHealth;

        RunnerInfo reportedRunner;
    }

    private final Rules rules;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<Duration> recentDeletions = new ArrayDeque<>();
    /**
     * Hash of the unreadable data that was logged last, by node, so that the same data is logged only
     * once.
     */
    private final Map<String, Integer> badDataHashes = new HashMap<>();

    private final List<Change> changes = new ArrayList<>();
    private Link link = Link.SUSPENDED;
    private Duration lastHeardAt;
    private boolean massDisappearance;
    private long unreadableNodes;
    private long massDisappearances;
    private long held;

    public Membership(Rules rules) {
        this.rules = rules;
    }

    // ---- Observations.

    /** Records a change of the connection to the service. */
    public void linkChanged(Duration now, Link next) {
        // A lost connection says nothing about any runner: neither a suspended connection nor an expired
        // session changes an entry.
        if (link == Link.CONNECTED && next != Link.CONNECTED) {
            lastHeardAt = now;
        }
        link = next;
    }

    /** Takes the result of a complete read pass: known nodes that are missing from it have been deleted. */
    public void replaceAll(Duration now, Map<String, byte[]> nodes) {
        Set<String> missing = new HashSet<>(entries.keySet());
        missing.removeAll(nodes.keySet());
        nodes.forEach((name, data) -> nodeRead(now, name, data));
        // In the order of the entries, so that equal input gives equal changes.
        List.copyOf(entries.keySet()).stream().filter(missing::contains).forEach(name -> nodeDeleted(now, name));
    }

    /** Records a node that exists with this data; returns whether the data could be parsed. */
    public boolean nodeRead(Duration now, String name, byte[] data) {
        lastHeardAt = now;
        RunnerInfo runner = RunnerInfo.read(data);
        Entry entry = entries.get(name);
        if (runner == null) {
            unreadableNodes++;
            if (entry != null && entry.runner != null) {
                entry.present = true; // the last readable data remains in effect
                release(name, entry);
            }
            return false;
        }
        if (entry == null) {
            entry = new Entry();
            entries.put(name, entry);
        }
        // Guards against reading an outdated tree: data of an earlier start of the same runner is ignored.
        boolean older = entry.runner != null && runner.bornMillis() < entry.runner.bornMillis();
        if (!older) {
            entry.runner = runner;
        }
        entry.present = true;
        release(name, entry);
        return true;
    }

    /** Whether this unreadable data should be logged: true once for each new data of a node. */
    public boolean isNewBadData(String name, byte[] data) {
        int hash = Arrays.hashCode(data);
        Integer before = badDataHashes.put(name, hash);
        return before == null || before != hash;
    }

    /** Records that a node was deleted. */
    public void nodeDeleted(Duration now, String name) {
        lastHeardAt = now;
        Entry entry = entries.get(name);
        if (entry == null || !entry.present) {
            return;
        }
        entry.present = false;
        recentDeletions.addLast(now);
        discardOldDeletions(now);
        if (!massDisappearance && exceedsMassShare()) {
            massDisappearance = true;
            massDisappearances++;
            // Runners of the same wave that were already reported as gone are held too, unless they were
            // draining.
            entries.forEach((each, e) -> {
                if (e != entry
                        && !e.present
                        && e.heldSince == null
                        && e.reportedHealth == Health.GONE
                        && !e.runner.draining()) {
                    hold(now, each, e);
                }
            });
        }
        if (massDisappearance && !entry.runner.draining()) {
            hold(now, name, entry);
        } else {
            report(name, entry, Health.GONE);
        }
    }

    /** Records the result of a probe of a held runner. */
    public void probeCompleted(Duration now, String name, boolean answered) {
        Entry entry = entries.get(name);
        if (entry == null || entry.heldSince == null) {
            return;
        }
        if (!answered) { // the probe confirms the deletion: the runner is gone
            entry.heldSince = null;
            report(name, entry, Health.GONE);
        } else {
            report(name, entry, Health.UP);
        }
    }

    /** Ends holds that have expired, and forgets runners that are gone. */
    public void tick(Duration now) {
        discardOldDeletions(now);
        entries.forEach((name, entry) -> {
            if (entry.heldSince != null && now.compareTo(entry.heldSince.plus(rules.hold)) >= 0) {
                entry.heldSince = null;
                report(name, entry, Health.GONE);
            }
        });
        if (massDisappearance && entries.values().stream().noneMatch(e -> e.heldSince != null)) {
            massDisappearance = false;
            recentDeletions.clear();
        }
        entries.values()
                .removeIf(
                        e -> !e.present && e.heldSince == null && e.reportedHealth == Health.GONE && changes.isEmpty());
    }

    // ---- Resulting changes.

    private boolean exceedsMassShare() {
        long known = entries.values().stream()
                        .filter(e -> e.present || e.heldSince != null)
                        .count()
                + recentDeletions.size();
        return recentDeletions.size() >= rules.massMinimum && recentDeletions.size() > rules.massShare * known;
    }

    private void discardOldDeletions(Duration now) {
        while (!recentDeletions.isEmpty() && now.minus(recentDeletions.peek()).compareTo(rules.sessionTimeout) > 0) {
            recentDeletions.poll();
        }
    }

    /**
     * Holds a runner; it is reported as draining, so that it receives no requests until a probe was
     * answered.
     */
    private void hold(Duration now, String name, Entry entry) {
        entry.heldSince = now;
        held++;
        report(name, entry, Health.DRAINING);
    }

    private void release(String name, Entry entry) {
        entry.heldSince = null;
        report(name, entry, entry.runner.draining() ? Health.DRAINING : Health.UP);
    }

    private void report(String name, Entry entry, Health health) {
        if (entry.reportedHealth == health && entry.runner.equals(entry.reportedRunner)) {
            return;
        }
        entry.reportedHealth = health;
        entry.reportedRunner = entry.runner;
        changes.add(new Change(name, entry.runner, health));
    }

    /** The changes since the previous call. */
    public List<Change> changes() {
        List<Change> all = List.copyOf(changes);
        changes.clear();
        return all;
    }

    /** The held runners. All of them are to be probed, whether or not they have answered a probe before. */
    public List<String> toProbe() {
        List<String> all = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.heldSince != null) {
                all.add(name);
            }
        });
        return all;
    }

    /**
     * How far the list can be trusted: 1 while connected, then falling linearly to 0 over {@link
     * Rules#fade}.
     */
    public double trust(Duration now) {
        if (link == Link.CONNECTED) {
            return 1;
        } else if (lastHeardAt == null) {
            return 0;
        }
        double age = now.minus(lastHeardAt).toNanos() / (double) rules.fade.toNanos();
        return Math.max(0, 1 - age);
    }

    /** Whether a mass disappearance is in progress. */
    public boolean isMassDisappearance() {
        return massDisappearance;
    }

    /** Number of reads whose data could not be parsed. */
    public long unreadableNodes() {
        return unreadableNodes;
    }

    /** Number of mass disappearances so far. */
    public long massDisappearances() {
        return massDisappearances;
    }

    /** Number of times that a runner was held. */
    public long held() {
        return held;
    }
}
