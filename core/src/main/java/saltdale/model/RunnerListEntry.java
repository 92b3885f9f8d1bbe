package saltdale.model;

import java.time.Duration;

/** An entry of a runner list: the state of one runner. */
public record RunnerListEntry(
        Runner runner,
        String machineType,
        String zone,
        double weight,
        Runner.Mode mode,
        int cell,
        Duration startedAt) {}
