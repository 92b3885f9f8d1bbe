package saltdale.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltdale.model.OverloadSettings;

/** Valuable work has a value of 5 per second and a slack of 1 s; cheap work a value of 3 and a slack of 4 s. */
class AdmissionControlTest {
    private final AdmissionControl admission = new AdmissionControl(
            new OverloadSettings(0.2, 0.5, 0.5, 0.05, Duration.ofMillis(100), 8), Duration.ofSeconds(5));
    private final AdmissionControl.AdmissionClass valuable = admission.addClass();
    private final AdmissionControl.AdmissionClass cheap = admission.addClass();

    private boolean valuableMissesTarget = true;

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    /** Both classes arrive with this measured wait; whether the cheap one, with this draw, is rejected. */
    private boolean rejectsCheap(long atMs, double waitSeconds, double draw, double completions) {
        admission.recordWait(ms(atMs), waitSeconds);
        admission.recordCompletion(ms(atMs), valuable, valuableMissesTarget);
        admission.recordArrival(ms(atMs), valuable, 0.2, 5, 1, completions);
        admission.recordArrival(ms(atMs), cheap, 1.2, 3, 4, completions);
        assertFalse(admission.shouldReject(ms(atMs), valuable, 0), "the most valuable work is never rejected");
        return admission.shouldReject(ms(atMs), cheap, draw);
    }

    private int levelAfter(double waitSeconds, int times, long fromMs) {
        for (int i = 0; i < times; i++) {
            rejectsCheap(fromMs + i * 100L, waitSeconds, 0.5, 99);
        }
        return admission.level();
    }

    @Test
    void levelRisesByBoundedStepsAndFallsByOne() {
        assertEquals(3, levelAfter(1, 1, 1000));
        assertEquals(10, levelAfter(1, 3, 1100));
        assertTrue(rejectsCheap(1400, 1, 0.99, 99));
        assertEquals(9, levelAfter(0, 1, 1500));
        assertEquals(0, levelAfter(0, 9, 1600));
        assertFalse(rejectsCheap(2600, 0, 0, 99));
        assertTrue(admission
                .lastChange()
                .startsWith("level 1 to 0: wait 0.000 s, the most valuable work tolerates 1.000 s"));
    }

    @Test
    void level5RejectsHalfOfTheCheapWorkByDraw() {
        assertEquals(5, levelAfter(0.35, 9, 1000));
        assertTrue(rejectsCheap(2000, 0.35, 0.4, 99));
        assertFalse(rejectsCheap(2000, 0.35, 0.6, 99));
    }

    @Test
    void waitThatFluctuatesAroundALimitDoesNotChangeTheLevel() {
        levelAfter(0.35, 9, 1000);
        long changeCount = admission.changeCount();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 600; i++) {
            rejectsCheap(2000 + i * 100L, 0.35 + 0.02 * (random.nextDouble() - 0.5), 0.5, 99);
        }
        assertEquals(changeCount, admission.changeCount());
    }

    @Test
    void levelChangesAtMostOncePerInterval() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            rejectsCheap(1000 + i, random.nextDouble(), 0.5, 99);
        }
        assertTrue(admission.changeCount() <= 100, "10 s contain 100 intervals: " + admission.changeCount());
    }

    /** Both classes arrive with a long measured wait and these completions; whether both are admitted. */
    private boolean admitsBoth(long atMs, double valuableCompletions, double cheapCompletions) {
        admission.recordWait(ms(atMs), 9);
        admission.recordCompletion(ms(atMs), valuable, true);
        admission.recordArrival(ms(atMs), valuable, 0.2, 5, 1, valuableCompletions);
        admission.recordArrival(ms(atMs), cheap, 1.2, 3, 4, cheapCompletions);
        return !admission.shouldReject(ms(atMs), valuable, 0) & !admission.shouldReject(ms(atMs), cheap, 0);
    }

    @Test
    void unknownWorkIsNeverRejectedAndDisplacesNoQuickerWork() {
        for (int i = 0; i < 20; i++) {
            assertTrue(admitsBoth(1000 + i * 100L, 7, 7), "the values of both are unknown");
        }
        assertEquals(
                0.5,
                admission.maxWaitSeconds(cheap, 4, false),
                1e-9,
                "waits no longer than the class of less slack tolerates");
        for (int i = 0; i < 20; i++) {
            assertTrue(admitsBoth(4000 + i * 100L, 9, 7), "unknown work with more slack displaces nothing");
        }
        assertFalse(admitsBoth(7000, 7, 9), "unknown work with less slack takes precedence");
    }

    @Test
    void levelDoesNotRiseWhileValuableWorkIsInTime() {
        valuableMissesTarget = false;
        assertEquals(0, levelAfter(9, 20, 1000), "work that would have been in time must not be rejected");
        valuableMissesTarget = true;
        assertEquals(10, levelAfter(9, 5, 3000));
    }

    @Test
    void retriesAreATenthOfFirstAttemptsAndQuietPeriodsSaveOnlyTwo() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt();
            retries += budget.tryAcquire() ? 1 : 0;
        }
        assertTrue(retries <= 102 && retries >= 98, "retries: " + retries);
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt();
        }
        assertTrue(budget.tryAcquire() && budget.tryAcquire() && !budget.tryAcquire());
    }

    @Test
    void measuredWaitDecaysWithoutProbes() {
        levelAfter(1, 5, 1000);
        for (long atMs = 1500; atMs < 6000; atMs += 100) {
            admission.shouldReject(ms(atMs), cheap, 0.5);
        }
        assertEquals(0, admission.level());
    }

    @Test
    void cheapWorkWaitsNoLongerThanLeavesRoomForValuableWork() {
        assertEquals(2, admission.maxWaitSeconds(cheap, 4, false), 1e-9);
        levelAfter(1, 5, 1000);
        assertEquals(0.5, admission.maxWaitSeconds(cheap, 4, false), 1e-9);
        assertEquals(0.5, admission.maxWaitSeconds(valuable, 1, false), 1e-9);
        assertEquals(1, admission.maxWaitSeconds(valuable, 1, true), 1e-9);
    }
}
