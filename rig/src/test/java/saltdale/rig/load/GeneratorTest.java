package saltdale.rig.load;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.standin.LoopThread;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;

class GeneratorTest {
    @Test
    @Timeout(20)
    void aBlockedLoopThreadVoidsTheRunAndReportsTheLag() throws IOException {
        Scenario scenario = new Scenario(TomlTable.of(
                "day",
                "length = \"400ms\"\nwarm_up = \"0s\"\n[load]\nrate = 100\n"
                        + "[[workload]]\nname = \"w\"\npatience = \"100ms\"\n"));
        try (LoopThread loopThread = new LoopThread("clients")) {
            loopThread.start();
            Origin origin = new Origin();
            Generator generator = new Generator(
                    loopThread,
                    scenario,
                    List.of(new LoopbackAddresses(9).dispatcher(0)),
                    origin,
                    EventObserver.NONE,
                    1,
                    "t",
                    origin.now());
            loopThread.runAndWait(() -> {
                generator.start(new Arrivals(scenario.traffic, scenario.workloads, scenario.length, 1));
                while (origin.now().compareTo(Duration.ofMillis(500)) < 0) {
                    Thread.onSpinWait(); // blocks the loop until all requests have been due
                }
            });
            while (!generator.isOver()) {
                loopThread.runAndWait(() -> {});
            }
            assertNotNull(generator.voidReason());
            assertTrue(generator.voidReason().contains("fell behind"), generator.voidReason());
            assertTrue(generator.lag().getMaxValue() > 300_000, generator.voidReason());
            assertTrue(generator.statistics().offered() > 20);
        }
    }
}
