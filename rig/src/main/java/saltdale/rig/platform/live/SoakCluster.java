package saltdale.rig.platform.live;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;

/**
 * The machines of a soak: real processes that can be killed, paused, terminated, restarted and cut off from each
 * other. Control nodes can also lose their disk, or be replaced by a new one at another address. One thread changes
 * the cluster; others may ask for its machines.
 */
final class SoakCluster implements AutoCloseable {
    private static final List<String> JVM_FLAGS =
            List.of("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final Set<String> INHERITED_VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");
    private static final int FIRST_SUCCESSOR_HOST_NUMBER = 120; // last octet of the addresses of new control nodes
    private static final int MAX_SEEDS = 3;
    private static final Duration MIN_AGE_AT_RELOAD = Duration.ofSeconds(1);

    private final Deployment deployment;
    private final List<String> program; // arguments of java that name the program
    private final Path folder;
    private final List<Machine> proxies;
    private final List<Machine> controlNodes;
    private final int toleratedLosses;
    private final Map<Machine, Process> running = new HashMap<>();
    private final Set<Machine> expectedToEnd = new HashSet<>();
    private final Map<String, Set<String>> faultLines = new HashMap<>(); // lines of the fault file, by machine
    private final Thread shutdownHook =
            new Thread(() -> running.values().forEach(Process::destroyForcibly), "kill soak processes");
    private int successorCount;

