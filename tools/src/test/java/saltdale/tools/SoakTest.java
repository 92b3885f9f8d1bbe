package saltdale.tools;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.live.Soak;

/**
 * The short form of {@code saltdale platform soak}: real processes of the platform on real sockets, under
 * overlapping faults, checked by invariants only.
 */
@Timeout(150)
class SoakTest {
    private static final int NET = 171; // 127.171 and 127.172, used by nothing else

    @TempDir
    Path folder;

    @Test
    void nothingAcknowledgedIsLostOrLate() throws Exception {
        List<String> program = List.of("-cp", System.getProperty("java.class.path"), "saltdale.node.Main");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
        boolean passed = Soak.run(Deployment.small(NET, 2, 3), program, folder, 1, 1, 1, out);
        assertTrue(passed, output.toString(StandardCharsets.UTF_8));
    }
}
