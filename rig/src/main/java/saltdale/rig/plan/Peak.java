package saltdale.rig.plan;

import java.time.Duration;

/** A time in which so many times more is asked for. */
public record Peak(Duration at, Duration length, double factor) {
    static Peak read(TomlTable table) {
        return new Peak(
                table.duration("at", Duration.ofSeconds(5)),
                table.duration("length", Duration.ofSeconds(5)),
                table.number("times", 2, 1, 1000));
    }

    public Duration end() {
        return at.plus(length);
    }

    /** How many times more is asked for at this time, in seconds since the start. */
    public double factorAt(double seconds) {
        return seconds >= at.toNanos() / 1e9 && seconds < end().toNanos() / 1e9 ? factor : 1;
    }
}
