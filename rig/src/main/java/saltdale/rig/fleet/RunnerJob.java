package saltdale.rig.fleet;

import saltdale.model.Workload;

/** An attempt as a job at its runner. */
public final class RunnerJob {
    /** The id of the request, the same for all its attempts. */
    public final String id;
    /** Identifies duplicates of a job; null if there is none. */
    public final String receipt;

    public final Workload workload;
    /** The run time on an otherwise idle core of speed 1, without disturbances. */
    public final double sizeSeconds;
    /** The number of the dispatcher that sent it and receives its events. */
    public final int dispatcher;
    /** Data of the owner of the runner model. */
    public Object attachment;

    double remainingSeconds;
    double totalSeconds;
    long nextProgressNanos = Long.MAX_VALUE;
    boolean fails;
    /** True if it was recognised as a duplicate: it ends with the first job's result and has no effect of its own. */
    boolean duplicate;

    public RunnerJob(String id, String receipt, Workload workload, double sizeSeconds, int dispatcher) {
        this.id = id;
        this.receipt = receipt;
        this.workload = workload;
        this.sizeSeconds = sizeSeconds;
        this.dispatcher = dispatcher;
    }

    /** True if its receipt has shown it to be a duplicate: then it has no effect when it is done. */
    public boolean isDuplicate() {
        return duplicate;
    }
}
