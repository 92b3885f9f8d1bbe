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
import saltdale.rig.plan.Day;
import saltdale.rig.plan.Misread;
import saltdale.rig.plan.Sheet;
import saltdale.rig.report.Report;
import saltdale.rig.simulate.BaselineDispatcher;
import saltdale.rig.simulate.Simulation;

/**
 * An experiment as its file has it: a day, the builds that play it, what is swept, how often, and what is
 * expected. Builds play in turn, A B A B, so that what drifts meanwhile meets both.
 */
public final class Experiment {
    /** Where a day is played. */
    public enum Face {
        SOCKETS,
        SIMULATED,
        BOTH
    }

    private record Point(String name, Sheet sheet) {
        /** What an expectation says behind a figure of this point alone: .at. and the values that are swept. */
        String suffix() {
            return ".at." + name.replaceAll("\\S+=", "").replace(' ', '.');
        }
    }

    private final Sheet sheet;
    private final Path file;
    private final String name;
    private final Face face;
    private final int repeats;
    private final int quickRepeats;
    private final String cpus;
    private final List<Version> versions = new ArrayList<>();
    private final List<Point> points = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();

    private Experiment(Path file, Sheet sheet, Path home) {
        this.file = file;
        this.sheet = sheet;
        name = sheet.text("name", "experiment");
        face = sheet.word("face", Face.SOCKETS);
        repeats = sheet.whole("repeats", 1, 1, 1000);
        quickRepeats = sheet.whole("quick_repeats", 1, 1, 1000);
        cpus = sheet.text("cpus", null);
        sheet.rows("version")
                .forEach(row -> versions.add(
                        face == Face.SOCKETS ? Version.read(row, home, beside()) : Version.simulated(row)));
        if (face == Face.BOTH && !versions.isEmpty()) {
            throw sheet.wrong("version", "wanted where a day is played on both faces, with this build's module");
        } else if (face == Face.BOTH) { // the same day on both, paired as two builds are
            versions.add(Version.own("sockets", home));
            versions.add(new Version("simulated", List.of(), List.of()));
        } else if (versions.isEmpty()) {
            versions.add(face == Face.SIMULATED ? new Version("now", List.of(), List.of()) : Version.own("now", home));
        }
        for (String line : sheet.texts("expect", List.of())) {
            expectations.add(new Expectation(sheet.file(), line));
        }
        points.add(new Point("", sheet));
        new TreeMap<>(sheet.part("sweep").lists()).forEach((figure, values) -> {
            List<Point> before = List.copyOf(points);
            points.clear();
            for (Point each : before) {
                for (Object value : values) {
                    points.add(new Point(
                            (each.name + " " + figure + "=" + value).strip(), each.sheet.with(figure, value)));
                }
            }
        });
        points.stream()
                .map(point -> day(point, 0))
                .filter(day -> face != Face.SOCKETS)
                .forEach(day ->
                        day.mustBeSimulated(sheet.file())); // so that a bad figure is told before anything is started
    }

    /** Reads one with all its days, and checks it; {@code home}: the checkout whose build it plays. */
    public static Experiment read(Path file, Path home) {
        Sheet sheet = Sheet.read(file);
        Experiment experiment = new Experiment(file, sheet, home);
        new Day(sheet);
        sheet.close();
        return experiment;
    }

    private Path beside() {
        Path folder = file.toAbsolutePath().getParent();
        return folder == null ? Path.of(".") : folder;
    }

    private Day day(Point point, int repeat) {
        Sheet fresh = point.sheet;
        int seed = fresh.whole("seed", 1, 0, Integer.MAX_VALUE);
        return new Day(fresh.with("seed", seed + repeat));
    }

    private Outcome simulated(Day day, Version version, Point point, int repeat) {
        if (!version.levels()) {
            day.orders.overload = null;
        }
        Simulation.Minds minds = version.choice() == null
                ? null
                : (orders, door, chance) ->
                        new BaselineDispatcher(orders, door, chance, version.choice(), BaselineDispatcher.Slip.NONE);
        return Run.simulated(day, version.name(), point.name, repeat, Run.asks(day, beside()), minds);
    }

    public String name() {
        return name;
    }

