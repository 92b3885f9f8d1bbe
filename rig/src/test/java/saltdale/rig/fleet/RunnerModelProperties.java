package saltdale.rig.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import saltdale.model.Workload;
import saltdale.rig.fleet.RunnerModel.OfferResult;
import saltdale.rig.plan.RunnerType;

class RunnerModelProperties {
    /** Under any operations, each accepted job ends once or is cancelled, and event times don't decrease. */
    @Property(tries = 300, seed = "7")
    void eachAcceptedJobEndsOnce(
            @ForAll @Size(max = 120) int[] operations, @ForAll @IntRange(min = 1, max = 4) int cores) {
        Map<String, Integer> ends = new HashMap<>();
        Set<String> cancelled = new HashSet<>();
        Duration[] latest = {Duration.ZERO};
        RunnerModel runner = new RunnerModel(
                RunnerType.plain(cores, 3).withWarmUp(0.3, Duration.ofSeconds(2)),
                new ReceiptStore.ByScope(new ReceiptStore(), new ReceiptStore(), new ReceiptStore()),
                2,
                Duration.ofSeconds(1),
                0.1,
                new SplittableRandom(1),
                new RunnerModel.JobListener() {
                    @Override
                    public void started(Duration at, RunnerJob job) {
                        assertNotEarlier(at);
                    }

                    @Override
                    public void progressed(Duration at, RunnerJob job, double share) {
                        assertNotEarlier(at);
                    }

                    @Override
                    public void ended(Duration at, RunnerJob job, RunnerModel.JobEnd end) {
                        assertNotEarlier(at);
                        ends.merge(job.id, 1, Integer::sum);
                    }

                    private void assertNotEarlier(Duration at) {
                        assertTrue(at.compareTo(latest[0]) >= 0);
                        latest[0] = at;
                    }
                });
        Set<String> accepted = new HashSet<>();
        Duration now = Duration.ZERO;
        for (int i = 0; i < operations.length; i++) {
            int operation = Math.floorMod(operations[i], 16);
            now = now.plusMillis(Math.floorMod(operations[i] / 16, 400));
            if (operation < 9 && runner.isUp()) {
                OfferResult offer =
                        runner.offer(now, new RunnerJob("j" + i, null, new Workload(), 0.01 + operation * 0.06, 0));
                if (offer == OfferResult.ACCEPTED) {
                    accepted.add("j" + i);
                }
            } else if (operation == 9 && !accepted.isEmpty()) {
                String id = accepted.iterator().next();
                if (!ends.containsKey(id) && runner.cancel(now, id, 0) && !ends.containsKey(id)) {
                    cancelled.add(id);
                    accepted.remove(id);
                }
            } else if (operation == 10) {
                runner.stop(now);
            } else if (operation == 11) {
                runner.start(now);
            } else if (operation == 12) {
                runner.drain(now, true);
            } else {
                runner.setCondition(
                        now,
                        operation == 13
                                ? new RunnerCondition(5, false, 0.2, 0, 0.5, 3, 0.5, 0.1, 2)
                                : operation == 14
                                        ? new RunnerCondition(1, true, 0, 0, 0, 1, 0, 0, 1)
                                        : RunnerCondition.NORMAL);
            }
        }
        runner.setCondition(now, RunnerCondition.NORMAL);
        runner.advance(now.plusSeconds(600));
        assertEquals(0, runner.heldCount());
        accepted.forEach(id -> assertEquals(1, ends.getOrDefault(id, 0), id));
        cancelled.forEach(id -> assertEquals(0, ends.getOrDefault(id, 0), id));
    }
}
