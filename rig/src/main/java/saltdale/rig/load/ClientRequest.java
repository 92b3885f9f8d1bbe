package saltdale.rig.load;

import java.time.Duration;
import saltdale.rig.plan.PlannedWorkload;

/**
 * One thing that a client wants: when it means to send its first try, of which job, how much work it is in
 * seconds.
 *
 * @param number in the order of intended times, from 0
 */
public record ClientRequest(long number, Duration intendedAt, PlannedWorkload plannedWorkload, double workSeconds) {}
