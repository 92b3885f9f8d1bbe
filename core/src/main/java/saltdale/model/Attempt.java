package saltdale.model;

import java.time.Duration;

/** One attempt to execute a request: it is sent to one runner. */
public final class Attempt {
    public final Request request;
    public final Runner runner;
    public final Duration sentAt;
    /** The expected work, in slot seconds. */
    public final double work;
    /** The runner's load when it was chosen. */
    public final double runnerLoad;
    /** When the runner started it, as reported or inferred from progress; null until known. */
    public Duration startedAt;
    /** When the runner last reported progress; the time of sending until then. */
    public Duration lastProgressAt;
    /** How long its connection had been idle; null if a new one was opened. */
    public Duration connectionIdleTime;
    /** Null while it is pending. */
    public Outcome outcome;
    /** True if it was rejected by a runner that may have started it before. */
    public boolean ambiguousRejection;

    /** True once the dispatcher has decided to cancel it. */
    public boolean cancelPlanned;

    /** True once the cancellation has been sent. */
    public boolean cancelSent;

    public Attempt(Request request, Runner runner, Duration sentAt, double work, double runnerLoad) {
        this.request = request;
        this.runner = runner;
        this.sentAt = sentAt;
        this.work = work;
        this.runnerLoad = runnerLoad;
        this.lastProgressAt = sentAt;
    }

    /** True unless the outcome proves that it never ran. */
    public boolean mayHaveRun() {
        return outcome == null || ambiguousRejection || !outcome.neverRan();
    }
}
