package saltdale.rig.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import saltdale.rig.plan.InvalidInputException;

class ExpectationTest {
    private static boolean isMet(String line) {
        return new Expectation("f", line)
                .judge(Map.of("service", 0.9, "now.p99_ms", 55.0, "before.p99_ms", 50.0))
                .met();
    }

    @Test
    void figuresAreComparedWithNumbersAndWithEachOther() {
        assertTrue(isMet("service >= 0.9"));
        assertFalse(isMet("service > 0.9"));
        assertTrue(isMet("now.p99_ms <= before.p99_ms * 1.1"));
        assertFalse(isMet("now.p99_ms <= before.p99_ms + 4.9"));
        assertTrue(isMet("service != -0.9"));
    }

    @Test
    void anUnknownFigureFailsAndAnInvalidLineIsRejected() {
        assertFalse(isMet("servise >= 0"));
        assertThrows(InvalidInputException.class, () -> isMet("service is good"));
    }

    @Test
    void theIntervalContainsTheMeanAndNarrowsWithTheVariance() {
        Bootstrap wide = Bootstrap.of(new double[] {1, 2, 3, 4, 5}, 1);
        Bootstrap narrow = Bootstrap.of(new double[] {2.9, 3, 3.1, 3, 3}, 1);
        assertEquals(3, wide.mean(), 1e-9);
        assertTrue(wide.low() < 3 && wide.high() > 3 && wide.low() >= 1 && wide.high() <= 5);
        assertTrue(narrow.high() - narrow.low() < (wide.high() - wide.low()) / 5);
    }
}
