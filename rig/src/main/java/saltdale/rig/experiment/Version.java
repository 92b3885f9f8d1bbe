package saltdale.rig.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.simulate.BaselineDispatcher;

/**
 * A build of the dispatcher that an experiment runs.
 *
 * @param name its name in figures and reports
 * @param flags JVM flags
 * @param program the command line after the flags; empty in a simulation
 * @param baseline in a simulation, the baseline policy that replaces the module; null for the module
 * @param overloadAware whether it uses the overload settings of the scenario; otherwise they are left out
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

    /** The JVM flags of the platform, without those for its class data archive. */
    static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xms24m", "-Xmx112m", "-Xss512k");

    private static String name(TomlTable row) {
        String name = row.required("name");
        if (!name.matches("[A-Za-z0-9_-]+") || name.equals("difference")) {
            throw row.invalid("name", "a name of letters, digits, _ and -");
        }
        return name;
    }

    /** Reads a version for a simulation: the module of this build or a baseline. */
    static Version readSimulated(TomlTable row) {
        String name = name(row);
        BaselineDispatcher.SelectionPolicy baseline =
                row.has("baseline") ? row.enumValue("baseline", BaselineDispatcher.SelectionPolicy.RANDOM) : null;
        return new Version(name, List.of(), List.of(), baseline, row.bool("levels", true));
    }

    /** Reads a version that runs as processes; {@code baseDirectory} resolves the path of its jar. */
    static Version read(TomlTable row, Path home, Path baseDirectory) {
        String name = name(row);
        String jar = row.string("jar", null);
        Path jarPath = jar == null ? builtJar(home) : baseDirectory.resolve(jar);
        if (!Files.isReadable(jarPath)) {
            throw new InvalidInputException(row.file() + ": version " + name + ": no jar at " + jarPath);
        }
        return new Version(name, row.strings("flags", FLAGS), List.of("-jar", jarPath.toString(), "serve"));
    }

    /** The build of this checkout. */
    public static Version current(String name, Path home) {
        return new Version(name, FLAGS, List.of("-jar", builtJar(home).toString(), "serve"));
    }

    private static Path builtJar(Path home) {
        return home.resolve("daemon/target/saltdale.jar");
    }
}
