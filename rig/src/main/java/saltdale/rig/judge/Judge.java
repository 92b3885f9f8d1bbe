package saltdale.rig.judge;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import saltdale.model.Workload;
import saltdale.rig.fleet.ColdBudget;
import saltdale.rig.plan.Make;

/**
 * Judges the four rules by what was seen from outside. It is told in the order of time; a request is
 * forgotten once nothing about it can matter any more.
 */
public final class Judge implements Witness {
    private static final Duration CATCH_UP = Duration.ofMillis(250); // for all that came while it stood still
    private static final Duration SETTLES = Duration.ofSeconds(2); // until what a way held back has come
    private static final int MOST_TURNED_OFF = 200; // one request in so many, as the platform's judge has it
    private static final int KEPT = 200; // breaches told one by one; beyond that they are counted

    /** A dispatch as its runner saw it. */
    private static final class Seen {
        final int runner;
        final Duration at;
        boolean unstarted;
        boolean unseen; // on a disturbed way: when it was over can't be seen
        Duration overAt;

        Seen(int runner, Duration at) {
            this.runner = runner;
            this.at = at;
        }
    }

    private static final class Case {
        final String id;
        final Workload workload;
        final int dispatcher;
        final Duration deadline;
        final List<Seen> seen = new ArrayList<>(2);
        final Set<String> results = new HashSet<>(2);
        Duration endedAt;
        boolean answered;
        boolean excused;
        boolean cut;
        boolean turnedOff;
        int effects;

        Case(String id, Workload workload, int dispatcher, Duration deadline) {
            this.id = id;
            this.workload = workload;
            this.dispatcher = dispatcher;
            this.deadline = deadline;
        }

        Seen at(int runner) {
            for (int i = seen.size() - 1; i >= 0; i--) {
                if (seen.get(i).runner == runner) {
                    return seen.get(i);
                }
            }
            return null;
        }

        boolean mayHaveRun() {
            return seen.stream().anyMatch(s -> !s.unstarted);
        }
    }

    private record Word(Duration at, Health health, Duration bornAt) {}

    private static final class Life {
        Make make;
        Duration startedAt;
        ColdBudget budget;
        boolean told;
    }

    private final Terms terms;
    private final Duration memory;
    private final Map<String, Case> cases = new HashMap<>();
    private final Deque<Case> inOrder = new ArrayDeque<>();
    private final Map<Long, Word> words = new HashMap<>();
    private final Map<Integer, Life> lives = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final Map<Breach.Kind, Long> counts = new EnumMap<>(Breach.Kind.class);
    private final Map<Integer, Duration> stopped = new HashMap<>(); // dispatchers, since when
    private final Map<Integer, List<Runnable>> untold = new HashMap<>(); // what such a one was told meanwhile
    private final Map<Long, Duration> disturbed = new HashMap<>(); // ways, until when: the last is not yet over
    private long asked;
    private long answered;
    private long dispatches;
    private long turnedOff;
    private final Map<String, Integer> turnedOffBy = new TreeMap<>(); // dispatcher and tenth of a second
    private Duration wentOn = Duration.ZERO; // the last of those that were stopped

    /** {@code memory}: how long after its deadline something about a request may still come. */
    public Judge(Terms terms, Duration memory) {
        this.terms = terms;
        this.memory = memory;
    }

    public List<Breach> breaches() {
        return breaches;
    }

    public Map<Breach.Kind, Long> counts() {
        return counts;
    }

