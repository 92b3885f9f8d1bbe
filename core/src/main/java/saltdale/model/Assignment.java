package saltdale.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A client's request, from its arrival to its final answer. */
public final class Assignment {
    /** The final answers that a dispatcher can give itself. */
    public enum Answer {
        SHED,
        GIVEN_UP
    }

    public final Workload workload;
    public final Duration arrivedAt;
    /** When the client's patience with this try ends. */
    public final Duration deadline;
    /** The client's tenant; null where there are none. */
    public Tenant tenant;
    /** The hinted running time at speed 1; null where there is none. */
    public Duration hint;

    public double slots = 1;
    public double memory;
    /** What it concerns, as a hash: runners may keep what such work needs. 0 where it is not told. */
    public long key;
    /** True for a client's repeat, where clients mark them. */
    public boolean repeated;

    public final List<Dispatch> dispatches = new ArrayList<>(2);
    /** The runners probed in the present search, and the load found at each. */
    public final List<Runner> probed = new ArrayList<>(4);

    public final List<Double> loads = new ArrayList<>(4);
    /** The loads, each with what a crossing to that runner's zone counts as. */
    public final List<Double> costs = new ArrayList<>(4);
    /** The runner whose probe is awaited, and since when. */
    public Runner asked;

    public Duration askedAt;
    /** True once the final answer is out, whoever gave it. */
    public boolean closed;
    /** The dispatch whose answer has begun to stream and so belongs to the client; null while none has. */
    public Dispatch stream;

    // What is wanted and not yet done; the dispatcher's settle() compares it with the above.
    public Runner wantedProbe;
    public Runner wantedRunner;
    public double wantedLoad;
    public Answer wantedAnswer;
    public Duration wantedPause;
    public Duration wantedLook;
    public Duration timerAt;
    /** A search made beside a dispatch that is out. */
    public boolean secondLook;

    public Duration lookGap;
    /** Drawn between 0 and 1 at its arrival, and anew when it has been held. */
    public double luck;

    public Assignment(Workload workload, Duration arrivedAt, Duration patience) {
        this.workload = workload;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(patience);
    }

    /** The first dispatch that is still out; null where none is. */
    public Dispatch pending() {
        for (Dispatch d : dispatches) {
            if (d.outcome == null) {
                return d;
            }
        }
        return null;
    }

    /** True once its answer is out and so is the outcome of each dispatch. */
    public boolean isOver() {
        return closed && pending() == null;
    }

    public Dispatch last() {
        return dispatches.get(dispatches.size() - 1);
    }

    public boolean sentTo(Runner runner) {
        for (Dispatch d : dispatches) {
            if (d.runner == runner) {
                return true;
            }
        }
        return false;
    }

    /** True where some dispatch may have run, for all that is known. */
    public boolean mayHaveRun() {
        for (Dispatch d : dispatches) {
            if (d.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    public void found(Runner runner, double load, double toll) {
        probed.add(runner);
        loads.add(load);
        costs.add(load + toll);
    }

    /** The least cost found in the present search; infinite where nothing has been. */
    public double leastCost() {
        return costs.stream().mapToDouble(cost -> cost).min().orElse(Double.POSITIVE_INFINITY);
    }

    public void forgetSearch() {
        probed.clear();
        loads.clear();
        costs.clear();
        wantedRunner = null;
        secondLook = false;
    }

    /** The client's patience with this try. */
    public Duration patience() {
        return deadline.minus(arrivedAt);
    }
}
