package saltdale.rig.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import saltdale.model.LoadReport;
import saltdale.rig.plan.Make;

/**
 * What a runner does with the work that it gets, without I/O or a clock: it is told the time, and tells its
 * face what has come of each job. Running jobs share the cores; what disturbs it changes their rate from that
 * moment on.
 *
 * Between two changes all rates stand still, so that the next end is known; warming up goes in small steps.
 */
public final class RunnerModel {
    /** How a runner meets a job that is handed to it. */
    public enum Offer {
        TAKEN,
        FULL,
        DRAINING,
        ERROR,
        FELL
    }

    /** How a job that was taken ends, unless it is taken back; shed: done, and told as returned. */
    public enum End {
        DONE,
        SHED,
        FAILED,
        RETURNED,
        LOST
    }

    /** Whom it tells what has come of the jobs that it took. */
    public interface Told {
        void started(Duration at, Work work);

        void running(Duration at, Work work, double share);

        void ended(Duration at, Work work, End how);
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final int WARM_STEPS = 64;
    private static final long QUICK_ERROR = 1_000_000; // ns until a quick error

    private record Figures(long at, int waiting, int running) {}

    public final Make make;
    private final Told told;
    private final SplittableRandom chance;
    private final Receipts.Shared receipts;
    private final ColdBudget cold;
    private final List<Work> running = new ArrayList<>();
    private final List<Work> waiting = new ArrayList<>();
    private final Deque<Figures> past = new ArrayDeque<>();
    private Condition condition = Condition.GOOD;
    private long now;
    private long bornAt = Long.MIN_VALUE;
    private long warmStepAt = NEVER;
    private boolean up = true;
    private boolean draining;
    private boolean fallen;
    private boolean telling;
    private double rate; // of each running job, seconds of work a second

    /**
     * @param receipts null where it remembers none
     * @param tipMultiple what it is sent over {@code fall}, beyond this multiple of what it can do in that
     *     time, pushes it over while it is cold; 0 where nothing does
     * @param meanWork of an assignment, by which that is counted
     */
    public RunnerModel(
            Make make,
            Receipts.Shared receipts,
            double tipMultiple,
            Duration fall,
            double meanWork,
            SplittableRandom chance,
            Told told) {
        this.make = make;
        this.receipts = receipts;
        this.chance = chance;
        this.told = told;
        this.cold = tipMultiple == 0 ? null : new ColdBudget(tipMultiple, fall, meanWork);
    }

    public boolean isUp() {
        return up && !fallen;
    }

    public boolean isDraining() {
        return draining;
    }

    /** Pushed over while it was cold: it stays down until it is started anew. */
    public boolean hasFallen() {
        return fallen;
    }

    public int held() {
        return running.size() + waiting.size();
    }

    public int waiting() {
        return waiting.size();
    }

    /** When it last started; null for long ago. */
    public Duration bornAt() {
        return bornAt == Long.MIN_VALUE ? null : Duration.ofNanos(bornAt);
    }

    /** The share of its full capacity that it has by now. */
    public double warmth(Duration at) {
        return warmth(at.toNanos());
    }

    private double warmth(long at) {
        double within = make.warmWithin().toNanos();
        return bornAt == Long.MIN_VALUE || at - bornAt >= within
                ? 1
                : make.coldFrom() + (1 - make.coldFrom()) * Math.max(0, (at - bornAt) / within);
    }

    /** When it has something to tell or to change by itself; null for never. */
    public Duration nextAt() {
        long next = nextNanos();
        return next == NEVER ? null : Duration.ofNanos(next);
    }

    private long nextNanos() {
        long next = running.isEmpty() ? NEVER : warmStepAt;
        for (Work each : running) {
            long end = rate <= 0 ? NEVER : now + Math.max(0, (long) Math.ceil(each.left / rate * 1e9));
            next = Math.min(next, Math.min(end, rate <= 0 ? NEVER : each.tellAt));
        }
        return next;
    }

    /** Lives until this time; what happens by then is told in its order. */
    public void advance(Duration to) {
        if (telling) {
            return; // guards against a face that asks for a report while it is told: each end is told once
        }
        long until = to.toNanos();
        telling = true;
        try {
            for (long next = nextNanos(); next <= until && next != NEVER; next = nextNanos()) {
                pass(next);
                step();
            }
            pass(until);
        } finally {
            telling = false;
        }
    }

    private void pass(long to) {
        double done = rate * (to - now) / 1e9;
        if (done > 0) {
            for (Work each : running) {
                each.left -= done;
            }
        }
        now = Math.max(now, to);
    }

    private void step() {
        if (warmStepAt <= now) {
            long stride = make.warmWithin().toNanos() / WARM_STEPS;
            warmStepAt = warmth(now) >= 1 ? NEVER : now + stride;
        }
        for (Work each : List.copyOf(running)) {
            if (each.left <= 1e-9) {
                running.remove(each);
                boolean shed = condition.lateSheds() > 0 && chance.nextDouble() < condition.lateSheds();
                told.ended(time(), each, each.fails ? End.FAILED : shed ? End.SHED : End.DONE);
            } else if (each.tellAt <= now) {
                each.tellAt = now + make.progressEvery().toNanos();
                told.running(time(), each, Math.min(1, 1 - each.left / each.whole));
            }
        }
        begin();
        changed();
    }

