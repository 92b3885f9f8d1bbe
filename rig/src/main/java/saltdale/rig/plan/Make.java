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
public record Make(
        String name,
        double share,
        int cores,
        double speed,
        int slots,
        int queue,
        Order order,
        double thrash,
        double thrashAt,
        double coldFrom,
        Duration warmWithin,
        Duration reportEvery,
        Duration reportDelay,
        Duration progressEvery,
        boolean cancelStops) {
    /** The order in which waiting jobs begin. */
    public enum Order {
        FIFO,
        LIFO,
        SHORTEST,
        PRIORITY
    }

    static Make read(Sheet sheet) {
        int cores = sheet.whole("cores", 2, 1, 1024);
        return new Make(
                sheet.text("name", "any"),
                sheet.number("share", 1, 0.0001, 1e6),
                cores,
                sheet.number("speed", 1, 0.001, 1000),
                sheet.whole("slots", cores, 1, 100_000),
                sheet.whole("queue", 16, 0, 1_000_000),
                sheet.word("order", Order.FIFO),
                sheet.number("thrash", 0, 0, 10),
                sheet.number("thrash_at", 4, 0, 1000),
                sheet.number("cold_from", 0.3, 0.01, 1),
                sheet.span("warm_within", Duration.ofSeconds(8)),
                sheet.span("report_every", Duration.ofMillis(100)),
                sheet.span("report_delay", Duration.ZERO),
                sheet.span("progress_every", Duration.ZERO),
                sheet.flag("cancel_stops", true));
    }

    /** One core, one slot, first come first served, always warm, reports at once: for closed forms. */
    public static Make plain(int cores, int queue) {
        return new Make(
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

    public Make warming(double from, Duration within) {
        return new Make(
                name,
                share,
                cores,
                speed,
                slots,
                queue,
                order,
                thrash,
                thrashAt,
                from,
                within,
                reportEvery,
                reportDelay,
                progressEvery,
                cancelStops);
    }

    public Make reporting(Duration every, Duration delay) {
        return new Make(
                name,
                share,
                cores,
                speed,
                slots,
                queue,
                order,
                thrash,
                thrashAt,
                coldFrom,
                warmWithin,
                every,
                delay,
                progressEvery,
                cancelStops);
    }

    /** Seconds of work a second, warm and undisturbed. */
    public double capacity() {
        return Math.min(cores, slots) * speed;
    }
}
