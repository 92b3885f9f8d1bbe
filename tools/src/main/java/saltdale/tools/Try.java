package saltdale.tools;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltdale.rig.experiment.Experiment;

@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        description = "Runs experiments/try.toml: a list, eight runners, two dispatchers, 20 s with one crash.")
final class Try implements Callable<Integer> {
    @Option(
            names = "--out",
            defaultValue = "out/try",
            description = "Folder for the results (default: ${DEFAULT-VALUE}).")
    private Path out;

    @Override
    public Integer call() throws Exception {
        Path home = Main.home();
        boolean passed =
                Experiment.read(home.resolve("experiments/try.toml"), home).run(true, out, System.out);
        return passed ? 0 : 1;
    }
}
