package saltdale.rig.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.simulate.BaselineDispatcher;

/**
 * A build of the dispatcher that is played.
 *
 * @param flags of its JVM
 * @param program what follows them on its command line; none in simulated time
 * @param choice in simulated time, the baseline that decides; null for the module
 * @param levels whether it meets overloads as the day's table says; else as if there was none
 */
public record Version(
        String name,
        List<String> flags,
        List<String> program,
        BaselineDispatcher.SelectionPolicy baseline,
        boolean overloadAware) {
    public Version(String name, List<String> flags, List<String> program) {
        this(name, flags, program, null, true);
    }

    /** As the platform runs it, but for what its archive of classes adds. */
    static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xms24m", "-Xmx112m", "-Xss512k");

    private static String name(TomlTable row) {
        String name = row.required("name");
        if (!name.matches("[A-Za-z0-9_-]+") || name.equals("difference")) {
            throw row.invalid("name", "a name of letters, figures, _ and -");
        }
        return name;
    }

    /** One that is played in simulated time: this build's module, or a baseline. */
    static Version readSimulated(TomlTable row) {
        String name = name(row);
        BaselineDispatcher.SelectionPolicy baseline =
                row.has("baseline") ? row.enumValue("baseline", BaselineDispatcher.SelectionPolicy.RANDOM) : null;
        return new Version(name, List.of(), List.of(), baseline, row.bool("levels", true));
    }

    static Version read(TomlTable row, Path home, Path baseDirectory) {
        String name = name(row);
        String jar = row.string("jar", null);
        Path at = jar == null ? builtJar(home) : baseDirectory.resolve(jar);
        if (!Files.isReadable(at)) {
            throw new InvalidInputException(row.file() + ": version " + name + ": no jar at " + at);
        }
        return new Version(name, row.strings("flags", FLAGS), List.of("-jar", at.toString(), "serve"));
    }

    /** The build of this checkout. */
    public static Version current(String name, Path home) {
        return new Version(name, FLAGS, List.of("-jar", builtJar(home).toString(), "serve"));
    }

    private static Path builtJar(Path home) {
        return home.resolve("daemon/target/saltdale.jar");
    }
}
