package saltdale.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** A worker machine: what the list says of it, and what this dispatcher has seen. */
public final class Runner {
    /** Whether the runner takes requests, as the list says. */
    public enum Mode {
        READY,
        DRAINING,
        GONE
    }

    /** Until when a workload is kept from it, and for how long that was. */
    record Refusal(Duration until, Duration gap) {}

    /** A hash of its name, alike at all dispatchers. */
    public long hash;

    // From the list.
    public String kind = "";
    /** What is known of its kind; set when a list first tells of it. */
    public Kind of = new Kind(null);

    public String zone = "";
    public double power = 1;
    /** Gone until a list names it; what the dispatcher has forgotten is gone as well. */
    public Mode mode = Mode.GONE;

    public int cell;
    /** Null: long ago. */
    public Duration startedAt;

    // Seen by this dispatcher.
    public final Set<Dispatch> out = new LinkedHashSet<>();
    public final Deque<Assignment> asking = new ArrayDeque<>();
    public LoadReport report = LoadReport.NONE;
    /** It has been sent to or has answered a probe. */
    public boolean known;
    /** Whether its recent dispatches failed. */
    public final Histogram failures = Histogram.ofOdds(16);
    /** How long our assignments ran on it beside what was expected, and when the last of them ended. */
    public final Pace pace = new Pace(16, null);

    public Duration pacedAt = Duration.ZERO;
    /** When a probe last found it busy; null once it was idle or ended a dispatch of ours. */
    public Duration busyAt;
    /** The workloads that it turned away while it was all but idle. */
    public final Map<Workload, Refusal> refused = new HashMap<>();
    /** The gap of the trickle to a runner set aside; null for a runner in good standing. */
    public Duration trickle;

    public Duration trickleAt = Duration.ZERO;
    /** Since it last was silent: until when it is passed over, and for how long that was; null once it is heard. */
    private Refusal silence;
    /** What was sent to it while it was cold. */
    public final Deque<Dispatch> coldSends = new ArrayDeque<>();

    /** When each of our connections to it that rest, for all we know, was last used. */
    private final Deque<Duration> resting = new ArrayDeque<>();

    /** For how long the connection that was used last has rested; null where none rests. */
    public Duration rested(Duration now) {
        return resting.isEmpty() ? null : now.minus(resting.peekLast());
    }

    /** Whether a connection of ours has rested for less than this, so that a dispatch need not open one. */
    public boolean isConnected(Duration now, Duration keeps) {
        return !resting.isEmpty() && rested(now).compareTo(keeps) < 0;
    }

    /** A dispatch takes the connection that was used last. */
    public void takesConnection() {
        resting.pollLast();
    }

    /** All that rest are closed, or taken to be. */
    public void closes() {
        resting.clear();
    }

    /** The connection of a dispatch rests again. */
    public void rests(Duration now, Duration idleClose) {
        while (!resting.isEmpty() && Spans.reached(now, resting.peekFirst().plus(idleClose))) {
            resting.pollFirst();
        }
        resting.addLast(now);
    }

    /** Takes over what the list says; a fresh process has no record. */
    public void sighted(Sighting s, Kind named) {
        if (s.mode() == Mode.GONE) {
            mode = Mode.GONE; // guards against entries that tell no more than this: its zone and cell still count
            return;
        }
        if (s.startedAt() != null && !s.startedAt().equals(startedAt)) {
            failures.clear();
            pace.clear();
            trickle = null;
            refused.clear();
            silence = null;
            resting.clear();
        }
        of = named;
        of.size = Math.max(of.size, s.power());
        pace.within = of.pace;
        kind = s.kind();
        zone = s.zone();
        power = s.power();
        cell = s.cell();
        startedAt = s.startedAt();
        mode = s.mode();
    }

    public boolean ready() {
        return mode == Mode.READY;
    }

    /** Whether any of these may run on it. */
    public boolean takesAny(Workload[] some) {
        for (Workload w : some) {
            if (w.mayRunOn(this)) {
                return true;
            }
        }
        return false;
    }

    /**
     * It turned this dispatch away: so it is full at that load or, all but idle, takes no such workload for now.
     * That is
     * tried again after the spell, then after gaps that double, up to four spells.
     */
    public void turnedAway(Duration now, Dispatch d, Duration spell) {
        if (d.load >= 1) {
            return;
        }
        refused.merge(d.assignment.workload, new Refusal(now.plus(spell), spell), (old, first) -> {
            Duration gap = Spans.least(old.gap.multipliedBy(2), spell.multipliedBy(4));
            return Spans.reached(now, old.until) ? new Refusal(now.plus(gap), gap) : old;
        });
    }

    /** Whether it turned away this workload, all but idle, so short a time ago that it need not be tried again. */
    public boolean refuses(Duration now, Workload workload) {
        Refusal refusal = refused.get(workload);
        return refusal != null && !Spans.reached(now, refusal.until);
    }

    /** It has not answered in time, or no way led to it: passed over for the spell, then for gaps that double. */
    public void unheard(Duration now, Duration spell) {
        if (silence == null || Spans.reached(now, silence.until)) {
            Duration gap = silence == null ? spell : Spans.least(silence.gap.multipliedBy(2), spell.multipliedBy(4));
            silence = new Refusal(now.plus(gap), gap);
        }
    }

    /** It has ended an assignment of this workload. */
    public void fulfilled(Workload workload) {
        refused.remove(workload);
        busyAt = null;
        heard();
    }

    public void heard() {
        silence = null;
    }

    /** Whether it was silent so short a time ago that it need not be asked again. */
    public boolean isSilent(Duration now) {
        return silence != null && !Spans.reached(now, silence.until);
    }

    /** Whether the last that was asked of it went unanswered. */
    public boolean isUnheard() {
        return silence != null;
    }

    /** How many of our dispatches it has not said to have begun. */
    public long waiting() {
        return notBegun().count();
    }

    /** The slots of our dispatches that it has not said to have begun. */
    public double slotsWaiting() {
        return notBegun().mapToDouble(d -> d.assignment.slots).sum();
    }

    /** Whether something of ours that was sent before then has not been said to have begun. */
    public boolean waitsSince(Duration then) {
        return notBegun().anyMatch(d -> d.sentAt.compareTo(then) < 0);
    }

    private Stream<Dispatch> notBegun() {
        return out.stream().filter(d -> d.startedAt == null);
    }

    /** The work sent to it while cold since then; what is older is dropped. */
    public double coldWork(Duration since) {
        while (!coldSends.isEmpty() && coldSends.peek().sentAt.compareTo(since) <= 0) {
            coldSends.poll();
        }
        double work = 0;
        for (Dispatch d : coldSends) {
            work += d.work;
        }
        return work;
    }
}
