package saltdale.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltdale.model.Relief;

/** The dear work earns 5 for a second and can bear 1 s, the cheap one earns 3 and can bear 4 s. */
class LevelsTest {
    private final Levels levels =
            new Levels(new Relief(0.2, 0.5, 0.5, 0.05, Duration.ofMillis(100), 8), Duration.ofSeconds(5));
    private final Levels.Kind dear = levels.add();
    private final Levels.Kind cheap = levels.add();

    private boolean missing = true;

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    /** Both arrive, with this wait found; whether the cheap one, of this luck, is turned away. */
    private boolean away(long at, double wait, double luck, double ended) {
        levels.waits(ms(at), wait);
        levels.judged(ms(at), dear, missing);
        levels.offered(ms(at), dear, 0.2, 5, 1, ended);
        levels.offered(ms(at), cheap, 1.2, 3, 4, ended);
        assertFalse(levels.turnsAway(ms(at), dear, 0), "the dearest is never turned away");
        return levels.turnsAway(ms(at), cheap, luck);
    }

    private int after(double wait, int times, long from) {
        for (int i = 0; i < times; i++) {
            away(from + i * 100L, wait, 0.5, 99);
        }
        return levels.level();
    }

    @Test
    void itRisesByBoundedStepsAndFallsOneByOne() {
        assertEquals(3, after(1, 1, 1000));
        assertEquals(10, after(1, 3, 1100));
        assertTrue(away(1400, 1, 0.99, 99));
        assertEquals(9, after(0, 1, 1500));
        assertEquals(0, after(0, 9, 1600));
        assertFalse(away(2600, 0, 0, 99));
        assertTrue(levels.reason().startsWith("level 1 to 0: a wait of 0.000 s, the dearer work can bear 1.000 s"));
    }

    @Test
    void halfWayItTurnsAwayHalfOfTheCheapWorkByLuck() {
        assertEquals(5, after(0.35, 9, 1000));
        assertTrue(away(2000, 0.35, 0.4, 99));
        assertFalse(away(2000, 0.35, 0.6, 99));
    }

    @Test
    void aWaitThatHoversAtTheLimitChangesNothing() {
        after(0.35, 9, 1000);
        long changes = levels.changes();
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 600; i++) {
            away(2000 + i * 100L, 0.35 + 0.02 * (chance.nextDouble() - 0.5), 0.5, 99);
        }
        assertEquals(changes, levels.changes());
    }

    @Test
    void itChangesNoOftenerThanItsStepWhateverComes() {
        SplittableRandom chance = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            away(1000 + i, chance.nextDouble(), 0.5, 99);
        }
        assertTrue(levels.changes() <= 100, "10 s hold a hundred steps: " + levels.changes());
    }

    /** Both arrive with a long wait found, known by so many ends; true where both are let in. */
    private boolean bothIn(long at, double dearEnded, double cheapEnded) {
        levels.waits(ms(at), 9);
        levels.judged(ms(at), dear, true);
        levels.offered(ms(at), dear, 0.2, 5, 1, dearEnded);
        levels.offered(ms(at), cheap, 1.2, 3, 4, cheapEnded);
        return !levels.turnsAway(ms(at), dear, 0) & !levels.turnsAway(ms(at), cheap, 0);
    }

    @Test
    void whatIsNotKnownYetIsNeverTurnedAwayAndShedsNothingThatIsQuicker() {
        for (int i = 0; i < 20; i++) {
            assertTrue(bothIn(1000 + i * 100L, 7, 7), "nobody knows which of them is the dear one");
        }
        assertEquals(0.5, levels.bears(cheap, 4, false), 1e-9, "it waits no longer than the quicker can bear");
        for (int i = 0; i < 20; i++) {
            assertTrue(bothIn(4000 + i * 100L, 9, 7), "what is slower and not known yet sheds nothing");
        }
        assertFalse(bothIn(7000, 7, 9), "what is quicker and not known yet goes before the slower");
    }

    @Test
    void itDoesNotRiseWhileTheDearWorkIsInTime() {
        missing = false;
        assertEquals(0, after(9, 20, 1000), "guards against turning away what would have been in time as well");
        missing = true;
        assertEquals(10, after(9, 5, 3000));
    }

    @Test
    void furtherDispatchesAreATenthOfFirstOnesAndATimeWithoutEarnsNoLicence() {
        Budget budget = new Budget();
        int further = 0;
        for (int i = 0; i < 1000; i++) {
            budget.first();
            further += budget.further() ? 1 : 0;
        }
        assertTrue(further <= 102 && further >= 98, "further: " + further);
        for (int i = 0; i < 1000; i++) {
            budget.first();
        }
        assertTrue(budget.further() && budget.further() && !budget.further());
    }

    @Test
    void whatWasFoundFadesWhereNothingIsProbed() {
        after(1, 5, 1000);
        for (long at = 1500; at < 6000; at += 100) {
            levels.turnsAway(ms(at), cheap, 0.5);
        }
        assertEquals(0, levels.level());
    }

    @Test
    void cheapWorkMeetsNoLongerWaitThanLeavesTheDearItsPlace() {
        assertEquals(2, levels.bears(cheap, 4, false), 1e-9);
        after(1, 5, 1000);
        assertEquals(0.5, levels.bears(cheap, 4, false), 1e-9);
        assertEquals(0.5, levels.bears(dear, 1, false), 1e-9);
        assertEquals(1, levels.bears(dear, 1, true), 1e-9);
    }
}
