package saltdale.rig.plan;

import saltdale.model.Workload;

/**
 * A workload of a scenario.
 *
 * @param workload the settings that the dispatchers receive
 * @param share its weight among the workloads when client requests are generated
 * @param size distribution of the work per assignment, which the dispatchers don't know
 */
public record PlannedWorkload(Workload workload, double share, SizeDistribution size) {
    public String name() {
        return workload.name;
    }
}
