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
        description = "Plays a day in simulated time, with the decision module or a baseline, and prints its figures.")
final class Simulate implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The day, TOML.")
    private Path file;

    @Option(
            names = "--baseline",
            paramLabel = "random|round-robin|least-out",
            description = "Decides in place of the module.")
    private String baseline;

    @Option(names = "--set", paramLabel = "FIGURE=VALUE", description = "Replaces a figure of the file.")
    private Map<String, String> set = Map.of();

    @Override
    public Integer call() {
        TomlTable sheet = TomlTable.read(file);
        for (Map.Entry<String, String> each : set.entrySet()) {
            sheet = sheet.with(each.getKey(), value(each.getValue()));
        }
        Scenario day = new Scenario(sheet);
        day.requireSimulatable(sheet.file());
        Simulation.DispatcherFactory minds = null;
        if (baseline != null) {
            BaselineDispatcher.SelectionPolicy choice = choice(baseline);
            minds = (orders, door, chance) ->
                    new BaselineDispatcher(orders, door, chance, choice, BaselineDispatcher.Defect.NONE);
        }
        long began = System.nanoTime();
        Path beside = file.toAbsolutePath().getParent();
        RunResult outcome = Run.runSimulated(day, "now", "", 0, Run.clientRequests(day, beside), minds);
        double took = (System.nanoTime() - began) / 1e9;
        outcome.figures().forEach((name, value) -> System.out.printf(Locale.ROOT, "%-34s %.6g%n", name, value));
        outcome.violations().stream().limit(20).forEach(System.out::println);
        // Apart, on standard error: the figures above are the same for the same day and seed, these are not.
        System.err.printf(
                Locale.ROOT,
                "%.2f s, %.0f events/s, %d MiB of heap in use%n",
                took,
                outcome.figures().get("events") / took,
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

    private static BaselineDispatcher.SelectionPolicy choice(String name) {
        for (BaselineDispatcher.SelectionPolicy each : BaselineDispatcher.SelectionPolicy.values()) {
            if (each.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name)) {
                return each;
            }
        }
        throw new InvalidInputException("--baseline: wanted random, round-robin or least-out");
    }
}
