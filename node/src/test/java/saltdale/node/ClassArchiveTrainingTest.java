package saltdale.node;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ClassArchiveTrainingTest {
    /** The deploy file's build goes on without an archive where this fails, so it is noticed here. */
    @Test
    @Timeout(60)
    void bothRolesCarryTheTrainingsRequests() {
        assertDoesNotThrow(ClassArchiveTraining::run);
    }
}
