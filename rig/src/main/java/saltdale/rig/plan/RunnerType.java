package saltdale.rig.plan;

import java.time.Duration;

/**
 * The model of a type of runner.
 *
 * @param name name of the type, as dispatchers know it
 * @param share weight of this type in the fleet
 * @param cores number of cores
 * @param speed seconds of work that a core does per second
 * @param slots maximum number of running assignments; with more slots than cores they share the cores
 * @param queue maximum number of waiting assignments; further ones are rejected
 * @param order the order in which waiting assignments start
 * @param thrashFactor relative slowdown for each assignment per core beyond {@code thrashThreshold}
 * @param thrashThreshold assignments per core, running and waiting, above which the runner slows down
 * @param coldCapacityShare share of the full capacity right after a start
 * @param warmUpTime time from a start to the full capacity; the capacity grows linearly
 * @param reportInterval time between new load reports
 * @param reportDelay age of a load report when it is published
 * @param progressInterval time between progress reports of a running assignment; zero for none
 * @param cancelStopsRunning whether a cancellation also stops an assignment that is running already
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
    /** The order in which waiting assignments start. */
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

    /**
     * A type without queueing discipline other than FIFO, warm-up or report delay, for tests against closed formulas.
     */
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

    /** A copy with another cold capacity share and warm-up time. */
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

    /** A copy with another interval and delay of load reports. */
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

    /** Capacity when warm and without faults, in seconds of work per second. */
    public double capacity() {
        return Math.min(cores, slots) * speed;
    }
}
