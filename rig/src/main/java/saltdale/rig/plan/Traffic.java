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
        Duration firstWait,
        double jitter,
        double budget,
        boolean honoursPause,
        double leave,
        int clients,
        boolean marks,
        int heavy,
        Peak peak) {
    /** How the rate goes over time. */
    public enum Shape {
        STEADY,
        BURST,
        SWELL,
        STEP,
        DAY
    }

    static Traffic read(Sheet sheet) {
        if (sheet.has("rate") && sheet.has("utilisation")) {
            throw sheet.wrong("rate", "wanted beside utilisation; give one of the two");
        }
        return new Traffic(
                sheet.word("shape", Shape.STEADY),
                sheet.number("rate", 100, 0.001, 1e6),
                sheet.number("utilisation", 0, 0.001, 10),
                sheet.number("swing", 0.5, 0, 1),
                sheet.span("period", Duration.ofSeconds(10)),
                sheet.text("trace", null),
                sheet.number("scale", 1, 0.0001, 10000),
                sheet.texts("splice", List.of()),
                sheet.whole("retries", 0, 0, 100),
                sheet.span("wait", Duration.ofMillis(50)),
                sheet.number("jitter", 0.5, 0, 1),
                sheet.number("budget", 1, 0, 1),
                sheet.flag("honours_pause", true),
                sheet.number("leave", 0, 0, 1),
                sheet.whole("clients", 0, 0, 1_000_000),
                sheet.flag("marks", false),
                sheet.whole("heavy", 1, 1, 100),
                sheet.has("peak") ? Peak.read(sheet.part("peak")) : null);
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

    public Traffic at(double newRate) {
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
                firstWait,
                jitter,
                budget,
                honoursPause,
                leave,
                clients,
                marks,
                heavy,
                peak);
    }

    public Traffic shaped(Shape how, double swings, Duration each) {
        return new Traffic(
                how,
                rate,
                utilisation,
                swings,
                each,
                trace,
                scale,
                splice,
                retries,
                firstWait,
                jitter,
                budget,
                honoursPause,
                leave,
                clients,
                marks,
                heavy,
                peak);
    }

    public Traffic retrying(int most, Duration first, double share) {
        return new Traffic(
                shape,
                rate,
                utilisation,
                swing,
                period,
                trace,
                scale,
                splice,
                most,
                first,
                jitter,
                share,
                honoursPause,
                leave,
                clients,
                marks,
                heavy,
                peak);
    }
}
