package saltdale.rig.plan;

import saltdale.model.Workload;

/**
 * A workload of a day: what the dispatchers are told of it, how much of it comes, and what they are not told.
 */
public record PlannedWorkload(Workload workload, double share, SizeDistribution size) {
    public String name() {
        return workload.name;
    }
}
