package saltdale.rig.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.HistogramLogWriter;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.report.Report;
import saltdale.rig.simulate.BaselineDispatcher;
import saltdale.rig.simulate.Simulation;

/**
 * An experiment as its file describes it: a scenario, the builds that run it, the swept parameters, the number of
 * repetitions and the expectations. Builds alternate (A B A B), so that a drift of the machine affects both.
 */
public final class Experiment {
    /** How a scenario is run. */
    public enum ExecutionMode {
        SOCKETS,
        SIMULATED,
        BOTH
    }

    private record Point(String name, TomlTable table) {
        /** The suffix that selects a figure of this point in an expectation: {@code .at.} and the swept values. */
        String suffix() {
            return ".at." + name.replaceAll("\\S+=", "").replace(' ', '.');
        }
    }

    private final TomlTable table;
    private final Path file;
    private final String name;
    private final ExecutionMode mode;
    private final int repeats;
    private final int quickRepeats;
    private final String cpus;
    private final List<Version> versions = new ArrayList<>();
    private final List<Point> points = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();

    private Experiment(Path file, TomlTable table, Path home) {
        this.file = file;
        this.table = table;
        name = table.string("name", "experiment");
        mode = table.enumValue("face", ExecutionMode.SOCKETS);
        repeats = table.integer("repeats", 1, 1, 1000);
        quickRepeats = table.integer("quick_repeats", 1, 1, 1000);
        cpus = table.string("cpus", null);
        table.tables("version")
                .forEach(row -> versions.add(
                        mode == ExecutionMode.SOCKETS
                                ? Version.read(row, home, baseDirectory())
                                : Version.readSimulated(row)));
        if (mode == ExecutionMode.BOTH && !versions.isEmpty()) {
            throw table.invalid("version", "allowed with face = \"both\", which always runs the module of this build");
        } else if (mode == ExecutionMode.BOTH) { // pairs the sockets with the simulation like two builds
            versions.add(Version.current("sockets", home));
            versions.add(new Version("simulated", List.of(), List.of()));
        } else if (versions.isEmpty()) {
            versions.add(
                    mode == ExecutionMode.SIMULATED
                            ? new Version("now", List.of(), List.of())
                            : Version.current("now", home));
        }
        for (String line : table.strings("expect", List.of())) {
            expectations.add(new Expectation(table.file(), line));
        }
        points.add(new Point("", table));
        new TreeMap<>(table.table("sweep").valueLists()).forEach((figure, values) -> {
            List<Point> before = List.copyOf(points);
            points.clear();
            for (Point each : before) {
                for (Object value : values) {
                    points.add(new Point(
                            (each.name + " " + figure + "=" + value).strip(), each.table.with(figure, value)));
                }
            }
        });
        points.stream()
                .map(point -> scenarioAt(point, 0))
                .filter(scenario -> mode != ExecutionMode.SOCKETS)
                .forEach(scenario ->
                        scenario.requireSimulatable(table.file())); // reports a bad value before anything starts
    }

    /** Reads an experiment and checks all its scenarios; {@code home} is the checkout whose build it runs. */
    public static Experiment read(Path file, Path home) {
        TomlTable table = TomlTable.read(file);
        Experiment experiment = new Experiment(file, table, home);
        new Scenario(table);
        table.rejectUnknownKeys();
        return experiment;
    }

    private Path baseDirectory() {
        Path directory = file.toAbsolutePath().getParent();
        return directory == null ? Path.of(".") : directory;
    }

    private Scenario scenarioAt(Point point, int repeat) {
        TomlTable pointTable = point.table;
        int seed = pointTable.integer("seed", 1, 0, Integer.MAX_VALUE);
        return new Scenario(pointTable.with("seed", seed + repeat));
    }

    private RunResult runSimulated(Scenario scenario, Version version, Point point, int repeat) {
        if (!version.overloadAware()) {
            scenario.dispatcherSettings.overload = null;
        }
        Simulation.DispatcherFactory dispatcherFactory = version.baseline() == null
                ? null
                : (settings, platform, random) -> new BaselineDispatcher(
                        settings, platform, random, version.baseline(), BaselineDispatcher.Defect.NONE);
        return Run.runSimulated(
                scenario,
                version.name(),
                point.name,
                repeat,
                Run.clientRequests(scenario, baseDirectory()),
                dispatcherFactory);
    }

    public String name() {
        return name;
    }

