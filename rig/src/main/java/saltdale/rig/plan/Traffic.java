package saltdale.rig.plan;

import java.time.Duration;
import java.util.List;

/**
 * What clients send and how they behave. {@code rate} is first tries a second on average.
 *
 * @param utilisation where over 0, the rate is this share of what the fleet can do
 * @param swing of a shape: 0 is flat, 1 goes from nothing to twice the mean
 * @param period of a burst, swell or day
 * @param trace a file of recorded arrivals in place of the shape; null for none
 * @param retries further tries of a client after a failure
 * @param firstWait before the first further try; doubles with each
 * @param jitter share of the wait that is drawn at random
 * @param budget further tries may be this share of first tries at the most, over all clients; 1 means no
 *     bound
 * @param leave share of tries whose client goes away halfway through its patience
 * @param clients connections that stay open where there is nothing to do; 0: as many as needed
 * @param marks whether clients mark their repeats
 * @param heavy of the first dispatcher, so many times as much as of each other
 * @param peak null where there is none
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
    /** How the rate goes over time. */
    public enum Shape {
        STEADY,
        BURST,
        SWELL,
        STEP,
        DAY
    }

    static Traffic read(TomlTable table) {
        if (table.has("rate") && table.has("utilisation")) {
            throw table.invalid("rate", "wanted beside utilisation; give one of the two");
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
