package saltdale.model;

import java.time.Duration;

/** One entry of a runner list. */
public record RunnerListEntry(
        Runner runner,
        String machineType,
        String zone,
        double weight,
        Runner.Mode mode,
        int cell,
        Duration startedAt) {}
