package saltdale.model;

import java.time.Duration;

/** Arithmetic on durations. */
public final class Durations {
    private Durations() {}

    public static double seconds(Duration duration) {
        return duration.getSeconds() + duration.getNano() / 1e9;
    }

    public static Duration ofSeconds(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    public static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public static Duration max(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    /** Whether {@code now} is at or after {@code time}. */
    public static boolean reached(Duration now, Duration time) {
        return now.compareTo(time) >= 0;
    }
}
