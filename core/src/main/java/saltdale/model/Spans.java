package saltdale.model;

import java.time.Duration;

/** Arithmetic on spans of time. */
public final class Spans {
    private Spans() {}

    public static double secs(Duration span) {
        return span.getSeconds() + span.getNano() / 1e9;
    }

    public static Duration ofSecs(double seconds) {
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    public static Duration least(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    public static Duration most(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }

    public static boolean reached(Duration now, Duration at) {
        return now.compareTo(at) >= 0;
    }
}
