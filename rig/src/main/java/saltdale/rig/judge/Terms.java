package saltdale.rig.judge;

import java.time.Duration;
import saltdale.rig.plan.Day;

/**
 * The four rules in figures.
 *
 * @param slack by which each limit is longer where sockets and clocks come between
 * @param fullProvesNothing a runner may have begun what it turns away
 * @param meanWork of an assignment, seconds
 * @param zones of each runner, for what decides by group or place; likewise kinds and cells
 */
public record Terms(
        Duration answerGrace,
        Duration drainGrace,
        Duration slack,
        boolean parallel,
        boolean fullProvesNothing,
        double tipMultiple,
        Duration fall,
        double meanWork,
        String[] zones,
        String[] kinds,
        int[] cells) {
    public static Terms of(Day day, Duration slack) {
        String[] zones = new String[day.runners];
        String[] kinds = new String[day.runners];
        int[] cells = new int[day.runners];
        for (int i = 0; i < day.runners; i++) {
            zones[i] = day.zone(i);
            kinds[i] = day.make(i).name();
            cells[i] = day.cell(i);
        }
        return new Terms(
                day.answerGrace,
                day.drainGrace,
                slack,
                day.orders.parallelAttempts,
                day.orders.lateRejections,
                day.orders.coldLimitMultiple,
                day.orders.coldLimitWindow,
                day.meanSize(),
                zones,
                kinds,
                cells);
    }
}
