package saltdale.rig.plan;

import java.time.Duration;

/** A time in which so many times more is asked for. */
public record Peak(Duration at, Duration length, double times) {
    static Peak read(Sheet sheet) {
        return new Peak(
                sheet.span("at", Duration.ofSeconds(5)),
                sheet.span("length", Duration.ofSeconds(5)),
                sheet.number("times", 2, 1, 1000));
    }

    public Duration end() {
        return at.plus(length);
    }

    /** How many times more is asked for at this time, in seconds since the start. */
    public double times(double time) {
        return time >= at.toNanos() / 1e9 && time < end().toNanos() / 1e9 ? times : 1;
    }
}
