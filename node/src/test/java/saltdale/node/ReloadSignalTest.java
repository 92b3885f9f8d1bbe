package saltdale.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class ReloadSignalTest {
    private static final int INVALID_SETTINGS_STATUS = 2;

    @TempDir
    Path folder;

    private static void run(String... command) throws IOException, InterruptedException {
        assertThat(new ProcessBuilder(command).start().waitFor(), is(0));
    }

    /**
     * Guards against a process that ends by SIGHUP while it starts. It reads its settings from a pipe, which holds it
     * up until the signal has been sent; then it gets settings that are invalid, and ends because of those.
     */
    @Test
    void signalDuringTheStartDoesNotEndTheProcess() throws Exception {
        Path pipe = folder.resolve("settings.json");
        run("mkfifo", pipe.toString());
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "saltdale.node.Main",
                        "proxy")
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put(Settings.PATH_VARIABLE, pipe.toString());
        Process process = builder.start();
        try (OutputStream settings = Files.newOutputStream(pipe)) { // waits until the process opens the pipe
            for (int i = 0; i < 3; i++) {
                run("kill", "-HUP", Long.toString(process.pid()));
            }
            settings.write("{}".getBytes(StandardCharsets.US_ASCII));
        } finally {
            if (!process.waitFor(30, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
        assertThat(Files.readString(folder.resolve("log")), process.exitValue(), is(INVALID_SETTINGS_STATUS));
    }
}