    /** Hands it a job. What it turns away has cost it nothing but, while it is cold, part of its budget. */
    public Offer offer(Duration at, Work work) {
        advance(at);
        if (!isUp()) {
            throw new IllegalStateException("a runner that is down takes no calls");
        }
        if (cold != null && warmth(now) < 1 && cold.over(now, warmth(now) * make.capacity())) {
            fall();
            return Offer.FELL;
        } else if (draining) {
            return Offer.DRAINING;
        } else if (chance.nextDouble() < condition.errors()) {
            return Offer.ERROR;
        } else if (running.size() >= make.slots() && waiting.size() >= make.queue()) {
            return Offer.FULL;
        }
        work.whole = work.size * (chance.nextDouble() < condition.dearShare() ? condition.dearer() : 1);
        work.left = work.whole;
        waiting.add(work);
        begin();
        changed();
        return Offer.TAKEN;
    }

    private void begin() {
        while (running.size() < make.slots() && !waiting.isEmpty() && !condition.stalled()) {
            Work next = next();
            waiting.remove(next);
            next.tellAt = make.progressEvery().isZero()
                    ? NEVER
                    : now + make.progressEvery().toNanos();
            if (next.receipt != null
                    && receipts != null
                    && !receipts.of(next.workload).isNew(next.receipt, next.workload.dedupWindow, now)) {
                next.repeat = true;
                next.left = Math.min(next.left, QUICK_ERROR / 1e9);
            }
            running.add(next);
            told.started(time(), next);
        }
    }

    private Work next() {
        return switch (make.order()) {
            case FIFO -> waiting.get(0);
            case LIFO -> waiting.get(waiting.size() - 1);
            case SHORTEST ->
                waiting.stream().min(Comparator.comparingDouble(w -> w.left)).orElseThrow();
            case PRIORITY ->
                waiting.stream()
                        .min(Comparator.comparingDouble(w -> -w.workload.importance))
                        .orElseThrow(); // min keeps the first of equals
        };
    }

    /** Takes a job back; true where it is there no more: it was waiting, has ended, or stops. */
    public boolean takeBack(Duration at, String id, int from) {
        advance(at);
        boolean gone = waiting.removeIf(w -> w.id.equals(id) && w.from == from);
        boolean runs = running.stream().anyMatch(w -> w.id.equals(id) && w.from == from);
        if (runs && make.cancelStops()) {
            running.removeIf(w -> w.id.equals(id) && w.from == from);
            begin();
        }
        changed();
        return gone || !runs || make.cancelStops();
    }

    /** What disturbs it from now on. */
    public void condition(Duration at, Condition next) {
        advance(at);
        condition = next;
        begin();
        changed();
    }

    /** It wants nothing new; where it hands back, what has not begun ends as returned. */
    public void drain(Duration at, boolean handBack) {
        advance(at);
        draining = true;
        if (handBack) {
            for (Work each : List.copyOf(waiting)) {
                waiting.remove(each);
                told.ended(time(), each, End.RETURNED);
            }
        }
        changed();
    }

    /** The process dies; all that it held is lost. */
    public void stop(Duration at) {
        advance(at);
        up = false;
        loseAll();
    }

    /** It starts anew, cold. */
    public void start(Duration at) {
        advance(at);
        loseAll();
        up = true;
        draining = false;
        fallen = false;
        bornAt = now;
        warmStepAt = now;
        past.clear();
        if (cold != null) {
            cold.clear();
        }
        changed();
    }

    private void fall() {
        fallen = true;
        loseAll();
    }

    private void loseAll() {
        List<Work> all = new ArrayList<>(running);
        all.addAll(waiting);
        running.clear();
        waiting.clear();
        changed();
        all.forEach(each -> told.ended(time(), each, End.LOST));
    }

    private void changed() {
        int n = running.size();
        double cores = make.cores() * (1 - condition.coresTaken());
        double crowd = Math.max(0, (n + waiting.size()) / (double) make.cores() - make.thrashAt());
        rate = n == 0 || condition.stalled()
                ? 0
                : Math.min(1, cores / n)
                        * make.speed()
                        * warmth(now)
                        / condition.slower()
                        / (1 + make.thrash() * crowd);
        past.addLast(new Figures(now, waiting.size(), n));
        long old = now
                - 2
                        * (make.reportEvery().toNanos()
                                + make.reportDelay().toNanos()
                                + (long) (condition.reportLate() * 1e9));
        while (past.size() > 1 && second(past).at <= old) {
            past.removeFirst();
        }
    }

    private static Figures second(Deque<Figures> all) {
        var each = all.iterator();
        each.next();
        return each.next();
    }

    /** The load report as it is at this time: made anew now and then, and late. */
    public LoadReport report(Duration at) {
        advance(at);
        long seen = now - make.reportDelay().toNanos() - (long) (condition.reportLate() * 1e9);
        long every = make.reportEvery().toNanos();
        seen = every == 0 ? seen : seen / every * every;
        Figures figures = new Figures(0, 0, 0);
        for (Figures each : past) {
            if (each.at > seen) {
                break;
            }
            figures = each;
        }
        double queue = figures.waiting * condition.reportTimes();
        double inWork = figures.running * condition.reportTimes();
        return new LoadReport(
                queue,
                inWork + queue,
                Math.max(0, make.slots() - inWork),
                Math.min(1, inWork / make.cores()),
                Double.NaN);
    }

    private Duration time() {
        return Duration.ofNanos(now);
    }
}
