package saltdale.rig.platform.live;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;

/** The nodes as child processes of one build, each with its settings file, disk and log. */
public final class NodeProcesses implements AutoCloseable {
    private static final List<String> JVM_FLAGS =
            List.of("-Xmx192m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final String JAR_COPY = "saltdale.jar";
    private static final Set<String> INHERITED_VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

    private final Deployment deployment;
    private Path jar;
    private final Path folder;
    private final Map<Machine, Process> running = new LinkedHashMap<>();
    private final Map<Machine, Integer> exitStatuses = new LinkedHashMap<>();
    // Kills the processes if the rig itself is terminated.
    private final Thread shutdownHook =
            new Thread(() -> running.values().forEach(Process::destroyForcibly), "kill node processes");

    public NodeProcesses(Deployment deployment, Path jar, Path folder) {
        this.deployment = deployment;
        this.jar = jar.toAbsolutePath();
        this.folder = folder.toAbsolutePath();
    }

    /** Writes the settings files for a first start with empty disks; returns them by machine. */
    public Map<Machine, Path> writeSettings() throws IOException {
        Map<Machine, Path> all = new LinkedHashMap<>();
        for (Machine machine : deployment.machines()) {
            Path machineFolder = folder.resolve(machine.name());
            if (Files.isDirectory(machineFolder)) {
                try (Stream<Path> old = Files.walk(machineFolder)) {
                    for (Path each : old.sorted((a, b) -> b.compareTo(a)).toList()) {
                        Files.delete(each);
                    }
                }
            }
            all.put(machine, writeSettings(machine, true));
        }
        return all;
    }

    private Path writeSettings(Machine machine, boolean firstStart) throws IOException {
        Path machineFolder = folder.resolve(machine.name());
        Files.createDirectories(machineFolder.resolve("data"));
        Path file = machineFolder.resolve("local.json");
        Files.writeString(
                file,
                deployment
                        .settings(
                                machine,
                                firstStart,
                                machine.isProxy()
                                        ? null
                                        : machineFolder.resolve("data").toString())
                        .toPrettyString());
        return file;
    }

    /** The command that starts a machine's process, without the environment variable that names its settings file. */
    public List<String> command(Machine machine) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(List.of("-jar", jar.toString(), machine.role()));
        return command;
    }

    /** Starts all machines with empty disks. */
    void startAll() throws IOException {
        // Processes run from a copy, since a build may overwrite the jar while they load classes from it.
        Files.createDirectories(folder);
        Files.copy(jar, folder.resolve(JAR_COPY), StandardCopyOption.REPLACE_EXISTING);
        jar = folder.resolve(JAR_COPY);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        for (Map.Entry<Machine, Path> each : writeSettings().entrySet()) {
            start(each.getKey(), each.getValue());
        }
    }

    private void start(Machine machine, Path settings) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(machine))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(machine).toFile()));
        builder.environment().keySet().retainAll(INHERITED_VARIABLES);
        builder.environment().put("SALTDALE_BOOT", settings.toString());
        running.put(machine, builder.start());
    }

    Path log(Machine machine) {
        return folder.resolve(machine.name()).resolve("log");
    }

    /** The last line of the machine's log. */
    String lastLine(Machine machine) {
        try {
            List<String> lines = Files.readAllLines(log(machine), StandardCharsets.UTF_8);
            return lines.isEmpty() ? "the log is empty" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "the log can't be read";
        }
    }

    /** Kills a process with SIGKILL and waits for its end. */
    void kill(Machine machine) throws InterruptedException {
        Process process = running.remove(machine);
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Starts a killed machine again, with its disk. */
    void restart(Machine machine) throws IOException {
        start(machine, writeSettings(machine, false));
    }

    /** The exit statuses of the processes that ended by themselves. */
    Map<Machine, Integer> exitStatuses() {
        running.forEach((machine, process) -> {
            if (!process.isAlive()) {
                exitStatuses.put(machine, process.exitValue());
            }
        });
        return exitStatuses;
    }

    /** Sends SIGTERM to all processes and kills those left after the grace period; returns the latter. */
    List<Machine> terminateAll(Duration grace) throws InterruptedException {
        exitStatuses();
        running.values().forEach(Process::destroy);
        long end = System.nanoTime() + grace.toNanos();
        List<Machine> killed = new ArrayList<>();
        for (Map.Entry<Machine, Process> each : running.entrySet()) {
            if (!each.getValue().waitFor(Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                killed.add(each.getKey());
                each.getValue().destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
        running.clear();
        return killed;
    }

    @Override
    public void close() {
        running.values().forEach(Process::destroyForcibly);
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the JVM is already shutting down
        }
    }
}
