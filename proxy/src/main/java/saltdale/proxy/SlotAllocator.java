package saltdale.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltdale.control.Configuration;
import saltdale.control.Demand;
import saltdale.control.Instance;
import saltdale.control.message.SlotMessage.HeldSlot;
import saltdale.probing.ProbeLoop;

/**
 * The home of one service in a zone: it lends the slots of the zone's runners, one to each call, so that no more are at
 * work than a runner takes, whoever asks. Which runner it is the design decides: probes of randomly drawn ones, the
 * first idle one, further only while that pays.
 */
final class SlotAllocator {
    /** A call that asks for a slot. */
    static final class Ask {
        final String key;
        final String life;
        final String host; // null: our own
        final long number;
        final String zone;
        final long until;
        final long target;
        final int priority;
        final Set<String> avoided;
        final int hops; // so often it was sent from zone to zone
        final long at;
        long toldAt; // that it waits; 0: not yet

        Ask(
                String key,
                String life,
                String host,
                long number,
                String zone,
                long until,
                long target,
                int priority,
                Set<String> avoided,
                int hops,
                long at) {
            this.key = key;
            this.life = life;
            this.host = host;
            this.number = number;
            this.zone = zone;
            this.until = until;
            this.target = target;
            this.priority = priority;
            this.avoided = avoided;
            this.hops = hops;
            this.at = at;
        }
    }

    /** What becomes of an ask. */
    interface Lender {
        void lend(Ask ask, Instance runner);

        /** Whether we are home for certain: who cannot know lends nothing. */
        boolean mayLend();

        /** It waits here for a slot. */
        void waits(Ask ask);

        /** There are runners, in another zone. */
        void elsewhere(Ask ask, String zone);

        /** It can't be in time: it may come back after so many milliseconds. */
        void none(Ask ask, long pauseMillis);
    }

    static final int MOST_HOPS = 3;
    static final long SETTLES = 60_000_000L;
    private static final double TAU = 2e9; // over which arrivals are averaged
    private static final double QUICK = 0.5e9; // the same, to see a burst at once
    private static final double LEAST = 0.4e9; // so long at least a home has counted before it believes its counts
    private final String service;
    private final String zone;
    private final ProbeLoop probes;
    private final SplittableRandom chance;
    private final Lender lender;
    private final Predicate<Instance> ours; // of our zone, or of one without members that we adopted
    private final Map<String, InstanceSlots> berths = new LinkedHashMap<>(); // of those that are ours
    private final Map<String, Instance> others = new LinkedHashMap<>(); // those with other homes
    private final List<Ask> queue = new ArrayList<>(); // as they came
    private double rate; // calls a second that come from our zone
    private double quick; // the same over a shorter time
    private long rateAt;
    private long ratedFrom = -1; // since when it counts; it begins anew after a long rest
    private long counted;
    private double run; // seconds that a call runs, on average
    private long busyAt;
    /** From when on it lends: those who lent before have ended by then, or said what is out. */
    long opensAt;

    SlotAllocator(
            String service,
            String zone,
            ProbeLoop probes,
            SplittableRandom chance,
            Predicate<Instance> ours,
            Lender lender,
            long opensAt) {
        this.service = service;
        this.zone = zone;
        this.probes = probes;
        this.chance = chance;
        this.ours = ours;
        this.lender = lender;
        this.opensAt = opensAt;
    }

    // What is known of runners.

    /** News of a runner; those that are not known any more are dropped. */
    void heard(Instance runner, long now) {
        if (!ours.test(runner)) {
            if (runner.phase().compareTo(Instance.Phase.LEAVING) < 0) {
                others.put(runner.id(), runner);
            } else {
                others.remove(runner.id());
            }
            return;
        }
        InstanceSlots berth = berths.get(runner.id());
        if (runner.phase() == Instance.Phase.GONE) {
            berths.remove(runner.id());
        } else if (berth == null) {
            berths.put(runner.id(), new InstanceSlots(runner, now));
        } else if (runner.phase().compareTo(berth.runner.phase()) > 0) {
            berth.runner = runner;
        }
        serve(now);
    }

    String service() {
        return service;
    }

    /** Says again to those who wait that they do: else they ask elsewhere. */
    void sayWaits(long now, long every) {
        for (Ask ask : queue) {
            if (now - ask.toldAt >= every) {
                ask.toldAt = now;
                lender.waits(ask);
            }
        }
    }

    /**
     * The crew has changed: what is no longer ours goes with its loans, what is ours now waits a moment for
     * others'.
     */
    List<HeldSlot> recrewed(long now, long opens) {
        List<HeldSlot> lost = new ArrayList<>();
        for (InstanceSlots berth : List.copyOf(berths.values())) {
            if (!ours.test(berth.runner)) {
                berths.remove(berth.runner.id());
                lost.addAll(loans(berth, now));
                others.put(berth.runner.id(), berth.runner);
            }
        }
        for (Instance r : List.copyOf(others.values())) {
            if (ours.test(r)) {
                others.remove(r.id());
                InstanceSlots berth = new InstanceSlots(r, now);
                berth.notBefore = now + opens;
                berths.put(r.id(), berth);
            }
        }
        serve(now);
        return lost;
    }

