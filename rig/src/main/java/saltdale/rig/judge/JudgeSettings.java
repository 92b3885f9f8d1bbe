package saltdale.rig.judge;

import java.time.Duration;
import saltdale.rig.plan.Scenario;

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
    public static JudgeSettings of(Scenario day, Duration timingTolerance) {
        String[] zones = new String[day.runnerCount];
        String[] machineTypes = new String[day.runnerCount];
        int[] cells = new int[day.runnerCount];
        for (int i = 0; i < day.runnerCount; i++) {
            zones[i] = day.zone(i);
            machineTypes[i] = day.runnerType(i).name();
            cells[i] = day.cell(i);
        }
        return new JudgeSettings(
                day.answerGrace,
                day.drainGrace,
                timingTolerance,
                day.dispatcherSettings.parallelAttempts,
                day.dispatcherSettings.lateRejections,
                day.dispatcherSettings.coldLimitMultiple,
                day.dispatcherSettings.coldLimitWindow,
                day.meanWorkSeconds(),
                zones,
                machineTypes,
                cells);
    }
}
