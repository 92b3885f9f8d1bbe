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
 * nodes vanish within one session time-out, that is taken for the service's own trouble: what vanishes then
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
    public record Change(String name, Box box, Health health) {}

    /**
     * @param sessionTimeout as negotiated with the service
     * @param massShare of the nodes, over which their vanishing is the service's trouble; 1 switches the hold
     *     off
     * @param massLeast so few nodes are never a mass
     * @param hold how long a held runner is kept without its node, at the most
     * @param fade how long the list stands unheard until nothing of its trust is left
     */
    public record Rules(Duration sessionTimeout, double massShare, int massLeast, Duration hold, Duration fade) {
        /** Ratios to the session's time-out. */
        public static Rules of(Duration sessionTimeout) {
            return new Rules(sessionTimeout, 0.3, 3, sessionTimeout.multipliedBy(3), sessionTimeout.multipliedBy(20));
        }
    }

    private static final class Entry {
        Box box;
        /** Its node is there, as far as is known. */
        boolean present = true;
        /** Null while it is not held. */
        Duration heldSince;
        /** What was told of it last; null before the first time. */
        Health toldHealth;

        Box toldBox;
    }

    private final Rules rules;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Deque<Duration> goings = new ArrayDeque<>();
    /** Bad data that was logged already, by node; once is enough. */
    private final Map<String, Integer> badSeen = new HashMap<>();

    private final List<Change> changes = new ArrayList<>();
    private Link link = Link.SUSPENDED;
    private Duration heardAt;
    private boolean mass;
    private long bad;
    private long masses;
    private long held;

    public Membership(Rules rules) {
        this.rules = rules;
    }

    // ---- What is seen.

    public void link(Duration now, Link next) {
        // Silence says nothing about any box: neither a suspended link nor an expired session changes an
        // entry.
        if (link == Link.CONNECTED && next != Link.CONNECTED) {
            heardAt = now;
        }
        link = next;
    }

    /** All nodes as one pass of reading found them: what is not among them has vanished. */
    public void whole(Duration now, Map<String, byte[]> nodes) {
        Set<String> missing = new HashSet<>(entries.keySet());
        missing.removeAll(nodes.keySet());
        nodes.forEach((name, data) -> seen(now, name, data));
        // In the order of the entries, so that the same nodes give the same changes.
        List.copyOf(entries.keySet()).stream().filter(missing::contains).forEach(name -> vanished(now, name));
    }

    /** A node is there, with this data; true where its data could be read. */
    public boolean seen(Duration now, String name, byte[] data) {
        heardAt = now;
        Box box = Box.read(data);
        Entry entry = entries.get(name);
        if (box == null) {
            bad++;
            if (entry != null && entry.box != null) {
                entry.present = true; // the node before it stands
                release(name, entry);
            }
            return false;
        }
        if (entry == null) {
            entry = new Entry();
            entries.put(name, entry);
        }
        // Guards against an old tree: an earlier life of the same box is no news.
        boolean older = entry.box != null && box.bornMillis() < entry.box.bornMillis();
        if (!older) {
            entry.box = box;
        }
        entry.present = true;
        release(name, entry);
        return true;
    }

    /** Whether this bad data is worth a line in the log: once for each data of a node. */
    public boolean worthLogging(String name, byte[] data) {
        int hash = Arrays.hashCode(data);
        Integer before = badSeen.put(name, hash);
        return before == null || before != hash;
    }

    /** A node is there no more. */
    public void vanished(Duration now, String name) {
        heardAt = now;
        Entry entry = entries.get(name);
        if (entry == null || !entry.present) {
            return;
        }
        entry.present = false;
        goings.addLast(now);
        trim(now);
        if (!mass && isMass()) {
            mass = true;
            masses++;
            // Those of the same wave that were told gone are held with the rest, unless they were draining.
            entries.forEach((each, e) -> {
                if (e != entry
                        && !e.present
                        && e.heldSince == null
                        && e.toldHealth == Health.GONE
                        && !e.box.draining()) {
                    hold(now, each, e);
                }
            });
        }
        if (mass && !entry.box.draining()) {
            hold(now, name, entry);
        } else {
            tell(name, entry, Health.GONE);
        }
    }

    /** A probe of a held runner has come to this. */
    public void probed(Duration now, String name, boolean answered) {
        Entry entry = entries.get(name);
        if (entry == null || entry.heldSince == null) {
            return;
        }
        if (!answered) { // probes agree with the service: it is gone
            entry.heldSince = null;
            tell(name, entry, Health.GONE);
        } else {
            tell(name, entry, Health.UP);
        }
    }

    /** Time has passed. */
    public void tick(Duration now) {
        trim(now);
        entries.forEach((name, entry) -> {
            if (entry.heldSince != null && now.compareTo(entry.heldSince.plus(rules.hold)) >= 0) {
                entry.heldSince = null;
                tell(name, entry, Health.GONE);
            }
        });
        if (mass && entries.values().stream().noneMatch(e -> e.heldSince != null)) {
            mass = false;
            goings.clear();
        }
        entries.values()
                .removeIf(e -> !e.present && e.heldSince == null && e.toldHealth == Health.GONE && changes.isEmpty());
    }

    // ---- What follows.

    private boolean isMass() {
        long known = entries.values().stream()
                        .filter(e -> e.present || e.heldSince != null)
                        .count()
                + goings.size();
        return goings.size() >= rules.massLeast && goings.size() > rules.massShare * known;
    }

    private void trim(Duration now) {
        while (!goings.isEmpty() && now.minus(goings.peek()).compareTo(rules.sessionTimeout) > 0) {
            goings.poll();
        }
    }

    /** Nothing goes to a held runner until a probe was answered: it is told as draining up to then. */
    private void hold(Duration now, String name, Entry entry) {
        entry.heldSince = now;
        held++;
        tell(name, entry, Health.DRAINING);
    }

    private void release(String name, Entry entry) {
        entry.heldSince = null;
        tell(name, entry, entry.box.draining() ? Health.DRAINING : Health.UP);
    }

    private void tell(String name, Entry entry, Health health) {
        if (entry.toldHealth == health && entry.box.equals(entry.toldBox)) {
            return;
        }
        entry.toldHealth = health;
        entry.toldBox = entry.box;
        changes.add(new Change(name, entry.box, health));
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
        } else if (heardAt == null) {
            return 0;
        }
        double age = now.minus(heardAt).toNanos() / (double) rules.fade.toNanos();
        return Math.max(0, 1 - age);
    }

    public boolean isMassVanishing() {
        return mass;
    }

    /** Counters: bad data, mass vanishings, runners held. */
    public long bad() {
        return bad;
    }

    public long masses() {
        return masses;
    }

    public long held() {
        return held;
    }
}