    SoakCluster(Deployment deployment, List<String> program, Path folder) {
        this.deployment = deployment;
        this.program = program;
        this.folder = folder.toAbsolutePath();
        proxies = deployment.proxies();
        controlNodes = new CopyOnWriteArrayList<>(deployment.controlNodes());
        toleratedLosses = (controlNodes.size() - 1) / 2;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    List<Machine> proxies() {
        return proxies;
    }

    List<Machine> controlNodes() {
        return List.copyOf(controlNodes);
    }

    boolean isRunning(Machine machine) {
        Process process = running.get(machine);
        return process != null && process.isAlive();
    }

    void startAll() throws IOException {
        for (Machine machine :
                Stream.concat(controlNodes.stream(), proxies.stream()).toList()) {
            wipe(machine);
            start(machine, true);
        }
    }

    /** Restarts a machine with the current seeds, unless it is running. */
    void start(Machine machine) throws IOException {
        if (!isRunning(machine)) {
            start(machine, false);
        }
    }

    private void start(Machine machine, boolean firstStart) throws IOException {
        Path machineFolder = folder.resolve(machine.name());
        Files.createDirectories(machineFolder.resolve("data"));
        Path settings = Files.writeString(
                machineFolder.resolve("local.json"),
                settings(machine, firstStart, machineFolder).toPrettyString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.addAll(program);
        command.addAll(List.of(machine.role(), "--trace"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        machineFolder.resolve("log").toFile()));
        builder.environment().keySet().retainAll(INHERITED_VARIABLES);
        builder.environment().put("SALTDALE_BOOT", settings.toString());
        builder.environment()
                .put("SALTDALE_LINK_FAULTS", faultFile(machine.name()).toString());
        running.put(machine, builder.start());
        expectedToEnd.remove(machine);
    }

    private ObjectNode settings(Machine machine, boolean firstStart, Path machineFolder) {
        String data = machine.isProxy() ? null : machineFolder.resolve("data").toString();
        ObjectNode settings = deployment.settings(machine, firstStart, data);
        ArrayNode seeds = settings.putArray("seed_nodes");
        controlNodes.stream().limit(MAX_SEEDS).forEach(each -> seeds.add(each.at(Machine.CONTROL_PORT)));
        settings.putObject("tolerated_losses").put("machines", toleratedLosses);
        return settings;
    }

    void kill(Machine machine) {
        Process process = running.remove(machine);
        if (process != null) {
            process.destroyForcibly();
            waitFor(process, 5000);
        }
    }

    /** Sends SIGTERM without waiting for the end. */
    void terminate(Machine machine) {
        Process process = running.get(machine);
        if (process != null) {
            expectedToEnd.add(machine);
            process.destroy();
        }
    }

    /** Waits for the end of a terminated machine, and kills it after this time; returns whether that was needed. */
    boolean awaitEnd(Machine machine, long millis) {
        if (!expectedToEnd.contains(machine)) {
            return false; // it was killed in the meantime, and may have been restarted
        }
        Process process = running.remove(machine);
        if (process == null || waitFor(process, millis)) {
            return false;
        }
        process.destroyForcibly();
        waitFor(process, 5000);
        return true;
    }

    private static boolean waitFor(Process process, long millis) {
        try {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void pause(Machine machine) throws IOException {
        signal(machine, "STOP");
    }

    void resume(Machine machine) throws IOException {
        signal(machine, "CONT");
    }

    /** Sends SIGHUP, once the process has run for long enough to have a handler: no program has one before its JVM. */
    void reload(Machine machine) throws IOException {
        Process process = running.get(machine);
        if (process != null) {
            Duration age = Duration.between(process.info().startInstant().orElse(Instant.EPOCH), Instant.now());
            waitFor(process, Math.max(0, MIN_AGE_AT_RELOAD.minus(age).toMillis()));
        }
        signal(machine, "HUP");
    }

    private void signal(Machine machine, String name) throws IOException {
        Process process = running.get(machine);
        if (process != null && process.isAlive()) {
            waitFor(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start(), 1000);
        }
    }

    /** Deletes the disk of a machine that is not running. */
    void wipe(Machine machine) throws IOException {
        Path data = folder.resolve(machine.name()).resolve("data");
        if (Files.isDirectory(data)) {
            try (Stream<Path> files = Files.walk(data)) {
                for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(each);
                }
            }
        }
    }

    /** Creates, without starting it, a new control node with an address of its own in the zone of the old one. */
    Machine successorOf(Machine old) {
        int number = FIRST_SUCCESSOR_HOST_NUMBER + successorCount++;
        String ip = old.ip().substring(0, old.ip().lastIndexOf('.') + 1) + number;
        return new Machine("core-" + old.zone() + "-" + number, old.role(), old.zone(), ip);
    }

    /** Adds a control node to those that seeds are taken from. */
    void add(Machine machine) {
        controlNodes.add(machine);
    }

    /** Removes a control node for good. */
    void remove(Machine machine) {
        controlNodes.remove(machine);
    }

    // Network cuts.

    /** Drops the messages from {@code a} to {@code b}, and those from {@code b} to {@code a} unless {@code oneWay}. */
    void cut(Machine a, Machine b, boolean oneWay) throws IOException {
        addFaultLine(a, "to " + b.ip());
        addFaultLine(b, "from " + a.ip());
        if (!oneWay) {
            addFaultLine(b, "to " + a.ip());
            addFaultLine(a, "from " + b.ip());
        }
    }

    /** Removes all cuts. */
    void removeAllCuts() throws IOException {
        for (Map.Entry<String, Set<String>> each : faultLines.entrySet()) {
            each.getValue().clear();
            writeFaultFile(each.getKey());
        }
    }

    private void addFaultLine(Machine at, String line) throws IOException {
        if (faultLines.computeIfAbsent(at.name(), name -> new HashSet<>()).add(line)) {
            writeFaultFile(at.name());
        }
    }

    private void writeFaultFile(String machine) throws IOException {
        Path written = Files.write(folder.resolve(machine + ".faults.new"), faultLines.get(machine));
        Files.move(written, faultFile(machine), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path faultFile(String machine) {
        return folder.resolve(machine + ".faults");
    }

    // State of the processes.

    /** The processes that ended without being told to, with their exit statuses. */
    List<String> endedByThemselves() {
        return running.entrySet().stream()
                .filter(each -> !each.getValue().isAlive() && !expectedToEnd.contains(each.getKey()))
                .map(each ->
                        each.getKey().name() + " with status " + each.getValue().exitValue())
                .toList();
    }

    Path log(Machine machine) {
        return folder.resolve(machine.name()).resolve("log");
    }

    @Override
    public void close() {
        for (Process process : running.values()) {
            process.destroyForcibly();
            waitFor(process, 5000);
        }
        running.clear();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the JVM is already shutting down
        }
    }
}
