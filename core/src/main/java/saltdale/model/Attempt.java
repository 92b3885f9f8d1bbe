package saltdale.model;

import java.time.Duration;

/** One sending of an assignment to a runner. */
public final class Attempt {
    public final Request request;
    public final Runner runner;
    public final Duration sentAt;
    /** The work expected of it, in slot seconds. */
    public final double work;
    /** The load of the runner when it was chosen. */
    public final double runnerLoad;
    /** Null until the runner says that the work has begun. */
    public Duration startedAt;
    /** When the runner was last heard to be working on it. */
    public Duration lastProgressAt;
    /** For how long the connection that it took had rested; null where one had to be opened. */
    public Duration connectionIdleTime;
    /** Null while it is out. */
    public Outcome outcome;
    /** It was turned away where that is no proof: such a runner may have begun it first. */
    public boolean ambiguousRejection;

    public boolean cancelPlanned;
    public boolean cancelSent;

    public Attempt(Request request, Runner runner, Duration sentAt, double work, double runnerLoad) {
        this.request = request;
        this.runner = runner;
        this.sentAt = sentAt;
        this.work = work;
        this.runnerLoad = runnerLoad;
        this.lastProgressAt = sentAt;
    }

    public boolean mayHaveRun() {
        return outcome == null || ambiguousRejection || !outcome.neverRan();
    }
}
