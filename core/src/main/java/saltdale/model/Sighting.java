package saltdale.model;

import java.time.Duration;

/** One entry of a runner list. */
public record Sighting(
        Runner runner, String kind, String zone, double power, Runner.Mode mode, int cell, Duration startedAt) {}
