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
    /**
     * Whatever happens to a runner, each job that it took ends once or was taken back, and time goes forward.
     */
    @Property(tries = 300, seed = "7")
    void eachJobEndsOnce(@ForAll @Size(max = 120) int[] deeds, @ForAll @IntRange(min = 1, max = 4) int cores) {
        Map<String, Integer> ends = new HashMap<>();
        Set<String> back = new HashSet<>();
        Duration[] last = {Duration.ZERO};
        RunnerModel runner = new RunnerModel(
                RunnerType.plain(cores, 3).withWarmUp(0.3, Duration.ofSeconds(2)),
                new ReceiptStore.ByScope(new ReceiptStore(), new ReceiptStore(), new ReceiptStore()),
                2,
                Duration.ofSeconds(1),
                0.1,
                new SplittableRandom(1),
                new RunnerModel.JobListener() {
                    @Override
                    public void started(Duration at, RunnerJob work) {
                        forward(at);
                    }

                    @Override
                    public void progressed(Duration at, RunnerJob work, double share) {
                        forward(at);
                    }

                    @Override
                    public void ended(Duration at, RunnerJob work, RunnerModel.JobEnd how) {
                        forward(at);
                        ends.merge(work.id, 1, Integer::sum);
                    }

                    private void forward(Duration at) {
                        assertTrue(at.compareTo(last[0]) >= 0);
                        last[0] = at;
                    }
                });
        Set<String> taken = new HashSet<>();
        Duration now = Duration.ZERO;
        for (int i = 0; i < deeds.length; i++) {
            int deed = Math.floorMod(deeds[i], 16);
            now = now.plusMillis(Math.floorMod(deeds[i] / 16, 400));
            if (deed < 9 && runner.isUp()) {
                OfferResult offer =
                        runner.offer(now, new RunnerJob("j" + i, null, new Workload(), 0.01 + deed * 0.06, 0));
                if (offer == OfferResult.ACCEPTED) {
                    taken.add("j" + i);
                }
            } else if (deed == 9 && !taken.isEmpty()) {
                String id = taken.iterator().next();
                if (!ends.containsKey(id) && runner.cancel(now, id, 0) && !ends.containsKey(id)) {
                    back.add(id);
                    taken.remove(id);
                }
            } else if (deed == 10) {
                runner.stop(now);
            } else if (deed == 11) {
                runner.start(now);
            } else if (deed == 12) {
                runner.drain(now, true);
            } else {
                runner.setCondition(
                        now,
                        deed == 13
                                ? new RunnerCondition(5, false, 0.2, 0, 0.5, 3, 0.5, 0.1, 2)
                                : deed == 14
                                        ? new RunnerCondition(1, true, 0, 0, 0, 1, 0, 0, 1)
                                        : RunnerCondition.NORMAL);
            }
        }
        runner.setCondition(now, RunnerCondition.NORMAL);
        runner.advance(now.plusSeconds(600));
        assertEquals(0, runner.heldCount());
        taken.forEach(id -> assertEquals(1, ends.getOrDefault(id, 0), id));
        back.forEach(id -> assertEquals(0, ends.getOrDefault(id, 0), id));
    }
}
