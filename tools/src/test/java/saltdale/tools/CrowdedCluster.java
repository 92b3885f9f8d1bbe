package saltdale.tools;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import saltdale.rig.platform.Deployment;
import saltdale.rig.platform.Machine;
import saltdale.rig.platform.Route;
import saltdale.rig.platform.live.BlockingHttp;
import saltdale.rig.platform.live.PlatformStandIn;
import saltdale.rig.platform.live.RunnerFaults;

/** One control node and one proxy as real processes with small limits, and a stand-in for the platform. */
final class CrowdedCluster implements AutoCloseable {
    /** The limits of one process: its heap, and those of its machine. */
    record Limits(int heapMegabytes, int machineMegabytes, int fileDescriptors) {}

    private static final List<String> JVM_FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms16m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=64m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:+ExitOnOutOfMemoryError",
            "-Djava.net.preferIPv4Stack=true");
    private static final Duration CALL_LIMIT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 100;

    private final Deployment deployment;
    private final PlatformStandIn standIn;
    private final Path folder;
    private final Map<String, Limits> limitsByRole;
    private final List<Process> processes = new ArrayList<>();
    private long nextAttempt;

    CrowdedCluster(int net, Path folder, Limits proxyLimits, Limits controlLimits) throws IOException {
        deployment = Deployment.small(net, 1, 1);
        this.folder = folder;
        limitsByRole = Map.of("proxy", proxyLimits, "control", controlLimits);
        standIn = new PlatformStandIn(deployment, new RunnerFaults(Map.of(), 1), 1, null);
        for (Machine machine : Stream.concat(deployment.controlNodes().stream(), deployment.proxies().stream())
                .toList()) {
            processes.add(start(machine));
        }
    }

    private Process start(Machine machine) throws IOException {
        Limits limits = limitsByRole.get(machine.role());
        Path machineFolder = folder.resolve(machine.name());
        Files.createDirectories(machineFolder.resolve("data"));
        String data = machine.isProxy() ? null : machineFolder.resolve("data").toString();
        ObjectNode settings = deployment.settings(machine, true, data);
        settings.withObject("/limits")
                .put("memory_mb", limits.machineMegabytes)
                .put("file_descriptors", limits.fileDescriptors);
        Path settingsFile = Files.writeString(machineFolder.resolve("local.json"), settings.toPrettyString());
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.add("-Xmx" + limits.heapMegabytes + "m");
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "saltdale.node.Main", machine.role()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(machineFolder.resolve("log").toFile());
        builder.environment().put("SALTDALE_BOOT", settingsFile.toString());
        return builder.start();
    }

    Machine proxy() {
        return deployment.proxies().get(0);
    }

    Machine controlNode() {
        return deployment.controlNodes().get(0);
    }

    InetSocketAddress address(Machine machine, int port) {
        return new InetSocketAddress(machine.ip(), port);
    }

    Process process(Machine machine) {
        return processes.get(machine.isProxy() ? 1 : 0);
    }

    /** Sends the first configuration and waits until a request is served; returns whether one was. */
    boolean awaitService(Duration limit) throws InterruptedException {
        standIn.sendFirstConfiguration(status -> {});
        return awaitServedRequest(limit);
    }

    /** Sends ordinary requests, one at a time, until one is served; returns whether one was. */
    boolean awaitServedRequest(Duration limit) throws InterruptedException {
        Route route = deployment.routes().get(1);
        return await(limit, () -> {
            String headers =
                    "Host: " + route.hostname() + "\r\nX-Saltdale-Attempt-Id: ordinary-" + nextAttempt++ + "\r\n";
            return isServed(proxy(), Machine.FRONT_PORT, "POST", route.pathPrefix() + "x", headers, "wanted");
        });
    }

    /** Reads the configuration until it is answered; returns whether it was. */
    boolean awaitConfigurationRead(Duration limit) throws InterruptedException {
        return await(
                limit,
                () -> isServed(
                        controlNode(), Machine.CONTROL_PORT, "GET", "/Configuration.Read", "Host: core\r\n", ""));
    }

    /** The configuration that the cluster serves. */
    ObjectNode ordinaryConfiguration(int revision) {
        return deployment.replacement(revision);
    }

    /** How the processes have ended that have, and the last line of each; an empty string if none has. */
    String ends() throws IOException {
        StringBuilder ends = new StringBuilder();
        for (Machine machine : List.of(controlNode(), proxy())) {
            if (!process(machine).isAlive()) {
                String[] lines = log(machine).strip().split("\n");
                ends.append(machine.name()).append(": ").append(lines[lines.length - 1]);
            }
        }
        return ends.toString();
    }

    /** Sends an operator's order of an ordinary size until it is taken; returns whether it was. */
    boolean awaitOrder(int basedOn, Duration limit) throws InterruptedException {
        return awaitOrder(basedOn, deployment.replacement(basedOn + 1).toString(), limit);
    }

    /** Sends an operator's order until it is taken; returns whether it was. */
    boolean awaitOrder(int basedOn, String body, Duration limit) throws InterruptedException {
        String headers = "Host: core\r\nX-Saltdale-Based-On-Version: " + basedOn + "\r\n";
        return await(
                limit,
                () -> isServed(controlNode(), Machine.CONTROL_PORT, "POST", "/Configuration.Replace", headers, body));
    }

    /** Waits until the condition holds; returns false if it does not in time, or if a process has ended. */
    private boolean await(Duration limit, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end || !processes.stream().allMatch(Process::isAlive)) {
                return false;
            }
            Thread.sleep(POLL_MILLIS);
        }
        return true;
    }

    private static boolean isServed(
            Machine machine, int port, String method, String path, String headers, String body) {
        return BlockingHttp.call(machine.ip(), port, method, path, headers, body, CALL_LIMIT)
                        .status()
                == 200;
    }

    /** Waits until a metric has this value; returns whether it has. */
    boolean awaitMetric(Machine machine, String name, long value, Duration limit) throws InterruptedException {
        return await(limit, () -> {
            try {
                return metric(machine, name) == value;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** The value of a metric of the machine's process. */
    long metric(Machine machine, String name) throws IOException {
        int port = machine.isProxy() ? Machine.READINESS_PORT : Machine.CONTROL_PORT;
        String text = BlockingHttp.call(machine.ip(), port, "GET", "/metrics", "Host: x\r\n", "", CALL_LIMIT)
                .body();
        return text.lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow(() -> new IOException("no metric " + name + " in " + text));
    }

    /** The peak of the memory that the process had at once, in megabytes. */
    long peakMegabytes(Machine machine) throws IOException {
        for (String line : Files.readAllLines(processFolder(machine).resolve("status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
            }
        }
        throw new IOException("no VmHWM of process " + process(machine).pid());
    }

    /** The number of file descriptors that the process has open. */
    long openDescriptors(Machine machine) throws IOException {
        try (Stream<Path> descriptors = Files.list(processFolder(machine).resolve("fd"))) {
            return descriptors.count();
        }
    }

    private Path processFolder(Machine machine) {
        return Path.of("/proc", Long.toString(process(machine).pid()));
    }

    /** The log of a machine's process. */
    String log(Machine machine) throws IOException {
        return Files.readString(folder.resolve(machine.name()).resolve("log"));
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        standIn.close();
        for (Process process : processes) {
            try {
                process.waitFor(CALL_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
