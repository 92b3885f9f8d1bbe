package saltdale.rig.load;

import java.time.Duration;
import saltdale.rig.plan.Job;

/**
 * One thing that a client wants: when it means to send its first try, of which job, how much work it is in
 * seconds.
 *
 * @param number in the order of intended times, from 0
 */
public record Ask(long number, Duration at, Job job, double size) {}
