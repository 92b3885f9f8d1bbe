package saltdale.rig.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltdale.model.DispatcherSettings;
import saltdale.model.Workload;
import saltdale.rig.judge.EventObserver;
import saltdale.rig.plan.RunnerType;
import saltdale.rig.plan.Scenario;
import saltdale.rig.standin.LoopbackAddresses;
import saltdale.rig.standin.Origin;

/** The dispatcher processes of a run: child processes of one build, each with its configuration and log file. */
public final class DispatcherProcesses implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DispatcherProcesses.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(6);
    private static final double CLOCK_TICKS_PER_SECOND = 100; // unit of the CPU times in /proc

    private static final class Dispatcher {
        volatile Process process;
        volatile boolean expectedToExit;
        volatile boolean paused;
        double cpuAtReset;
        double cpuOfEarlierProcesses;
    }

    private final Scenario scenario;
    private final Version version;
    private final LoopbackAddresses loopback;
    private final Path directory;
    private final Origin origin;
    private final EventObserver observer;
    private final String cpus;
    private final List<Dispatcher> dispatchers = new ArrayList<>();
    private volatile boolean closing;
    // Stops the dispatchers when the rig is terminated.
    private final Thread shutdownHook = new Thread(this::destroy, "dispatcher shutdown");

    /** {@code cpus} is the list of cores for the dispatchers in the format of taskset; null for all cores. */
    public DispatcherProcesses(
            Scenario scenario,
            Version version,
            LoopbackAddresses loopback,
            Path directory,
            Origin origin,
            EventObserver observer,
            String cpus) {
        this.scenario = scenario;
        this.version = version;
        this.loopback = loopback;
        this.directory = directory;
        this.origin = origin;
        this.observer = observer;
        this.cpus = cpus;
        for (int i = 0; i < scenario.dispatcherCount; i++) {
            dispatchers.add(new Dispatcher());
        }
    }

    /** The listen addresses of the dispatchers by index. */
    public List<InetSocketAddress> addresses() {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int i = 0; i < dispatchers.size(); i++) {
            all.add(loopback.dispatcher(i));
        }
        return all;
    }

    /** Starts all dispatchers and waits until each one reports that it is up. */
    public void startAll() throws IOException {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        for (int i = 0; i < dispatchers.size(); i++) {
            Files.writeString(directory.resolve("config-" + i + ".json"), configuration(scenario, i));
            start(i);
        }
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        for (int i = 0; i < dispatchers.size(); i++) {
            while (!isUp(i)) {
                if (!dispatchers.get(i).process.isAlive()) {
                    throw new IOException("dispatcher " + i + " of " + version.name()
                            + " exited during its start with status "
                            + dispatchers.get(i).process.exitValue() + ": " + lastLine(i));
                } else if (System.nanoTime() > end) {
                    throw new IOException("dispatcher " + i + " of " + version.name()
                            + " did not start within "
                            + START_TIMEOUT.toSeconds() + " s: " + lastLine(i));
                }
                sleep(20);
            }
        }
    }

    private String lastLine(int i) {
        try {
            List<String> lines = Files.readAllLines(directory.resolve("dispatcher-" + i + ".log"));
            return lines.isEmpty() ? "its log is empty" : lines.get(lines.size() - 1);
        } catch (IOException e) {
            return "its log can't be read";
        }
    }

    private void start(int i) throws IOException {
        List<String> command = new ArrayList<>();
        if (cpus != null) {
            command.addAll(List.of("taskset", "-c", cpus));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(version.flags());
        command.addAll(version.program());
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve("dispatcher-" + i + ".log").toFile()));
        builder.environment()
                .putAll(Map.of(
                        "EDGE_NAME",
                        "d" + i,
                        "EDGE_LISTEN",
                        LoopbackAddresses.text(loopback.dispatcher(i)),
                        "EDGE_DISCOVERY",
                        LoopbackAddresses.text(loopback.list(i)),
                        "EDGE_CONFIG",
                        directory.resolve("config-" + i + ".json").toString()));
        dispatchers.get(i).process = builder.start();
    }

    private boolean isUp(int i) {
        return get(i, "/up").startsWith("HTTP/1.1 200");
    }

    /** The response of a dispatcher to a GET request, with its head; empty if there is none. */
    public String get(int i, String path) {
        InetSocketAddress at = loopback.dispatcher(i);
        try (Socket socket = new Socket()) {
            socket.connect(at, 500);
            socket.setSoTimeout(1000);
            OutputStream out = socket.getOutputStream();
            out.write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills a dispatcher with SIGKILL. */
    public void kill(int i) {
        Dispatcher dispatcher = dispatchers.get(i);
        dispatcher.expectedToExit = true;
        dispatcher.cpuOfEarlierProcesses += cpuSeconds(dispatcher.process);
        observer.dispatcherKilled(origin.now(), i);
        dispatcher.process.destroyForcibly();
        try {
            dispatcher.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        observer.dispatcherKilled(
                origin.now(), i); // again, so that requests accepted since the first call count as affected too
    }

    /** Asks a dispatcher to shut down with SIGTERM. */
    public void shutDown(int i) {
        Dispatcher dispatcher = dispatchers.get(i);
        dispatcher.expectedToExit = true;
        dispatcher.process.destroy();
    }

    /** Pauses processes with SIGSTOP; the judge treats each as paused from before the signal. */
    public void pause(List<Integer> indexes) {
        indexes.forEach(i -> {
            dispatchers.get(i).paused = true;
            observer.dispatcherPaused(origin.now(), i);
        });
        signal("STOP", indexes);
    }

    /** Resumes paused processes with SIGCONT; they may answer before the command that sends the signal has ended. */
    public void resume(List<Integer> indexes) {
        Duration earliest = origin.now();
        signal("CONT", indexes);
        indexes.forEach(i -> {
            dispatchers.get(i).paused = false;
            observer.dispatcherResumed(earliest, origin.now(), i);
        });
    }

    /** Sends a signal to dispatcher processes by their process ids. */
    private void signal(String name, List<Integer> indexes) {
        List<String> command = new ArrayList<>(List.of("kill", "-" + name));
        indexes.stream()
                .map(i -> dispatchers.get(i).process)
                .filter(Process::isAlive)
                .forEach(process -> command.add(Long.toString(process.pid())));
        if (command.size() == 2) {
            return;
        }
        try {
            Process kill = new ProcessBuilder(command).redirectErrorStream(true).start();
            if (!kill.waitFor(5, TimeUnit.SECONDS) || kill.exitValue() != 0) {
                LOG.warn("{} failed", command);
            }
        } catch (IOException e) {
            LOG.error("signal {} can't be sent: {}", name, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Restarts a dispatcher. One that is still shutting down gets some time to exit before it is killed, as on a
     * platform.
     */
    public void restart(int i) {
        Dispatcher dispatcher = dispatchers.get(i);
        try {
            if (!closing) {
                if (!dispatcher.process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                    LOG.warn("dispatcher {} did not exit within {} s; killing it", i, STOP_TIMEOUT.toSeconds());
                    kill(i);
                }
                dispatcher.expectedToExit = false;
                start(i);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.error("dispatcher {} can't be restarted: {}", i, e.getMessage());
        }
    }

    /** Starts the measurement of CPU time. */
    public void resetCpu() {
        for (Dispatcher dispatcher : dispatchers) {
            dispatcher.cpuAtReset = cpuSeconds(dispatcher.process);
            dispatcher.cpuOfEarlierProcesses = 0;
        }
    }

    /** CPU time of all dispatchers since {@link #resetCpu()}, in seconds. */
    public double cpuSeconds() {
        double all = 0;
        for (Dispatcher dispatcher : dispatchers) {
            all += dispatcher.cpuOfEarlierProcesses
                    + cpuSeconds(dispatcher.process)
                    - (dispatcher.cpuOfEarlierProcesses == 0 ? dispatcher.cpuAtReset : 0);
        }
        return all;
    }

    private static double cpuSeconds(Process process) {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
        } catch (IOException e) {
            return 0; // the process has exited
        }
    }

    /** The largest peak resident memory of a dispatcher, in MiB. */
    public double maxMemoryMb() {
        double most = 0;
        for (Dispatcher dispatcher : dispatchers) {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + dispatcher.process.pid() + "/status"))) {
                    if (line.startsWith("VmHWM:")) {
                        most = Math.max(most, Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024);
                    }
                }
            } catch (IOException e) {
                // the process has exited
            }
        }
        return most;
    }

    /** The process id of a dispatcher. */
    public long pid(int i) {
        return dispatchers.get(i).process.pid();
    }

    /** The dispatchers that exited unexpectedly. */
    public List<Integer> crashed() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < dispatchers.size(); i++) {
            if (!dispatchers.get(i).process.isAlive() && !dispatchers.get(i).expectedToExit) {
                all.add(i);
            }
        }
        return all;
    }

    private void destroy() {
        closing = true;
        resumeAll();
        dispatchers.stream().filter(m -> m.process != null).forEach(m -> m.process.destroy());
    }

    /** Resumes paused processes before the shutdown, since a paused one does not react to SIGTERM and would stay. */
    private void resumeAll() {
        signal(
                "CONT",
                IntStream.range(0, dispatchers.size())
                        .filter(i -> dispatchers.get(i).paused)
                        .boxed()
                        .toList());
    }

    @Override
    public void close() {
        destroy();
        for (Dispatcher dispatcher : dispatchers) {
            try {
                if (dispatcher.process != null && !dispatcher.process.waitFor(6, TimeUnit.SECONDS)) {
                    dispatcher.process.destroyForcibly();
                }
            } catch (InterruptedException e) {
                dispatcher.process.destroyForcibly();
                Thread.currentThread().interrupt();
            }
        }
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // the JVM is already shutting down
        }
    }

    /** The configuration file of a dispatcher in this scenario, in the format of the platform. */
    public static String configuration(Scenario scenario, int i) throws IOException {
        DispatcherSettings dispatcherSettings = scenario.dispatcherSettings(i);
        ObjectNode root = JSON.createObjectNode();
        root.put("name", "d" + i).put("seed", Long.toHexString(scenario.seed * 1000 + i + 1));
        root.putObject("limits").put("sockets", 4096).put("memory_mb", 192).put("cores", 1.0);
        if (dispatcherSettings.overload != null) {
            root.putObject("overload")
                    .put("low", dispatcherSettings.overload.lowWaitShare())
                    .put("high", dispatcherSettings.overload.highWaitShare())
                    .put("borne", dispatcherSettings.overload.slackShare())
                    .put("missed", dispatcherSettings.overload.tolerableMissShare())
                    .put("step", micros(dispatcherSettings.overload.minChangeInterval()))
                    .put("known", dispatcherSettings.overload.minCompletions());
        }
        ObjectNode settings = root.putObject("settings");
        settings.put("Index", i)
                .put("NInstances", dispatcherSettings.dispatcherCount)
                .put("Locality", dispatcherSettings.zone)
                .put("Round", micros(dispatcherSettings.roundInterval))
                .put("MembershipMode", dispatcherSettings.subscribes ? "ask" : "push");
        settings.putObject("Limits")
                .put("Probes", dispatcherSettings.mayProbe)
                .put("MayCancel", dispatcherSettings.mayCancel)
                .put("ParallelTries", dispatcherSettings.parallelAttempts)
                .put("RetryAfter", dispatcherSettings.sendsRetryAfter)
                .put("MostDispatches", dispatcherSettings.maxAttempts)
                .put("MaxRetryAfter", micros(dispatcherSettings.maxRetryAfter))
                .put("DialTimeout", micros(dispatcherSettings.connectTimeout))
                .put("IdleClose", micros(scenario.idleClose));
        settings.putObject("Contract")
                .put("ColdFrom", dispatcherSettings.coldCapacity)
                .put("WarmWithin", micros(dispatcherSettings.warmUpTime))
                .put("TipMultiple", dispatcherSettings.coldLimitMultiple)
                .put("Fall", micros(dispatcherSettings.coldLimitWindow))
                .put("DrainGrace", micros(scenario.drainGrace))
                .put("LateShedding", dispatcherSettings.lateRejections);
        settings.putObject("Callers").put("MarksRetry", dispatcherSettings.retriesMarked);
        settings.putObject("Tariffs").put("CrossZone", dispatcherSettings.crossZonePrice);
        ObjectNode family = settings.putObject("FamilyInfo")
                .put("TellsStart", dispatcherSettings.reportsStart)
                .put("Progress", micros(dispatcherSettings.progressInterval));
        settings.putObject("LoadReport")
                .put("How", "piggyback")
                .putArray("Columns")
                .add("concurrent")
                .add("depth")
                .add("x0");
        family.put("ReportX0", "free slots");
        ArrayNode kinds = settings.putArray("MachineTypes");
        scenario.runnerTypes.stream().map(RunnerType::name).forEach(kinds::add);
        scenario.zones.forEach(settings.putArray("Zones")::add);
        ArrayNode workloads = settings.putArray("Workloads");
        for (Workload w : dispatcherSettings.workloads) {
            ObjectNode row = workloads.addObject();
            w.zones.forEach(row.withArray("/ZonesOpen")::add);
            w.machineTypes.forEach(row.withArray("/ServedOn")::add);
            row.put("Name", w.name)
                    .put("PromisedTime", micros(w.targetLatency))
                    .put("Patience", micros(w.clientTimeout))
                    .put("Importance", w.importance)
                    .put("AimStretch", w.latencyStretch)
                    .put("TardyImportance", w.lateImportance)
                    .put("Window", micros(w.dedupWindow))
                    .put(
                            "Repeat",
                            switch (w.repeatSafety) {
                                case PURE -> "pure";
                                case RECEIPTED -> "token";
                                case EFFECTFUL -> "side_effect";
                            })
                    .put("DedupScope", w.dedupScope.name().toLowerCase());
        }
        return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(root);
    }

    private static long micros(Duration span) {
        return span.toNanos() / 1000;
    }
}
