package saltdale.tools;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltdale.rig.cost.Relay;
import saltdale.rig.experiment.Run;
import saltdale.rig.experiment.RunResult;
import saltdale.rig.experiment.Version;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;

@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "Measures CPU time per job of the dispatcher, on one core, against a minimal relay of the same calls.")
final class Cost implements Callable<Integer> {
    private static final int TRACE_SECONDS = 4;
    private static final String DAY = """
            length = "12s"
            warm_up = "4s"
            dispatchers = 1
            [fleet]
            runners = 10
            [[fleet.make]]
            cores = 64
            slots = 64
            queue = 1000
            [orders]
            tells_start = false
            [load]
            rate = 500
            [[workload]]
            name = "w"
            promised = "100ms"
            size = {kind = "constant", mean = "2ms"}
            """;

    @Option(
            names = "--core",
            defaultValue = "1",
            description = "CPU core of the dispatcher (default: ${DEFAULT-VALUE}).")
    private String core;

    @Option(names = "--rates", split = ",", defaultValue = "500,2000", description = "Jobs per second to measure at.")
    private List<Integer> rates;

    @Option(
            names = "--repeats",
            defaultValue = "2",
            description = "Repeats of each measurement (default: ${DEFAULT-VALUE}).")
    private int repeats;

    @Option(names = "--ceiling", description = "Also finds the highest rate at which jobs keep the promised time.")
    private boolean ceiling;

    @Option(names = "--system-calls", description = "Also counts system calls per job at the first rate; needs strace.")
    private boolean systemCalls;

    @Option(names = "--out", defaultValue = "out/cost")
    private Path out;

    private final Version relay =
            new Version("relay", flags(), List.of("-cp", System.getProperty("java.class.path"), Relay.class.getName()));

    private static List<String> flags() {
        return List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xms24m", "-Xmx112m");
    }

    @Override
    public Integer call() throws IOException {
        Version dispatcher = Version.current("dispatcher", Main.home());
        System.out.printf("%-12s %8s %10s %10s %10s %10s%n", "", "jobs/s", "us/job", "p50 ms", "p99 ms", "1000 in s");
        for (int rate : rates) {
            List<Double> ratios = new ArrayList<>();
            for (int i = 0; i < repeats; i++) {
                double cpuMicros = measure(dispatcher, rate, i).get("cpu_us_per_job");
                ratios.add(cpuMicros / measure(relay, rate, i).get("cpu_us_per_job"));
            }
            System.out.printf(
                    Locale.ROOT,
                    "at %d jobs/s a job costs %.2f times the relay's (%s)%n",
                    rate,
                    ratios.stream().mapToDouble(r -> r).average().orElse(0),
                    ratios.stream()
                            .map(r -> String.format(Locale.ROOT, "%.2f", r))
                            .toList());
        }
        if (systemCalls) {
            systemCalls(dispatcher, rates.get(0));
            systemCalls(relay, rates.get(0));
        }
        if (ceiling) {
            for (Version version : List.of(dispatcher, relay)) {
                System.out.printf(Locale.ROOT, "%s: %d jobs/s at the most%n", version.name(), findCeiling(version));
            }
        }
        return 0;
    }

    /** Counts system calls per job with strace over some seconds; tracing slows the run, so times are not reported. */
    private void systemCalls(Version version, int rate) throws IOException {
        Scenario day = day(rate, 0);
        Path counts = out.resolve("system-calls-" + version.name() + "-" + rate + ".txt");
        Files.createDirectories(out);
        Process[] tracer = new Process[1];
        Run.runOnSockets(
                day,
                version,
                "",
                0,
                Run.clientRequests(day, Path.of(".")),
                out.resolve("watched"),
                core,
                (share, dispatchers) -> {
                    if (share > 0.4 && tracer[0] == null) {
                        try {
                            tracer[0] = new ProcessBuilder(
                                            "timeout",
                                            "-s",
                                            "INT",
                                            String.valueOf(TRACE_SECONDS),
                                            "strace",
                                            "-c",
                                            "-f",
                                            "-o",
                                            counts.toString(),
                                            "-p",
                                            String.valueOf(dispatchers.pid(0)))
                                    .start();
                        } catch (IOException e) {
                            throw new UncheckedIOException("cannot start strace: " + e.getMessage(), e);
                        }
                    }
                });
        try {
            tracer[0].waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.printf("%s at %d jobs/s, system calls a job:%n", version.name(), rate);
        for (String line : Files.readAllLines(counts)) {
            String[] columns = line.strip().split("\\s+");
            if (columns.length >= 5
                    && columns[3].matches("\\d+")
                    && Long.parseLong(columns[3]) > rate * TRACE_SECONDS / 50) {
                System.out.printf(
                        Locale.ROOT,
                        "  %-16s %.2f%n",
                        columns[columns.length - 1],
                        Long.parseLong(columns[3]) / (double) (rate * TRACE_SECONDS));
            }
        }
    }

    private static Scenario day(int rate, int repeat) {
        return new Scenario(TomlTable.of("cost", DAY).with("load.rate", rate).with("seed", repeat + 1));
    }

    private int findCeiling(Version version) throws IOException {
        int highestRate = 0;
        for (int rate = 2000; rate < 100_000; rate = rate * 5 / 4) {
            Map<String, Double> figures = measure(version, rate, 0);
            if (figures.get("service") < 0.99) {
                return highestRate;
            }
            highestRate = rate;
        }
        return highestRate;
    }

    private Map<String, Double> measure(Version version, int rate, int repeat) throws IOException {
        Scenario day = day(rate, repeat);
        Path folder = out.resolve(version.name() + "-" + rate + "-" + repeat);
        Files.createDirectories(folder);
        RunResult outcome = Run.runOnSockets(
                day,
                version,
                "",
                repeat,
                Run.clientRequests(day, Path.of(".")),
                folder,
                core,
                (share, dispatchers) -> {});
        Map<String, Double> figures = outcome.figures();
        System.out.printf(
                Locale.ROOT,
                "%-12s %8d %10.0f %10.2f %10.2f %10.2f%s%n",
                version.name(),
                rate,
                figures.get("cpu_us_per_job"),
                figures.get("p50_ms"),
                figures.get("p99_ms"),
                figures.get("first_1000_answers_s"),
                outcome.voidReason() == null ? "" : "  void: " + outcome.voidReason());
        return figures;
    }
}