    /**
     * Runs the experiment, prints its progress, and writes the results and a report.
     *
     * @return whether all expectations are met and no run is void
     */
    public boolean run(boolean quick, Path outputDirectory, PrintStream console) throws IOException {
        Files.createDirectories(outputDirectory);
        Files.writeString(outputDirectory.resolve("experiment.toml"), Files.readString(file));
        List<RunResult> results = new ArrayList<>();
        int times = quick ? quickRepeats : repeats;
        int all = times * points.size() * versions.size();
        try {
            for (int repeat = 0; repeat < times; repeat++) {
                for (Point point : points) {
                    for (Version version : versions) {
                        String label = (version.name() + " " + point.name).strip() + " #" + (repeat + 1);
                        RunResult result = runOnce(
                                point,
                                version,
                                repeat,
                                outputDirectory.resolve("runs").resolve(label.replaceAll("[^A-Za-z0-9.=#-]+", "_")),
                                console,
                                "[" + (results.size() + 1) + "/" + all + "] " + label);
                        results.add(result);
                        result.violations().stream().limit(5).forEach(b -> console.println("  " + b));
                    }
                }
            }
        } finally {
            // Keeps the measured results when a later run fails or the disk is full.
            printTable(results, console);
            try {
                write(outputDirectory, results);
            } catch (IOException e) {
                throw new IOException("results can't be written to " + outputDirectory + ": " + e.getMessage(), e);
            }
        }
        return printVerdict(results, console);
    }

    private RunResult runOnce(
            Point point, Version version, int repeat, Path directory, PrintStream console, String label)
            throws IOException {
        Scenario scenario = scenarioAt(point, repeat);
        boolean live = System.console() != null;
        if (!live) {
            console.println(label + " ...");
        }
        RunResult result = version.program().isEmpty()
                ? runSimulated(scenario, version, point, repeat)
                : Run.runOnSockets(
                        scenario,
                        version,
                        point.name,
                        repeat,
                        Run.clientRequests(scenario, baseDirectory()),
                        directory,
                        cpus,
                        (share, dispatchers) -> {
                            if (live) {
                                console.printf(Locale.ROOT, "\r%s %3.0f%%", label, share * 100);
                                console.flush();
                            }
                        });
        if (live) {
            console.println();
        }
        if (result.voidReason() != null) {
            console.println("  void: " + result.voidReason());
        }
        return result;
    }

    private static void printTable(List<RunResult> results, PrintStream console) {
        console.printf(
                "%-28s %8s %8s %8s %8s %8s %8s %7s%n",
                "run", "service", "p50 ms", "p99 ms", "shed", "given up", "us/job", "broken");
        for (RunResult o : results) {
            Map<String, Double> f = o.figures();
            console.printf(
                    Locale.ROOT,
                    "%-28s %8.4f %8.1f %8.1f %7.2f%% %7.2f%% %8.0f %7.0f%n",
                    (o.version() + " " + o.point()).strip() + " #" + (o.repeat() + 1),
                    f.get("service"),
                    f.get("p50_ms"),
                    f.get("p99_ms"),
                    100 * f.get("shed_share"),
                    100 * f.get("given_up_share"),
                    f.getOrDefault("cpu_us_per_job", 0.0),
                    f.get("rules_broken"));
        }
    }

    /**
     * Means, minima and maxima over the runs of each build, and the paired differences between the first build and the
     * second one.
     */
    Map<String, Double> aggregate(List<RunResult> results) {
        Map<String, Double> all = new LinkedHashMap<>();
        for (String figure : results.get(0).figures().keySet()) {
            all.put(figure, mean(results, figure));
            all.put(
                    "least." + figure,
                    results.stream().mapToDouble(o -> figure(o, figure)).min().orElse(0));
            all.put(
                    "most." + figure,
                    results.stream().mapToDouble(o -> figure(o, figure)).max().orElse(0));
            for (Version version : versions) {
                List<RunResult> versionResults = results.stream()
                        .filter(o -> o.version().equals(version.name()))
                        .toList();
                all.put(version.name() + "." + figure, mean(versionResults, figure));
                all.put(
                        "least." + version.name() + "." + figure,
                        versionResults.stream()
                                .mapToDouble(o -> figure(o, figure))
                                .min()
                                .orElse(0));
                all.put(
                        "most." + version.name() + "." + figure,
                        versionResults.stream()
                                .mapToDouble(o -> figure(o, figure))
                                .max()
                                .orElse(0));
                if (points.size() > 1) {
                    points.forEach(point -> all.put(
                            version.name() + "." + figure + point.suffix(),
                            mean(
                                    versionResults.stream()
                                            .filter(o -> o.point().equals(point.name))
                                            .toList(),
                                    figure)));
                }
            }
            if (versions.size() > 1) {
                Bootstrap b = Bootstrap.of(differences(results, figure), 1);
                all.put("difference." + figure + ".mean", b.mean());
                all.put("difference." + figure + ".low", b.low());
                all.put("difference." + figure + ".high", b.high());
            }
        }
        return all;
    }

