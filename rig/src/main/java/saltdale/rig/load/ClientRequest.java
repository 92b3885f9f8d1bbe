package saltdale.rig.load;

import java.time.Duration;
import saltdale.rig.plan.PlannedWorkload;

/**
 * A request of a client, with all its tries.
 *
 * @param number index in the order of intended times, from 0
 * @param intendedAt when the first try is due
 * @param plannedWorkload the workload that it belongs to
 * @param workSeconds its work, in seconds on one core of speed 1
 */
public record ClientRequest(long number, Duration intendedAt, PlannedWorkload plannedWorkload, double workSeconds) {}
