package saltdale.rig.fleet;

import saltdale.model.Workload;

/** One dispatch as a runner has it. */
public final class RunnerJob {
    /** The request's id; the same for each dispatch of an assignment. */
    public final String id;
    /** The mark that shows a repeat; null where there is none. */
    public final String receipt;

    public final Workload workload;
    /** Seconds on one free core of speed 1, before what disturbs the runner. */
    public final double sizeSeconds;
    /** Whoever handed it over gets its news; by the dispatcher's number. */
    public final int dispatcher;
    /** What the face that holds the runner keeps with it. */
    public Object attachment;

    double left;
    double whole;
    long tellAt = Long.MAX_VALUE;
    boolean fails;
    /** Dropped as a repeat: it ends with the first one's result and has no effect of its own. */
    boolean repeat;

    public RunnerJob(String id, String receipt, Workload workload, double size, int from) {
        this.id = id;
        this.receipt = receipt;
        this.workload = workload;
        this.sizeSeconds = size;
        this.dispatcher = from;
    }

    /** Whether it had an effect once it was done: what a receipt has shown to be a repeat has none. */
    public boolean isDuplicate() {
        return repeat;
    }
}