    public long broken() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }

    public long asked() {
        return asked;
    }

    /** How many requests got a whole final answer. */
    public long answered() {
        return answered;
    }

    public long dispatches() {
        return dispatches;
    }

    private void breach(Breach.Kind kind, Duration at, String about, String why) {
        if (counts.merge(kind, 1L, Long::sum) <= KEPT / 10 && breaches.size() < KEPT) {
            breaches.add(new Breach(kind, at, about, why));
        }
    }

    // ---- Clients.

    @Override
    public void asked(Duration at, String id, Workload workload, int dispatcher, Duration patience) {
        asked++;
        Case made = new Case(id, workload, dispatcher, at.plus(patience));
        cases.put(id, made);
        inOrder.add(made);
        forget(at);
    }

    @Override
    public void answered(Duration at, String id, Final how, String result) {
        Case about = cases.get(id);
        if (about == null) {
            return;
        }
        if (about.answered) {
            breach(Breach.Kind.ANSWERED_TWICE, at, id, "another final answer, " + how);
            return;
        }
        answered++;
        about.answered = true;
        Duration last = about.deadline.plus(terms.answerGrace()).plus(terms.slack());
        if (at.compareTo(last) > 0 && !about.excused) {
            breach(Breach.Kind.ANSWERED_LATE, at, id, ms(at.minus(about.deadline)) + " after patience ended");
        }
        about.endedAt = at;
        if (how == Final.FULFILLED && !about.results.contains(result)) {
            breach(Breach.Kind.ANSWER_NOBODY_MADE, at, id, "no runner made this result for it");
        } else if (how == Final.SHED && !mayShed(about)) {
            breach(Breach.Kind.SHED_AFTER_RUN, at, id, about.workload.repeatSafety + " and may have run");
        } else if (how == Final.GIVEN_UP) {
            heldBack(at, about);
        }
    }

    /** Rule 2: a shed reply says that trying again is harmless. */
    private static boolean mayShed(Case about) {
        Workload w = about.workload;
        return w.repeatSafety == Workload.RepeatSafety.PURE
                || !about.mayHaveRun()
                || w.repeatSafety == Workload.RepeatSafety.RECEIPTED && w.dedupScope == Workload.DedupScope.ALL;
    }

    /**
     * What has been given up is answered at once: here nothing more could follow since its dispatch ended.
     */
    private void heldBack(Duration at, Case about) {
        if (about.workload.repeatSafety != Workload.RepeatSafety.EFFECTFUL || !about.mayHaveRun()) {
            return;
        }
        Duration over = Duration.ZERO;
        for (Seen seen : about.seen) {
            if (seen.overAt == null || seen.unseen) {
                return;
            }
            over = seen.overAt.compareTo(over) > 0 ? seen.overAt : over;
        }
        Duration most = terms.slack().plus(Duration.ofMillis(250));
        if (at.minus(over).compareTo(most) > 0 && at.compareTo(about.deadline) <= 0) {
            breach(
                    Breach.Kind.HELD_BACK,
                    at,
                    about.id,
                    "given up " + ms(at.minus(over)) + " after nothing could follow");
        }
    }

    @Override
    public void cut(Duration at, String id) {
        Case about = cases.get(id);
        if (about != null && about.endedAt == null) {
            about.endedAt = at;
            about.cut = true; // told at the end, since that its dispatcher was killed may be heard later
        }
    }

    @Override
    public void turnedOff(Duration at, String id) {
        Case about = cases.get(id);
        if (about != null && about.endedAt == null) {
            about.turnedOff = true; // counted at the end, since that its dispatcher was killed may be heard later
            about.endedAt = at;
        }
    }

    @Override
    public void left(Duration at, String id) {
        Case about = cases.get(id);
        if (about != null && about.endedAt == null) {
            about.excused = true;
            about.endedAt = at;
        }
    }

    @Override
    public void killed(Duration at, int dispatcher) {
        for (Case each : cases.values()) {
            if (each.dispatcher == dispatcher && !each.answered) {
                each.excused = true;
            }
        }
        words.keySet().removeIf(key -> (int) (key >> 32) == dispatcher); // what it was told went with it
    }

    @Override
    public void stopped(Duration at, int dispatcher) {
        stopped.putIfAbsent(dispatcher, at);
        untold.putIfAbsent(dispatcher, new ArrayList<>());
    }

    /**
     * What should have had its answer while it stood still, or so soon after that it could hardly be read first, is not
     * its fault; nor is what it was told meanwhile, which counts from now.
     */
    @Override
    public void wentOn(Duration at, int dispatcher) {
        Duration since = stopped.remove(dispatcher);
        if (since == null) {
            return;
        }
        Duration stood = at.minus(since);
        Duration until = at.plus(stood.compareTo(CATCH_UP) < 0 ? stood : CATCH_UP);
        for (Case each : cases.values()) {
            if (each.dispatcher == dispatcher && !each.answered && each.deadline.compareTo(until) <= 0) {
                each.excused = true;
            }
        }
        wentOn = at;
        untold.remove(dispatcher).forEach(Runnable::run);
    }

    @Override
    public void way(Duration at, int runner, int dispatcher, boolean free) {
        disturbed.put(key(dispatcher, runner), free ? at.plus(SETTLES) : Duration.ofSeconds(Long.MAX_VALUE));
        if (!free) { // what is called off there can't be seen from now on
            for (Case each : cases.values()) {
                Seen seen = each.dispatcher == dispatcher ? each.at(runner) : null;
                if (seen != null && seen.overAt == null) {
                    seen.overAt = at;
                    seen.unseen = true;
                }
            }
        }
    }

    /**
     * Whether what comes at a runner by this way may be late, or can't be called off, without a fault of the
     * sender.
     */
    private boolean isDisturbed(Duration at, int runner, int dispatcher) {
        Duration until = disturbed.get(key(dispatcher, runner));
        return until != null && at.compareTo(until) < 0;
    }

    // ---- Runners.

    @Override
    public void reached(Duration firstByte, Duration at, String id, int runner, int dispatcher, double work) {
        dispatches++;
        reachedCold(at, runner, dispatcher);
        boolean late = isDisturbed(at, runner, dispatcher);
        if (!late) {
            drained(firstByte, id, runner, dispatcher);
        }
        Case about = cases.get(id);
        if (about == null) {
            return; // asked at a moment that a client's clock gives later, or long over
        }
        Workload w = about.workload;
        if (!w.zones.isEmpty() && !w.zones.contains(terms.zones()[runner])
                || !w.machineTypes.isEmpty() && !w.machineTypes.contains(terms.kinds()[runner])) {
            breach(
                    Breach.Kind.MISPLACED,
                    at,
                    id,
                    "dispatched to runner " + runner + " of zone " + terms.zones()[runner] + " and kind "
                            + terms.kinds()[runner] + ", where " + w.name + " may not run");
        }
        Duration over = about.endedAt == null ? null : about.endedAt.plus(terms.slack());
        Duration last = about.deadline.plus(terms.answerGrace()).plus(terms.slack());
        if (!late && (over != null && firstByte.compareTo(over) > 0 || firstByte.compareTo(last) > 0)) {
            breach(
                    Breach.Kind.SENT_AFTER_END,
                    at,
                    id,
                    "dispatched to runner " + runner + " by dispatcher " + dispatcher
                            + ", " + ms(firstByte.minus(about.endedAt == null ? about.deadline : about.endedAt))
                            + " after " + (about.endedAt == null ? "patience ended" : "its end"));
        }
        repeated(at, about, runner, late);
        Seen seen = new Seen(runner, at);
        seen.overAt = late ? at : null;
        seen.unseen = late;
        about.seen.add(seen);
    }

    private void repeated(Duration at, Case about, int runner, boolean late) {
        Workload w = about.workload;
        for (Seen earlier : about.seen) {
            if (earlier.overAt == null && !earlier.unstarted && !terms.parallel() && !late) {
                breach(
                        Breach.Kind.TWO_OUT,
                        at,
                        about.id,
                        "dispatched to runner " + runner + " while one is out at " + earlier.runner);
            }
            if (earlier.unstarted || w.repeatSafety == Workload.RepeatSafety.PURE) {
                continue;
            }
            if (w.repeatSafety == Workload.RepeatSafety.EFFECTFUL) {
                breach(Breach.Kind.REPEATED_EFFECTFUL, at, about.id, "it may have run at runner " + earlier.runner);
            } else if (!sameGroup(w, earlier.runner, runner)) {
                breach(
                        Breach.Kind.OUTSIDE_GROUP,
                        at,
                        about.id,
                        "it may have run at runner " + earlier.runner + ", whose receipts runner " + runner
                                + " does not know");
            } else if (!late && at.compareTo(earlier.at.plus(w.dedupWindow).plus(terms.slack())) > 0) {
                breach(Breach.Kind.AFTER_WINDOW, at, about.id, "its receipt was forgotten by then");
            }
        }
    }

    private boolean sameGroup(Workload w, int one, int other) {
        return switch (w.dedupScope) {
            case ALL -> true;
            case ZONE -> terms.zones()[one].equals(terms.zones()[other]);
            case CELL -> terms.cells()[one] == terms.cells()[other];
        };
    }

    private void drained(Duration firstByte, String id, int runner, int dispatcher) {
        Word word = words.get(key(dispatcher, runner));
        if (word == null
                || word.health == Health.UP
                || firstByte.compareTo(word.at.plus(terms.drainGrace()).plus(terms.slack())) <= 0) {
            return;
        }
        breach(
                word.health == Health.GONE ? Breach.Kind.SENT_TO_GONE : Breach.Kind.SENT_TO_DRAINING,
                firstByte,
                id,
                "dispatcher " + dispatcher + " was told of runner " + runner + " "
                        + ms(firstByte.minus(word.at))
                        + " before");
    }

    private void reachedCold(Duration at, int runner, int dispatcher) {
        Life life = lives.get(runner);
        if (life == null || life.budget == null) {
            return;
        }
        Duration age = at.minus(life.startedAt);
        Duration within = life.make.warmWithin();
        if (age.compareTo(within) >= 0) {
            life.budget = null;
            return;
        }
        double share = life.make.coldFrom() + (1 - life.make.coldFrom()) * age.toNanos() / within.toNanos();
        Word word = words.get(key(dispatcher, runner));
        boolean told = word != null && word.bornAt != null && word.bornAt.compareTo(life.startedAt) >= 0;
        boolean over = life.budget.over(at.toNanos(), share * life.make.capacity(), told);
        if (over && life.budget.toldShare() >= 2.0 / 3 && !life.told) {
            life.told = true;
            breach(
                    Breach.Kind.COLD_PUSHED_OVER,
                    at,
                    "runner " + runner,
                    "sent more than " + terms.tipMultiple() + " times what it can do, " + ms(age) + " after its start");
        }
    }

    @Override
    public void unstarted(Duration at, String id, int runner) {
        Seen seen = seen(id, runner);
        if (seen != null) {
            seen.unstarted = !terms.fullProvesNothing();
            seen.overAt = at;
        }
    }

    @Override
    public void over(Duration at, String id, int runner) {
        Seen seen = seen(id, runner);
        if (seen != null && seen.overAt == null) {
            seen.overAt = at;
        }
    }

    private Seen seen(String id, int runner) {
        Case about = cases.get(id);
        return about == null ? null : about.at(runner);
    }

    @Override
    public void effect(Duration at, String id, int runner, String result) {
        Case about = cases.get(id);
        if (about == null) {
            return;
        }
        about.results.add(result);
        if (++about.effects > 1 && about.workload.repeatSafety != Workload.RepeatSafety.PURE) {
            breach(Breach.Kind.EFFECT_TWICE, at, id, "runner " + runner + " ran it, and another had");
        }
    }

    @Override
    public void made(Duration at, String id, String result) {
        Case about = cases.get(id);
        if (about != null) {
            about.results.add(result);
        }
    }

    @Override
    public void silent(Duration at, int runner) {
        for (Case each : cases.values()) {
            Seen seen = each.at(runner);
            if (seen != null && seen.overAt == null) {
                seen.overAt = at;
            }
        }
    }

    @Override
    public void started(Duration at, int runner, Make make) {
        Life life = new Life();
        life.make = make;
        life.startedAt = at;
        life.budget = new ColdBudget(terms.tipMultiple(), terms.fall(), terms.meanWork());
        lives.put(runner, life);
    }

    @Override
    public void told(Duration at, int dispatcher, int runner, Health health, Duration bornAt) {
        if (stopped.containsKey(dispatcher)) {
            untold.get(dispatcher).add(() -> told(wentOn, dispatcher, runner, health, bornAt));
            return;
        }
        // The first word that it is to be left alone counts; a later one of the same kind gives no new grace.
        words.merge(
                key(dispatcher, runner),
                new Word(at, health, bornAt),
                (old, next) -> old.health != Health.UP && next.health != Health.UP
                        ? new Word(old.at, next.health, next.bornAt)
                        : next);
    }

    private static long key(int dispatcher, int runner) {
        return (long) dispatcher << 32 | runner;
    }

    // ---- The end.

    private void forget(Duration now) {
        while (!inOrder.isEmpty() && now.compareTo(inOrder.peek().deadline.plus(memory)) > 0) {
            over(inOrder.poll());
        }
    }

    /** All has been told: what has no answer by now has none. */
    public void end() {
        while (!inOrder.isEmpty()) {
            over(inOrder.poll());
        }
        if (turnedOff * MOST_TURNED_OFF > asked) {
            breach(
                    Breach.Kind.LOST,
                    wentOn,
                    turnedOff + " requests",
                    "their new connections were closed with no answer: dispatcher " + turnedOffBy);
        }
    }

    private void over(Case each) {
        if (each.turnedOff) {
            if (!each.excused) {
                turnedOff++;
                turnedOffBy.merge(
                        each.dispatcher + " at " + each.endedAt.toMillis() / 100 / 10.0 + " s", 1, Integer::sum);
            }
        } else if (!each.answered
                && !each.excused
                && !stopped.containsKey(each.dispatcher)
                && (each.cut || each.endedAt == null)) {
            breach(
                    Breach.Kind.LOST,
                    each.cut ? each.endedAt : each.deadline,
                    each.id,
                    "dispatcher "
                            + each.dispatcher
                            + (each.cut ? " ended its connection with no whole answer" : " gave no final answer"));
        }
        cases.remove(each.id, each);
    }

    private static String ms(Duration span) {
        return span.toMillis() + " ms";
    }
}
