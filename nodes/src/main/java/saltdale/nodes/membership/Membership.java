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
 * Turns what is seen of nodes into what a dispatcher is told of runners. No I/O, no clock, no sockets: it is
 * told each thing with its time, and hands out the changes that follow.
 *
 * <p>A vanished node is a runner gone, at once. One exception: where more than {@link Rules#massShare} of the
 * nodes vanish within one session time-out, that is transaction for the service's own trouble: what vanishes then
 * is held, while probes say that it answers, for at most {@link Rules#hold}. A drain mark always counts at
 * once.
 */
public final class Membership {
    /** What a dispatcher is to be told of a runner. */
    public enum Health {
        UP,
        DRAINING,
        GONE
    }

    /** How the service can be heard. */
    public enum Link {
        CONNECTED,
        SUSPENDED,
        EXPIRED
    }

    /** One change, to be told once. */
    public record Change(String name, RunnerInfo runner, Health health) {}

    /**
     * @param sessionTimeout as negotiated with the service
     * @param massShare of the nodes, over which their vanishing is the service's trouble; 1 switches the hold
     *     off
     * @param massMinimum so few nodes are never a mass
     * @param hold how long a held runner is kept without its node, at the most
     * @param fade how long the list stands unheard until nothing of its trust is left
     */
    public record Rules(Duration sessionTimeout, double massShare, int massMinimum, Duration hold, Duration fade) {
        /** Ratios to the session's time-out. */
        public static Rules of(Duration sessionTimeout) {
            return new Rules(sessionTimeout, 0.3, 3, sessionTimeout.multipliedBy(3), sessionTimeout.multipliedBy(20));
        }
    }

    private static final class Entry {
        RunnerInfo runner;
        /** Its node is there, as far as is known. */
        boolean present = true;
        /** Null while it is not held. */
        Duration heldSince;
        /** What was told of it last; null before the first time. */
        Health reportedHealth;

        RunnerInfo reportedRunner;
    }

    private final Rules rules;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<Duration> recentDeletions = new ArrayDeque<>();
    /** Bad data that was logged already, by node; once is enough. */
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

    // ---- What is seen.

    public void linkChanged(Duration now, Link next) {
        // Silence says nothing about any runner: neither a suspended link nor an expired session changes an
        // entry.
        if (link == Link.CONNECTED && next != Link.CONNECTED) {
            lastHeardAt = now;
        }
        link = next;
    }

    /** All nodes as one pass of reading found them: what is not among them has vanished. */
    public void replaceAll(Duration now, Map<String, byte[]> nodes) {
        Set<String> missing = new HashSet<>(entries.keySet());
        missing.removeAll(nodes.keySet());
        nodes.forEach((name, data) -> nodeRead(now, name, data));
        // In the order of the entries, so that the same nodes give the same changes.
        List.copyOf(entries.keySet()).stream().filter(missing::contains).forEach(name -> nodeDeleted(now, name));
    }

    /** A node is there, with this data; true where its data could be read. */
    public boolean nodeRead(Duration now, String name, byte[] data) {
        lastHeardAt = now;
        RunnerInfo runner = RunnerInfo.read(data);
        Entry entry = entries.get(name);
        if (runner == null) {
            unreadableNodes++;
            if (entry != null && entry.runner != null) {
                entry.present = true; // the node before it stands
                release(name, entry);
            }
            return false;
        }
        if (entry == null) {
            entry = new Entry();
            entries.put(name, entry);
        }
        // Guards against an old tree: an earlier life of the same runner is no news.
        boolean older = entry.runner != null && runner.bornMillis() < entry.runner.bornMillis();
        if (!older) {
            entry.runner = runner;
        }
        entry.present = true;
        release(name, entry);
        return true;
    }

    /** Whether this bad data is worth a line in the log: once for each data of a node. */
    public boolean isNewBadData(String name, byte[] data) {
        int hash = Arrays.hashCode(data);
        Integer before = badDataHashes.put(name, hash);
        return before == null || before != hash;
    }

    /** A node is there no more. */
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
            // Those of the same wave that were told gone are held with the rest, unless they were draining.
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

    /** A probe of a held runner has come to this. */
    public void probeCompleted(Duration now, String name, boolean answered) {
        Entry entry = entries.get(name);
        if (entry == null || entry.heldSince == null) {
            return;
        }
        if (!answered) { // probes agree with the service: it is gone
            entry.heldSince = null;
            report(name, entry, Health.GONE);
        } else {
            report(name, entry, Health.UP);
        }
    }

    /** Time has passed. */
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

    // ---- What follows.

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

    /** Nothing goes to a held runner until a probe was answered: it is told as draining up to then. */
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

    /** The changes since this was last asked. */
    public List<Change> changes() {
        List<Change> all = List.copyOf(changes);
        changes.clear();
        return all;
    }

    /**
     * The held runners that are to be probed, since no answer of theirs is known yet or it is to be asked
     * again.
     */
    public List<String> toProbe() {
        List<String> all = new ArrayList<>();
        entries.forEach((name, entry) -> {
            if (entry.heldSince != null) {
                all.add(name);
            }
        });
        return all;
    }

    /** How much of the list is to be believed: 1 while it is heard, falling evenly to 0 over the fade. */
    public double trust(Duration now) {
        if (link == Link.CONNECTED) {
            return 1;
        } else if (lastHeardAt == null) {
            return 0;
        }
        double age = now.minus(lastHeardAt).toNanos() / (double) rules.fade.toNanos();
        return Math.max(0, 1 - age);
    }

    public boolean isMassVanishing() {
        return massDisappearance;
    }

    /** Counters: bad data, mass vanishings, runners held. */
    public long unreadableNodes() {
        return unreadableNodes;
    }

    public long massDisappearances() {
        return massDisappearances;
    }

    public long held() {
        return held;
    }
}
