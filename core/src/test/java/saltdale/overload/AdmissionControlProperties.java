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
import saltdale.model.OverloadSettings;

/** Properties of the level for any arrivals and any measured waits. */
class AdmissionControlProperties {
    private record WorkClass(
            AdmissionControl.AdmissionClass admissionClass, double valuePerSecond, double slackSeconds) {}

    @Property(tries = 200)
    void neverRejectsTheMostValuableAndRejectsLessValuableFirst(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 6) int classCount,
            @ForAll @DoubleRange(min = 0.01, max = 1) double waitShareRange,
            @ForAll @IntRange(min = 1, max = 400) int minChangeIntervalMs) {
        SplittableRandom random = new SplittableRandom(seed);
        AdmissionControl admission = new AdmissionControl(
                new OverloadSettings(0.2, 0.2 + waitShareRange, 0.5, 0.05, Duration.ofMillis(minChangeIntervalMs), 8),
                Duration.ofSeconds(5));
        List<WorkClass> classes = new ArrayList<>();
        for (int i = 0; i < classCount; i++) { // the first is the most valuable
            classes.add(new WorkClass(admission.addClass(), 100 >> i, 0.2 + random.nextDouble()));
        }
        Duration now = Duration.ofSeconds(1);
        long changeCount = 0;
        int level = 0;
        Duration changedAt = null;
        for (int i = 0; i < 500; i++) {
            now = now.plusMillis(random.nextInt(50));
            admission.recordWait(now, 3 * random.nextDouble());
            WorkClass work = classes.get(random.nextInt(classCount));
            admission.recordArrival(
                    now, work.admissionClass, random.nextDouble(), work.valuePerSecond, work.slackSeconds, 99);
            admission.recordCompletion(now, classes.get(0).admissionClass, random.nextInt(4) == 0);
            boolean rejected = admission.shouldReject(now, work.admissionClass, random.nextDouble());
            assertFalse(rejected && work == classes.get(0), "the most valuable work was rejected");
            assertTrue(admission.level() >= 0 && admission.level() <= AdmissionControl.MAX_LEVEL);
            assertTrue(admission.level() - level <= 3 && level - admission.level() <= 1, "bounded steps");
            if (admission.changeCount() != changeCount) {
                assertTrue(
                        changedAt == null
                                || !now.minus(changedAt)
                                        .minusMillis(minChangeIntervalMs)
                                        .isNegative(),
                        "too soon");
                changedAt = now;
            }
            changeCount = admission.changeCount();
            level = admission.level();
        }
        // At a fixed level: if work is rejected, so is all work of lower value, or of equal value and lower draw.
        boolean previousRejected = true;
        for (int i = classCount - 1; i >= 0; i--) {
            for (double draw = 0; draw < 1; draw += 0.1) {
                boolean rejected = admission.shouldReject(now, classes.get(i).admissionClass, draw);
                assertTrue(previousRejected || !rejected, "work was admitted and more valuable work rejected");
                previousRejected = rejected;
            }
        }
    }
}