    InstanceSlots berth(String id) {
        return berths.get(id);
    }

    List<InstanceSlots> booting() {
        return berths.values().stream()
                .filter(b -> b.runner.phase() == Instance.Phase.BOOTING)
                .toList();
    }

    boolean isIdle() {
        return queue.isEmpty() && berths.isEmpty() && others.isEmpty() && rate == 0;
    }

    // Asks.

    void ask(Ask ask, boolean counts, Configuration.Service kind, long now) {
        if (counts) {
            decay(now);
            ratedFrom = ratedFrom < 0 ? now : ratedFrom;
            counted++;
            rate += 1e9 / TAU;
            quick += 1e9 / QUICK;
        }
        queue.add(ask);
        serve(now);
        if (!queue.contains(ask)) {
            return;
        }
        long wait = wait(kind, now);
        if (ask.priority >= 0 && now + wait > ask.until) {
            queue.remove(ask);
            lender.none(ask, Math.max(100, wait / 2_000_000));
            return;
        }
        ask.toldAt = now;
        lender.waits(ask);
    }

    private String elsewhere() {
        return others.values().stream()
                .min(Comparator.comparing(Instance::phase).reversed().thenComparing(Instance::zone))
                .map(Instance::zone)
                .orElse(null);
    }

    /** How long the last one in the queue is likely to wait. */
    private long wait(Configuration.Service kind, long now) {
        int slots = berths.values().stream()
                .filter(InstanceSlots::isUp)
                .mapToInt(b -> b.runner.slots())
                .sum();
        double boot = kind == null ? 0 : kind.bootMs() * 1e6;
        if (slots == 0) {
            long since = booting().stream().mapToLong(b -> b.since).min().orElse(now);
            return (long) Math.max(0.1 * boot, boot - (now - since));
        }
        // What is started for a longer queue takes part of it over, once it is up.
        double turns = queue.size() * run * 1e9 / slots;
        return (long) (boot == 0 || turns < boot ? turns : boot + (turns - boot) / 2);
    }

    /** It asks no longer. */
    void drop(String key, long now) {
        queue.removeIf(ask -> ask.key.equals(key));
        for (InstanceSlots berth : berths.values()) {
            if (berth.loans.remove(key) != null) {
                serve(now);
                return;
            }
        }
    }

    /** A lent slot comes back. */
    void back(String key, String id, Attempt.End end, long ranNanos, long now) {
        InstanceSlots berth = berths.get(id);
        if (berth == null) {
            return;
        }
        InstanceSlots.Loan loan = berth.loans.remove(key);
        if (end == Attempt.End.ABANDONED && loan != null) {
            // Guards against a runner that is sent the next call before it has seen this one's connection end.
            berth.loans.put(key, new InstanceSlots.Loan(loan.life(), loan.at(), now + SETTLES));
        }
        switch (end) {
            case ANSWERED -> {
                berth.ended(false);
                berth.rest = 0;
                double seconds = ranNanos / 1e9;
                run = run == 0 ? seconds : 0.95 * run + 0.05 * Math.min(seconds, 4 * run);
                probes.ended(seconds);
            }
            case TURNED_AWAY -> berth.rests(now, 30_000_000L, 500_000_000L); // another's work still holds its slots
            case NOT_CONNECTED -> berth.rests(now, 50_000_000L, 1_000_000_000L);
            case MISDIRECTED -> berths.remove(id);
            case BROKEN -> berth.ended(true);
            default -> {}
        }
        serve(now);
    }

    /** A slot that another home lent before us, or that we are told of again. */
    void held(String key, String life, String id, long until, long now) {
        InstanceSlots berth = berths.get(id);
        if (berth != null) {
            berth.loans.put(key, new InstanceSlots.Loan(life, now, until));
        }
    }

    /** Whoever asked is gone: what it was lent comes back after a moment, as runners see its connections end. */
    void gone(String life, long until) {
        queue.removeIf(ask -> ask.life.equals(life));
        for (InstanceSlots berth : berths.values()) {
            berth.loans.replaceAll((key, loan) -> loan.life().equals(life)
                    ? new InstanceSlots.Loan(life, loan.at(), Math.min(loan.until(), until))
                    : loan);
        }
    }

    /** Looks whether anything is due: asks that are over, loans that never came back. */
    void turn(long now) {
        queue.removeIf(ask -> ask.until <= now);
        for (InstanceSlots berth : berths.values()) {
            berth.loans.values().removeIf(loan -> loan.until() <= now);
        }
        serve(now);
    }

