package saltdale.rig.plan;

import java.time.Duration;

/**
 * A load peak: an interval in which the request rate is multiplied.
 *
 * @param at start of the peak, since the start of the scenario
 * @param length duration of the peak
 * @param factor multiplier of the request rate
 */
public record Peak(Duration at, Duration length, double factor) {
    static Peak read(TomlTable table) {
        return new Peak(
                table.duration("at", Duration.ofSeconds(5)),
                table.duration("length", Duration.ofSeconds(5)),
                table.number("times", 2, 1, 1000));
    }

    /** End of the peak, since the start of the scenario. */
    public Duration end() {
        return at.plus(length);
    }

    /** The multiplier of the request rate at this time, in seconds since the start. */
    public double factorAt(double seconds) {
        return seconds >= at.toNanos() / 1e9 && seconds < end().toNanos() / 1e9 ? factor : 1;
    }
}
