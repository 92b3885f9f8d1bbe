package saltdale.model;

import java.time.Duration;

/** One sending of an assignment to a runner. */
public final class Dispatch {
    public final Assignment assignment;
    public final Runner runner;
    public final Duration sentAt;
    /** The work expected of it, in slot seconds. */
    public final double work;
    /** The load of the runner when it was chosen. */
    public final double load;
    /** Null until the runner says that the work has begun. */
    public Duration startedAt;
    /** When the runner was last heard to be working on it. */
    public Duration heardAt;
    /** For how long the connection that it took had rested; null where one had to be opened. */
    public Duration rested;
    /** Null while it is out. */
    public Outcome outcome;
    /** It was turned away where that is no proof: such a runner may have begun it first. */
    public boolean unproven;

    public boolean cancelWanted;
    public boolean cancelSent;

    public Dispatch(Assignment assignment, Runner runner, Duration sentAt, double work, double load) {
        this.assignment = assignment;
        this.runner = runner;
        this.sentAt = sentAt;
        this.work = work;
        this.load = load;
        this.heardAt = sentAt;
    }

    public boolean mayHaveRun() {
        return outcome == null || unproven || !outcome.neverRan();
    }
}