    private static double figure(RunResult result, String figure) {
        return result.figures().getOrDefault(figure, 0.0);
    }

    private static double mean(List<RunResult> results, String figure) {
        return results.stream().mapToDouble(o -> figure(o, figure)).average().orElse(0);
    }

    private double[] differences(List<RunResult> results, String figure) {
        return results.stream()
                .filter(o -> o.version().equals(versions.get(0).name()))
                .mapToDouble(one -> results.stream()
                        .filter(o -> o.version().equals(versions.get(1).name())
                                && o.repeat() == one.repeat()
                                && o.point().equals(one.point()))
                        .mapToDouble(other -> figure(one, figure) - figure(other, figure))
                        .findFirst()
                        .orElse(0))
                .toArray();
    }

    private boolean printVerdict(List<RunResult> results, PrintStream console) {
        Map<String, Double> aggregated = aggregate(results);
        if (versions.size() > 1) {
            for (String figure : List.of("service", "p50_ms", "p99_ms", "cpu_us_per_job")) {
                if (aggregated.containsKey("difference." + figure + ".mean")) {
                    console.printf(
                            Locale.ROOT,
                            "%s, %s less %s: %.4f (95%%: %.4f to %.4f)%n",
                            figure,
                            versions.get(0).name(),
                            versions.get(1).name(),
                            aggregated.get("difference." + figure + ".mean"),
                            aggregated.get("difference." + figure + ".low"),
                            aggregated.get("difference." + figure + ".high"));
                }
            }
        }
        boolean passed = results.stream().noneMatch(o -> o.voidReason() != null);
        if (!passed) {
            console.println("FAILED: a run is void, so no figure counts");
        }
        for (Expectation each : expectations) {
            Expectation.Verdict verdict = each.judge(aggregated);
            console.println((verdict.met() ? "kept:   " : "FAILED: ") + verdict.text());
            passed &= verdict.met();
        }
        double broken = results.stream()
                .mapToDouble(o -> o.figures().get("rules_broken"))
                .sum();
        double requests =
                results.stream().mapToDouble(o -> o.figures().get("requests")).sum();
        double answered = results.stream()
                .mapToDouble(o -> o.figures().get("requests_answered"))
                .sum();
        console.printf(Locale.ROOT, "rules broken: %.0f, answered %.0f of %.0f%n", broken, answered, requests);
        return passed;
    }

    private void write(Path outputDirectory, List<RunResult> results) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode();
        root.put("name", name).put("face", mode.name().toLowerCase());
        ArrayNode runs = root.putArray("runs");
        for (RunResult o : results) {
            ObjectNode run = runs.addObject();
            run.put("version", o.version())
                    .put("point", o.point())
                    .put("repeat", o.repeat())
                    .put("void", o.voidReason());
            ObjectNode figures = run.putObject("figures");
            o.figures().forEach(figures::put);
            ArrayNode violations = run.putArray("breaches");
            o.violations().forEach(b -> violations.add(b.toString()));
            Series.write(run.putObject("series"), o);
        }
        Files.writeString(
                outputDirectory.resolve("results.json"),
                json.writerWithDefaultPrettyPrinter().writeValueAsString(root));
        try (PrintStream log = new PrintStream(Files.newOutputStream(outputDirectory.resolve("latency.hlog")))) {
            HistogramLogWriter writer = new HistogramLogWriter(log);
            writer.outputLogFormatVersion();
            writer.outputLegend();
            for (RunResult o : results) {
                o.statistics().rows().forEach((workload, row) -> {
                    row.latency.setTag((o.version() + "." + workload.name).replaceAll("[ ,]", "_"));
                    writer.outputIntervalHistogram(
                            0, table.duration("length", Duration.ofSeconds(20)).toNanos() / 1e9, row.latency);
                });
            }
        }
        Files.writeString(outputDirectory.resolve("report.html"), Report.of(root));
    }

    /** Checks the file without running it. */
    public static void check(Path file, Path home) {
        try {
            read(file, home);
        } catch (InvalidInputException e) {
            if (!e.getMessage().contains("no jar at")) {
                throw e; // a missing build is allowed here
            }
        }
    }
}
