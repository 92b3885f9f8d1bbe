package saltdale.tools;

import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import saltdale.rig.experiment.Run;
import saltdale.rig.experiment.RunResult;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.plan.Scenario;
import saltdale.rig.plan.TomlTable;
import saltdale.rig.simulate.BaselineDispatcher;
import saltdale.rig.simulate.Simulation;

@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description = "Runs a day in simulated time, with the decision module or a baseline, and prints its figures.")
final class Simulate implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day to simulate (TOML).")
    private Path file;

    @Option(
            names = "--baseline",
            paramLabel = "random|round-robin|least-out",
            description = "Baseline policy to use in place of the decision module.")
    private String baseline;

    @Option(
            names = "--set",
            paramLabel = "FIGURE=VALUE",
            description = "Overrides a value of the file; may be repeated.")
    private Map<String, String> set = Map.of();

    @Override
    public Integer call() {
        TomlTable sheet = TomlTable.read(file);
        for (Map.Entry<String, String> each : set.entrySet()) {
            sheet = sheet.with(each.getKey(), value(each.getValue()));
        }
        Scenario day = new Scenario(sheet);
        day.requireSimulatable(sheet.file());
        Simulation.DispatcherFactory factory = null;
        if (baseline != null) {
            BaselineDispatcher.SelectionPolicy policy = policy(baseline);
            factory = (orders, door, random) ->
                    new BaselineDispatcher(orders, door, random, policy, BaselineDispatcher.Defect.NONE);
        }
        long began = System.nanoTime();
        Path folder = file.toAbsolutePath().getParent();
        RunResult outcome = Run.runSimulated(day, "now", "", 0, Run.clientRequests(day, folder), factory);
        double seconds = (System.nanoTime() - began) / 1e9;
        outcome.figures().forEach((name, value) -> System.out.printf(Locale.ROOT, "%-34s %.6g%n", name, value));
        outcome.violations().stream().limit(20).forEach(System.out::println);
        // On standard error: unlike the figures above, these differ between runs of the same day and seed.
        System.err.printf(
                Locale.ROOT,
                "%.2f s, %.0f events/s, %d MiB of heap in use%n",
                seconds,
                outcome.figures().get("events") / seconds,
                (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20);
        return outcome.violations().isEmpty() ? 0 : 1;
    }

    private static Object value(String text) {
        if (text.matches("-?\\d+")) {
            return Long.parseLong(text);
        } else if (text.matches("-?\\d*\\.\\d+")) {
            return Double.parseDouble(text);
        }
        return text.equals("true") || text.equals("false") ? (Object) Boolean.parseBoolean(text) : text;
    }

    private static BaselineDispatcher.SelectionPolicy policy(String name) {
        for (BaselineDispatcher.SelectionPolicy each : BaselineDispatcher.SelectionPolicy.values()) {
            if (each.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name)) {
                return each;
            }
        }
        throw new InvalidInputException("--baseline: expected random, round-robin or least-out");
    }
}
