package saltdale.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import saltdale.rig.plan.InvalidInputException;
import saltdale.rig.report.Report;

@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Prints the figures of an experiment from its results folder, and rewrites its report.html.")
final class Reporting implements Callable<Integer> {
    @Parameters(paramLabel = "DIR")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        Path results = folder.resolve("results.json");
        if (!Files.isReadable(results)) {
            throw new InvalidInputException(folder + ": contains no readable results.json of an experiment");
        }
        JsonNode root = new ObjectMapper().readTree(results.toFile());
        for (JsonNode run : root.path("runs")) {
            System.out.println(run.path("version").asText() + " "
                    + run.path("point").asText() + " #" + (run.path("repeat").asInt() + 1)
                    + (run.path("void").isNull() ? "" : " void"));
            run.path("figures")
                    .fields()
                    .forEachRemaining(figure -> System.out.printf(
                            Locale.ROOT,
                            "  %-34s %.6g%n",
                            figure.getKey(),
                            figure.getValue().asDouble()));
        }
        Path page = folder.resolve("report.html");
        Files.writeString(page, Report.of(root));
        System.out.println("plots: " + page);
        return 0;
    }
}
