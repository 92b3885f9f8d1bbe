package saltdale.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import saltdale.model.Relief;

/** The laws of levels, whatever arrives and whatever waits are found. */
class LevelsProperties {
    private record Work(Levels.Kind kind, double earns, double slack) {}

    @Property(tries = 200)
    void theDearestIsNeverTurnedAwayAndTheCheaperAlwaysBeforeTheDearer(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 6) int workloads,
            @ForAll @DoubleRange(min = 0.01, max = 1) double gap,
            @ForAll @IntRange(min = 1, max = 400) int stepMs) {
        SplittableRandom chance = new SplittableRandom(seed);
        Levels levels =
                new Levels(new Relief(0.2, 0.2 + gap, 0.5, 0.05, Duration.ofMillis(stepMs), 8), Duration.ofSeconds(5));
        List<Work> all = new ArrayList<>();
        for (int i = 0; i < workloads; i++) { // the first earns most
            all.add(new Work(levels.add(), 100 >> i, 0.2 + chance.nextDouble()));
        }
        Duration now = Duration.ofSeconds(1);
        long changes = 0;
        int level = 0;
        Duration changedAt = null;
        for (int i = 0; i < 500; i++) {
            now = now.plusMillis(chance.nextInt(50));
            levels.waits(now, 3 * chance.nextDouble());
            Work one = all.get(chance.nextInt(workloads));
            levels.offered(now, one.kind, chance.nextDouble(), one.earns, one.slack, 99);
            levels.judged(now, all.get(0).kind, chance.nextInt(4) == 0);
            boolean away = levels.turnsAway(now, one.kind, chance.nextDouble());
            assertFalse(away && one == all.get(0), "the dearest of all was turned away");
            assertTrue(levels.level() >= 0 && levels.level() <= Levels.MOST);
            assertTrue(levels.level() - level <= 3 && level - levels.level() <= 1, "by bounded steps");
            if (levels.changes() != changes) {
                assertTrue(
                        changedAt == null
                                || !now.minus(changedAt).minusMillis(stepMs).isNegative(),
                        "too soon");
                changedAt = now;
            }
            changes = levels.changes();
            level = levels.level();
        }
        // At one level, with all else equal: who earns less, or has less luck, is turned away if who has more is.
        boolean before = true;
        for (int i = workloads - 1; i >= 0; i--) {
            for (double luck = 0; luck < 1; luck += 0.1) {
                boolean away = levels.turnsAway(now, all.get(i).kind, luck);
                assertTrue(before || !away, "one was let in and a dearer one turned away");
                before = away;
            }
        }
    }
}