    /**
     * Plays it all, says how it goes, and leaves results and a report in the folder.
     *
     * @return whether all that is expected was met, with no run void
     */
    public boolean play(boolean quick, Path out, PrintStream say) throws IOException {
        Files.createDirectories(out);
        Files.writeString(out.resolve("experiment.toml"), Files.readString(file));
        List<Outcome> outcomes = new ArrayList<>();
        int times = quick ? quickRepeats : repeats;
        int all = times * points.size() * versions.size();
        try {
            for (int repeat = 0; repeat < times; repeat++) {
                for (Point point : points) {
                    for (Version version : versions) {
                        String label = (version.name() + " " + point.name).strip() + " #" + (repeat + 1);
                        Outcome outcome = one(
                                point,
                                version,
                                repeat,
                                out.resolve("runs").resolve(label.replaceAll("[^A-Za-z0-9.=#-]+", "_")),
                                say,
                                "[" + (outcomes.size() + 1) + "/" + all + "] " + label);
                        outcomes.add(outcome);
                        outcome.breaches().stream().limit(5).forEach(b -> say.println("  " + b));
                    }
                }
            }
        } finally {
            // Guards against losing what was measured when a later run can't be played, or when the disk is full.
            table(outcomes, say);
            try {
                write(out, outcomes);
            } catch (IOException e) {
                throw new IOException("results can't be written to " + out + ": " + e.getMessage(), e);
            }
        }
        return verdict(outcomes, say);
    }

    private Outcome one(Point point, Version version, int repeat, Path folder, PrintStream say, String label)
            throws IOException {
        Day day = day(point, repeat);
        boolean live = System.console() != null;
        if (!live) {
            say.println(label + " ...");
        }
        Outcome outcome = version.program().isEmpty()
                ? simulated(day, version, point, repeat)
                : Run.onSockets(
                        day,
                        version,
                        point.name,
                        repeat,
                        Run.asks(day, beside()),
                        folder,
                        cpus,
                        (share, dispatchers) -> {
                            if (live) {
                                say.printf(Locale.ROOT, "\r%s %3.0f%%", label, share * 100);
                                say.flush();
                            }
                        });
        if (live) {
            say.println();
        }
        if (outcome.isVoid() != null) {
            say.println("  void: " + outcome.isVoid());
        }
        return outcome;
    }

