package saltdale.rig.plan;

import java.time.Duration;

/**
 * A make of runners.
 *
 * @param share of the fleet
 * @param cores that work at once
 * @param speed seconds of work a core does in a second
 * @param slots assignments in work at once; with more slots than cores they share the cores
 * @param queue assignments that wait beyond them; what comes then is turned away
 * @param order in which they wait
 * @param thrash time that each assignment costs more for each one held a core beyond {@code thrashAt}
 * @param coldFrom share of the full capacity right after a start
 * @param warmWithin until the full capacity, evenly
 * @param reportEvery load reports are made anew this often
 * @param reportDelay and are this old then
 * @param cancelStops whether a job that is taken back stops when it runs already
 */
public record RunnerType(
        String name,
        double share,
        int cores,
        double speed,
        int slots,
        int queue,
        Order order,
        double thrashFactor,
        double thrashThreshold,
        double coldCapacityShare,
        Duration warmUpTime,
        Duration reportInterval,
        Duration reportDelay,
        Duration progressInterval,
        boolean cancelStopsRunning) {
    /** The order in which waiting jobs begin. */
    public enum Order {
        FIFO,
        LIFO,
        SHORTEST,
        PRIORITY
    }

    static RunnerType read(TomlTable table) {
        int cores = table.integer("cores", 2, 1, 1024);
        return new RunnerType(
                table.string("name", "any"),
                table.number("share", 1, 0.0001, 1e6),
                cores,
                table.number("speed", 1, 0.001, 1000),
                table.integer("slots", cores, 1, 100_000),
                table.integer("queue", 16, 0, 1_000_000),
                table.enumValue("order", Order.FIFO),
                table.number("thrash", 0, 0, 10),
                table.number("thrash_at", 4, 0, 1000),
                table.number("cold_from", 0.3, 0.01, 1),
                table.duration("warm_within", Duration.ofSeconds(8)),
                table.duration("report_every", Duration.ofMillis(100)),
                table.duration("report_delay", Duration.ZERO),
                table.duration("progress_every", Duration.ZERO),
                table.bool("cancel_stops", true));
    }

    /** One core, one slot, first come first served, always warm, reports at once: for closed forms. */
    public static RunnerType plain(int cores, int queue) {
        return new RunnerType(
                "plain",
                1,
                cores,
                1,
                cores,
                queue,
                Order.FIFO,
                0,
                4,
                1,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                true);
    }

    public RunnerType withWarmUp(double from, Duration within) {
        return new RunnerType(
                name,
                share,
                cores,
                speed,
                slots,
                queue,
                order,
                thrashFactor,
                thrashThreshold,
                from,
                within,
                reportInterval,
                reportDelay,
                progressInterval,
                cancelStopsRunning);
    }

    public RunnerType withReporting(Duration every, Duration delay) {
        return new RunnerType(
                name,
                share,
                cores,
                speed,
                slots,
                queue,
                order,
                thrashFactor,
                thrashThreshold,
                coldCapacityShare,
                warmUpTime,
                every,
                delay,
                progressInterval,
                cancelStopsRunning);
    }

    /** Seconds of work a second, warm and undisturbed. */
    public double capacity() {
        return Math.min(cores, slots) * speed;
    }
}
