package saltdale.rig.judge;

import java.time.Duration;
import saltdale.rig.plan.Day;

/**
 * The parameters of the dispatching rules.
 *
 * @param answerGrace how long after the client timeout an answer may still arrive
 * @param drainGrace how long after a list entry attempts may still reach a draining or removed runner
 * @param timingTolerance added to each time limit, for the delays of sockets and clocks
 * @param parallelAttempts true if a request may have several pending attempts
 * @param lateRejections true if a runner may have started the attempts that it rejects
 * @param coldLimitMultiple a cold runner may receive this multiple of its capacity
 * @param coldLimitWindow the time over which that limit is checked
 * @param meanWorkSeconds the mean work of a request
 * @param zones the zone of each runner, for deduplication scopes and placement
 * @param machineTypes the machine type of each runner, for placement
 * @param cells the cell of each runner, for deduplication scopes
 */
public record JudgeSettings(
        Duration answerGrace,
        Duration drainGrace,
        Duration timingTolerance,
        boolean parallelAttempts,
        boolean lateRejections,
        double coldLimitMultiple,
        Duration coldLimitWindow,
        double meanWorkSeconds,
        String[] zones,
        String[] machineTypes,
        int[] cells) {
    /** The settings for a day. */
    public static JudgeSettings of(Day day, Duration timingTolerance) {
        String[] zones = new String[day.runners];
        String[] machineTypes = new String[day.runners];
        int[] cells = new int[day.runners];
        for (int i = 0; i < day.runners; i++) {
            zones[i] = day.zone(i);
            machineTypes[i] = day.make(i).name();
            cells[i] = day.cell(i);
        }
        return new JudgeSettings(
                day.answerGrace,
                day.drainGrace,
                timingTolerance,
                day.orders.parallelAttempts,
                day.orders.lateRejections,
                day.orders.coldLimitMultiple,
                day.orders.coldLimitWindow,
                day.meanSize(),
                zones,
                machineTypes,
                cells);
    }
}
