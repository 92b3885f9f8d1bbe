package saltdale.rig.plan;

import java.time.Duration;
import java.util.List;

/**
 * The load that clients generate and their behaviour.
 *
 * @param shape the shape of the rate over time
 * @param rate mean number of first tries per second
 * @param utilisation if over 0, the rate is computed as this share of the capacity of the fleet
 * @param swing amplitude of the shape: 0 is constant, 1 varies from nothing to twice the mean
 * @param period period of a burst or swell, and the time of a step
 * @param trace file of recorded arrivals that replaces the shape; null for none
 * @param scale factor for the number of arrivals of the trace
 * @param splice sections of the trace to use and their new start times; empty for the whole trace
 * @param retries maximum number of retries of a client after a failure
 * @param initialBackoff delay before the first retry; doubles with each further one
 * @param jitter share of the delay that is random
 * @param retryBudget maximum ratio of retries to first tries over all clients; 1 means no limit
 * @param honoursRetryAfter whether clients wait at least as long as {@code Retry-After} asks for
 * @param abandonShare share of first tries whose client disconnects after half of its timeout
 * @param clients number of connections that stay open when idle; 0: as many as needed
 * @param marksRetries whether clients mark their retries
 * @param firstDispatcherWeight requests to the first dispatcher relative to each other dispatcher
 * @param peak load peak; null for none
 */
public record Traffic(
        Shape shape,
        double rate,
        double utilisation,
        double swing,
        Duration period,
        String trace,
        double scale,
        List<String> splice,
        int retries,
        Duration initialBackoff,
        double jitter,
        double retryBudget,
        boolean honoursRetryAfter,
        double abandonShare,
        int clients,
        boolean marksRetries,
        int firstDispatcherWeight,
        Peak peak) {
    /** The shape of the request rate over time. */
    public enum Shape {
        STEADY,
        BURST,
        SWELL,
        STEP,
        DAY
    }

    static Traffic read(TomlTable table) {
        if (table.has("rate") && table.has("utilisation")) {
            throw table.invalid("rate", "allowed together with utilisation; give one of the two");
        }
        return new Traffic(
                table.enumValue("shape", Shape.STEADY),
                table.number("rate", 100, 0.001, 1e6),
                table.number("utilisation", 0, 0.001, 10),
                table.number("swing", 0.5, 0, 1),
                table.duration("period", Duration.ofSeconds(10)),
                table.string("trace", null),
                table.number("scale", 1, 0.0001, 10000),
                table.strings("splice", List.of()),
                table.integer("retries", 0, 0, 100),
                table.duration("wait", Duration.ofMillis(50)),
                table.number("jitter", 0.5, 0, 1),
                table.number("budget", 1, 0, 1),
                table.bool("honours_pause", true),
                table.number("leave", 0, 0, 1),
                table.integer("clients", 0, 0, 1_000_000),
                table.bool("marks", false),
                table.integer("heavy", 1, 1, 100),
                table.has("peak") ? Peak.read(table.table("peak")) : null);
    }

    /** Traffic with a constant rate and without retries. */
    public static Traffic steady(double rate) {
        return new Traffic(
                Shape.STEADY,
                rate,
                0,
                0,
                Duration.ofSeconds(10),
                null,
                1,
                List.of(),
                0,
                Duration.ofMillis(50),
                0.5,
                1,
                true,
                0,
                0,
                false,
                1,
                null);
    }

    /** A copy with a fixed rate. */
    public Traffic withRate(double newRate) {
        return new Traffic(
                shape,
                newRate,
                0,
                swing,
                period,
                trace,
                scale,
                splice,
                retries,
                initialBackoff,
                jitter,
                retryBudget,
                honoursRetryAfter,
                abandonShare,
                clients,
                marksRetries,
                firstDispatcherWeight,
                peak);
    }

    /** A copy with another shape. */
    public Traffic withShape(Shape newShape, double newSwing, Duration newPeriod) {
        return new Traffic(
                newShape,
                rate,
                utilisation,
                newSwing,
                newPeriod,
                trace,
                scale,
                splice,
                retries,
                initialBackoff,
                jitter,
                retryBudget,
                honoursRetryAfter,
                abandonShare,
                clients,
                marksRetries,
                firstDispatcherWeight,
                peak);
    }

    /** A copy with another number of retries, initial backoff and retry budget. */
    public Traffic withRetries(int newRetries, Duration newInitialBackoff, double newBudget) {
        return new Traffic(
                shape,
                rate,
                utilisation,
                swing,
                period,
                trace,
                scale,
                splice,
                newRetries,
                newInitialBackoff,
                jitter,
                newBudget,
                honoursRetryAfter,
                abandonShare,
                clients,
                marksRetries,
                firstDispatcherWeight,
                peak);
    }
}