    private static void table(List<Outcome> outcomes, PrintStream say) {
        say.printf(
                "%-28s %8s %8s %8s %8s %8s %8s %7s%n",
                "run", "service", "p50 ms", "p99 ms", "shed", "given up", "us/job", "broken");
        for (Outcome o : outcomes) {
            Map<String, Double> f = o.figures();
            say.printf(
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
     * Means over the runs of each build, the worst run, and paired differences of the first build to the
     * second.
     */
    Map<String, Double> gathered(List<Outcome> outcomes) {
        Map<String, Double> all = new LinkedHashMap<>();
        for (String figure : outcomes.get(0).figures().keySet()) {
            all.put(figure, mean(outcomes, figure));
            all.put(
                    "least." + figure,
                    outcomes.stream().mapToDouble(o -> at(o, figure)).min().orElse(0));
            all.put(
                    "most." + figure,
                    outcomes.stream().mapToDouble(o -> at(o, figure)).max().orElse(0));
            for (Version version : versions) {
                List<Outcome> its = outcomes.stream()
                        .filter(o -> o.version().equals(version.name()))
                        .toList();
                all.put(version.name() + "." + figure, mean(its, figure));
                all.put(
                        "least." + version.name() + "." + figure,
                        its.stream().mapToDouble(o -> at(o, figure)).min().orElse(0));
                all.put(
                        "most." + version.name() + "." + figure,
                        its.stream().mapToDouble(o -> at(o, figure)).max().orElse(0));
                if (points.size() > 1) {
                    points.forEach(point -> all.put(
                            version.name() + "." + figure + point.suffix(),
                            mean(
                                    its.stream()
                                            .filter(o -> o.point().equals(point.name))
                                            .toList(),
                                    figure)));
                }
            }
            if (versions.size() > 1) {
                Bootstrap b = Bootstrap.of(differences(outcomes, figure), 1);
                all.put("difference." + figure + ".mean", b.mean());
                all.put("difference." + figure + ".low", b.low());
                all.put("difference." + figure + ".high", b.high());
            }
        }
        return all;
    }

    private static double at(Outcome outcome, String figure) {
        return outcome.figures().getOrDefault(figure, 0.0);
    }

    private static double mean(List<Outcome> outcomes, String figure) {
        return outcomes.stream().mapToDouble(o -> at(o, figure)).average().orElse(0);
    }

    private double[] differences(List<Outcome> outcomes, String figure) {
        return outcomes.stream()
                .filter(o -> o.version().equals(versions.get(0).name()))
                .mapToDouble(one -> outcomes.stream()
                        .filter(o -> o.version().equals(versions.get(1).name())
                                && o.repeat() == one.repeat()
                                && o.point().equals(one.point()))
                        .mapToDouble(other -> at(one, figure) - at(other, figure))
                        .findFirst()
                        .orElse(0))
                .toArray();
    }

    private boolean verdict(List<Outcome> outcomes, PrintStream say) {
        Map<String, Double> gathered = gathered(outcomes);
        if (versions.size() > 1) {
            for (String figure : List.of("service", "p50_ms", "p99_ms", "cpu_us_per_job")) {
                if (gathered.containsKey("difference." + figure + ".mean")) {
                    say.printf(
                            Locale.ROOT,
                            "%s, %s less %s: %.4f (95%%: %.4f to %.4f)%n",
                            figure,
                            versions.get(0).name(),
                            versions.get(1).name(),
                            gathered.get("difference." + figure + ".mean"),
                            gathered.get("difference." + figure + ".low"),
                            gathered.get("difference." + figure + ".high"));
                }
            }
        }
        boolean good = outcomes.stream().noneMatch(o -> o.isVoid() != null);
        if (!good) {
            say.println("FAILED: a run is void, so no figure counts");
        }
        for (Expectation each : expectations) {
            Expectation.Verdict verdict = each.judge(gathered);
            say.println((verdict.kept() ? "kept:   " : "FAILED: ") + verdict.words());
            good &= verdict.kept();
        }
        double broken = outcomes.stream()
                .mapToDouble(o -> o.figures().get("rules_broken"))
                .sum();
        double requests =
                outcomes.stream().mapToDouble(o -> o.figures().get("requests")).sum();
        double answered = outcomes.stream()
                .mapToDouble(o -> o.figures().get("requests_answered"))
                .sum();
        say.printf(Locale.ROOT, "rules broken: %.0f, answered %.0f of %.0f%n", broken, answered, requests);
        return good;
    }

    private void write(Path out, List<Outcome> outcomes) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode root = json.createObjectNode();
        root.put("name", name).put("face", face.name().toLowerCase());
        ArrayNode runs = root.putArray("runs");
        for (Outcome o : outcomes) {
            ObjectNode run = runs.addObject();
            run.put("version", o.version())
                    .put("point", o.point())
                    .put("repeat", o.repeat())
                    .put("void", o.isVoid());
            ObjectNode figures = run.putObject("figures");
            o.figures().forEach(figures::put);
            ArrayNode breaches = run.putArray("breaches");
            o.breaches().forEach(b -> breaches.add(b.toString()));
            Series.write(run.putObject("series"), o);
        }
        Files.writeString(
                out.resolve("results.json"),
                json.writerWithDefaultPrettyPrinter().writeValueAsString(root));
        try (PrintStream log = new PrintStream(Files.newOutputStream(out.resolve("latency.hlog")))) {
            HistogramLogWriter writer = new HistogramLogWriter(log);
            writer.outputLogFormatVersion();
            writer.outputLegend();
            for (Outcome o : outcomes) {
                o.tally().rows().forEach((workload, row) -> {
                    row.latency.setTag((o.version() + "." + workload.name).replaceAll("[ ,]", "_"));
                    writer.outputIntervalHistogram(
                            0, sheet.span("length", Duration.ofSeconds(20)).toNanos() / 1e9, row.latency);
                });
            }
        }
        Files.writeString(out.resolve("report.html"), Report.of(root));
    }

    /** Reads the file only to check it. */
    public static void check(Path file, Path home) {
        try {
            read(file, home);
        } catch (Misread e) {
            if (!e.getMessage().contains("no jar at")) {
                throw e; // a build may be missing where a file is only checked
            }
        }
    }
}
