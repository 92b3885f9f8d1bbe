package saltdale.rig.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import saltdale.rig.plan.Misread;
import saltdale.rig.plan.Sheet;

/**
 * A build of the dispatcher that is played.
 *
 * @param flags of its JVM
 * @param program what follows them on its command line
 */
public record Version(String name, List<String> flags, List<String> program) {
    /** As the platform runs it, but for what its archive of classes adds. */
    static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms24m", "-Xmx112m", "-Xss512k");

    static Version read(Sheet row, Path home, Path beside) {
        String name = row.required("name");
        if (!name.matches("[A-Za-z0-9_-]+") || name.equals("difference")) {
            throw row.wrong("name", "a name of letters, figures, _ and -");
        }
        String jar = row.text("jar", null);
        Path at = jar == null ? own(home) : beside.resolve(jar);
        if (!Files.isReadable(at)) {
            throw new Misread(row.file() + ": version " + name + ": no jar at " + at);
        }
        return new Version(name, row.texts("flags", FLAGS), List.of("-jar", at.toString(), "serve"));
    }

    /** The build of this checkout. */
    public static Version own(String name, Path home) {
        return new Version(name, FLAGS, List.of("-jar", own(home).toString(), "serve"));
    }

    private static Path own(Path home) {
        return home.resolve("daemon/target/saltdale.jar");
    }
}