    /** Lends what is free to those who wait, in their order; where no runner of ours will come, they go elsewhere. */
    private void serve(long now) {
        if (now < opensAt || queue.isEmpty() || !lender.mayLend()) {
            return;
        }
        if (!hasRunners()) {
            String there = elsewhere();
            for (Ask ask : there == null
                    ? List.<Ask>of()
                    : queue.stream().filter(a -> a.hops < MOST_HOPS).toList()) {
                queue.remove(ask);
                lender.elsewhere(ask, there);
            }
            return;
        }
        if (berths.values().stream().noneMatch(b -> b.mayTake(now))) {
            return;
        }
        // Who can still be in time goes before who is late; calls of runners at work before all, since those hold
        // slots.
        List<Ask> order = new ArrayList<>(queue);
        long soon = now + (long) (run * 1e9);
        order.sort(Comparator.comparing((Ask a) -> a.priority >= 0 && a.target < soon)
                .thenComparing(a -> a.priority));
        for (Ask ask : order) {
            InstanceSlots berth = pick(ask, now);
            if (berth != null) {
                queue.remove(ask);
                berth.loans.put(ask.key, new InstanceSlots.Loan(ask.life, now, ask.until + SETTLES));
                berth.used = true;
                busyAt = now;
                lender.lend(ask, berth.runner);
                if (berths.values().stream().noneMatch(b -> b.mayTake(now))) {
                    return;
                }
            }
        }
    }

    // The design's draw: here all probes are of our own knowledge, which holds all that is lent.
    private InstanceSlots pick(Ask ask, long now) {
        List<InstanceSlots> ready = new ArrayList<>();
        int poor = 0;
        for (InstanceSlots berth : berths.values()) {
            if (berth.isUp() && !ask.avoided.contains(berth.runner.id())) {
                ready.add(berth);
                poor += berth.failing > InstanceSlots.POOR ? 1 : 0;
            }
        }
        // Guards against runners that fail often, unless most do: then it is not them.
        if (poor > 0 && 2 * poor <= ready.size()) {
            ready.removeIf(b -> b.failing > InstanceSlots.POOR && chance.nextDouble() > 0.05);
        }
        double shortest = Double.POSITIVE_INFINITY;
        int probed = 0;
        Set<InstanceSlots> seen = new HashSet<>();
        for (int i = 0; i < ready.size() && (probed == 0 || probes.worthAnother(probed, shortest)); i++) {
            java.util.Collections.swap(ready, i, i + chance.nextInt(ready.size() - i));
            InstanceSlots berth = ready.get(i);
            seen.add(berth);
            probed++;
            boolean idle = berth.mayTake(now);
            double load = load(berth, ready);
            probes.sawProbe(idle, load, 0);
            if (idle) {
                return berth;
            }
            shortest = Math.min(shortest, load);
        }
        // No probed runner has a free slot: any other that has, else the call waits here.
        return ready.stream()
                .filter(b -> !seen.contains(b) && b.mayTake(now))
                .findFirst()
                .orElse(null);
    }

    /** The calls waiting for it and in flight to it; one not yet sent to counts as the mean of the others. */
    private static double load(InstanceSlots berth, List<InstanceSlots> ready) {
        return berth.used
                ? berth.loans.size()
                : ready.stream()
                        .filter(b -> b.used)
                        .mapToInt(b -> b.loans.size())
                        .average()
                        .orElse(0);
    }

    // What is told to the control nodes.

    private void decay(long now) {
        rate *= Math.exp(-(now - rateAt) / TAU);
        quick *= Math.exp(-(now - rateAt) / QUICK);
        rateAt = now;
        if (rate < 0.01) {
            rate = 0;
            ratedFrom = -1;
            counted = 0;
        }
    }

    /** Calls a second: the average, or the last half second's where that is more than chance would have it. */
    private double rate(long now) {
        double lately = quick - 2 * Math.sqrt(quick);
        double young =
                now - ratedFrom < TAU ? (counted - 2 * Math.sqrt(counted)) * 1e9 / Math.max(LEAST, now - ratedFrom) : 0;
        return Math.max(rate, Math.max(lately, young));
    }

    /** The demand seen here; null where there is none. */
    Demand need(long now) {
        decay(now);
        int busy = berths.values().stream().mapToInt(b -> b.loans.size()).sum();
        return rate == 0 && busy == 0 && queue.isEmpty()
                ? null
                : new Demand(service, zone, rate(now), run, busy, queue.size(), (now - busyAt) / 1e9);
    }

    int waiting() {
        return queue.size();
    }

    boolean hasRunners() {
        return berths.values().stream().anyMatch(b -> b.runner.phase().compareTo(Instance.Phase.LEAVING) < 0);
    }

    /** All loans, for a home that takes over. */
    List<HeldSlot> loans(long now) {
        List<HeldSlot> all = new ArrayList<>();
        berths.values().forEach(berth -> all.addAll(loans(berth, now)));
        return all;
    }

    private List<HeldSlot> loans(InstanceSlots berth, long now) {
        List<HeldSlot> all = new ArrayList<>();
        berth.loans.forEach((key, loan) -> all.add(new HeldSlot(
                service, berth.runner.id(), key, loan.life(), Math.max(0, (loan.until() - now) / 1_000_000))));
        return all;
    }
}
