package saltdale.node;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ClassArchiveTrainingTest {
    /**
     * If the training run fails, the deployment build continues without an archive; only this test detects the
     * failure.
     */
    @Test
    @Timeout(60)
    void trainingRunSucceedsWithBothRoles() {
        assertDoesNotThrow(ClassArchiveTraining::run);
    }
}
